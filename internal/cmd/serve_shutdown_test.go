package cmd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestsThatArriveInAShutdownOfServeAreAnswered sends a request on a connection that a node of serve has accepted before it closes its listener.
func TestRequestsThatArriveInAShutdownOfServeAreAnswered(t *testing.T) {
	c := qt.New(t)
	ip := ownLoopbackIP()
	address, unreachable := ip+":8001", "http://"+ip+":8002"
	node := exec.Command(os.Args[0], "serve", "--node=n1", "--failure-domain=a", "--region=r", "--listen="+address, "--advertise=http://"+address,
		"--peer-listen="+ip+":8003", "--metrics-listen="+ip+":8004", "--address-keep=1s", "--kv="+unreachable, "--vm-list="+unreachable, "--rating="+unreachable, "--weight-store="+unreachable)
	node.Env = append(os.Environ(), runProgramEnv+"=1", "MONSOONRAIL_SESSION_SECRETS=session-secret-session-secret-01",
		"MONSOONRAIL_PEER_SECRET=peer-secret-peer-secret-peer-001", "MONSOONRAIL_ISSUE_SECRETS=issue-secret-issue-secret-issue1")
	c.Assert(node.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = node.Process.Kill()
		_ = node.Wait()
	})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return nil
		}
		return conn
	}
	var conn net.Conn
	for end := time.Now().Add(20 * time.Second); conn == nil; time.Sleep(20 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("node does not serve"))
		conn = dial()
	}
	_ = conn.Close()
	c.Assert(node.Process.Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(700 * time.Millisecond)
	conn = dial()
	c.Assert(conn, qt.IsNotNil)
	defer func() { _ = conn.Close() }()
	// The listener is closed once new connections are refused.
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("node does not shut down"))
		probe := dial()
		if probe == nil {
			break
		}
		_ = probe.Close()
	}
	_, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: "+address+"\r\n\r\n")
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Check(resp.Body.Close(), qt.IsNil)
}
