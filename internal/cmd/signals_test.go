package cmd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSignalsDuringAShutdownLoseNoCalls guards against a signal within the grace period of a stop that ends the process, and with it the calls under way.
func TestSignalsDuringAShutdownLoseNoCalls(t *testing.T) {
	for _, test := range []struct {
		name   string
		signal os.Signal
	}{
		{"SIGHUP", syscall.SIGHUP},
		{"SIGTERM", syscall.SIGTERM},
		{"SIGINT", os.Interrupt},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := startEdgeProcess(t, nil)
			status := p.startCall("r1")
			p.c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
			// The signal is repeated to the end of the process, since no moment of the shutdown may let it end the process.
			repeat := time.NewTicker(20 * time.Millisecond)
			defer repeat.Stop()
			for ; ; <-repeat.C {
				select {
				case err := <-p.exited:
					p.c.Check(err, qt.IsNil)
					p.c.Check(<-status, qt.Equals, http.StatusOK)
					return
				default:
				}
				// An error means that the process has ended.
				_ = p.cmd.Process.Signal(test.signal)
			}
		})
	}
}

// TestStopKeepsToTheSettingsBeforeIt guards against a stop by settings that were replaced just before it: with a shorter grace period, the process would be killed
// while it still answers requests.
func TestStopKeepsToTheSettingsBeforeIt(t *testing.T) {
	// A stop without requests takes more than half of its grace period, so that the longer one is over long after the shorter one.
	const longer, shorter = 30 * time.Second, 5 * time.Second
	graceSetting := func(grace time.Duration) []byte { return fmt.Appendf(nil, "graceS = %d", int(grace.Seconds())) }
	for _, test := range []struct {
		name    string
		signals []os.Signal
	}{
		{"without SIGHUP", []os.Signal{syscall.SIGTERM}},
		{"with SIGHUP", []os.Signal{syscall.SIGHUP, syscall.SIGTERM}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			setGrace := func(path string, from, to time.Duration) {
				text, err := os.ReadFile(path)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, bytes.Contains(text, graceSetting(from)), qt.IsTrue)
				qt.Assert(t, os.WriteFile(path, bytes.Replace(text, graceSetting(from), graceSetting(to), 1), 0o600), qt.IsNil)
			}
			p := startEdgeProcess(t, func(cmd *exec.Cmd) { setGrace(cmd.Args[len(cmd.Args)-1], gracePeriod, longer) })
			setGrace(p.settings, longer, shorter)
			for _, signal := range test.signals {
				p.c.Assert(p.cmd.Process.Signal(signal), qt.IsNil)
			}
			select {
			case err := <-p.exited:
				p.c.Check(err, qt.IsNil)
			case <-time.After(shorter):
				p.c.Error("the process has not ended within its grace period")
			}
		})
	}
}

// TestSignalsEndNoServingNode guards against a SIGHUP that ends a node of the product's own interface, which has no settings to reload.
func TestSignalsEndNoServingNode(t *testing.T) {
	n := startServingNode(t)
	n.c.Assert(n.cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	select {
	case err := <-n.exited:
		n.c.Fatalf("node ended at SIGHUP: %v\n%s", err, n.out.String())
	case <-time.After(200 * time.Millisecond):
	}
	n.c.Check(n.isServing(), qt.IsTrue)
	n.c.Assert(n.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	repeat := time.NewTicker(20 * time.Millisecond)
	defer repeat.Stop()
	for ; ; <-repeat.C {
		select {
		case err := <-n.exited:
			n.c.Check(err, qt.IsNil, qt.Commentf("%s", n.out.String()))
			return
		default:
		}
		// An error means that the process has ended.
		_ = n.cmd.Process.Signal(syscall.SIGHUP)
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// TestShutdownOfServingNodeLeavesNoRequestUnanswered guards against a node of the product's own interface that reads a request while it shuts down, and closes
// the connection without an answer.
func TestShutdownOfServingNodeLeavesNoRequestUnanswered(t *testing.T) {
	n := startServingNode(t)
	n.c.Assert(n.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(addressKeep - 200*time.Millisecond)
	conn, err := net.Dial("tcp", n.address)
	n.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	time.Sleep(400 * time.Millisecond)
	n.c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Millisecond)), qt.IsNil)
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		// The node has closed the connection before it read a request.
		return
	}
	n.c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	_, err = fmt.Fprintf(conn, "GET /healthz HTTP/1.1\r\nHost: %s\r\n\r\n", n.address)
	n.c.Assert(err, qt.IsNil)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	n.c.Assert(err, qt.IsNil)
	n.c.Check(answer.Body.Close(), qt.IsNil)
}

// addressKeep is how long a servingNode serves on after SIGTERM.
const addressKeep = time.Second

// servingNode is a node of the product's own interface as a process.
type servingNode struct {
	c       *qt.C
	cmd     *exec.Cmd
	address string
	// exited receives the result of the process, after which out holds its output.
	exited chan error
	out    bytes.Buffer
}

// startServingNode starts the process and waits until it serves.
func startServingNode(t *testing.T) *servingNode {
	ip := ownLoopbackIP()
	n := &servingNode{c: qt.New(t), address: ip + ":8001", exited: make(chan error, 1)}
	unreachable := "http://" + ip + ":8002"
	n.cmd = exec.Command(os.Args[0], "serve", "--node=n1", "--failure-domain=a", "--region=r", "--listen="+n.address, "--advertise=http://"+n.address,
		"--peer-listen="+ip+":8003", "--metrics-listen="+ip+":8004", "--address-keep="+addressKeep.String(), "--kv="+unreachable, "--vm-list="+unreachable,
		"--rating="+unreachable, "--weight-store="+unreachable)
	n.cmd.Env = append(os.Environ(), runProgramEnv+"=1", "MONSOONRAIL_SESSION_SECRETS=session-secret-session-secret-01",
		"MONSOONRAIL_PEER_SECRET=peer-secret-peer-secret-peer-001", "MONSOONRAIL_ISSUE_SECRETS=issue-secret-issue-secret-issue1")
	n.cmd.Stdout, n.cmd.Stderr = &n.out, &n.out
	n.c.Assert(n.cmd.Start(), qt.IsNil)
	t.Cleanup(func() { _ = n.cmd.Process.Kill() })
	go func() { n.exited <- n.cmd.Wait() }()
	for end := time.Now().Add(20 * time.Second); !n.isServing(); time.Sleep(20 * time.Millisecond) {
		n.c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("node does not serve"))
	}
	return n
}

// isServing reports whether the node answers.
func (n *servingNode) isServing() bool {
	resp, err := http.Get("http://" + n.address + "/healthz")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil
}

// TestClosedLogPipeEndsNoNode guards against the end of the process that reads a node's log ending the node, and with it the calls under way.
func TestClosedLogPipeEndsNoNode(t *testing.T) {
	var reader, writer *os.File
	p := startEdgeProcess(t, func(cmd *exec.Cmd) {
		var err error
		reader, writer, err = os.Pipe()
		qt.Assert(t, err, qt.IsNil)
		cmd.Stdout, cmd.Stderr = writer, writer
	})
	p.c.Assert(writer.Close(), qt.IsNil)
	status := p.startCall("r1")
	p.c.Assert(reader.Close(), qt.IsNil)
	// Each call is logged once it is answered, and the second one follows the first one's line.
	p.c.Check(<-status, qt.Equals, http.StatusOK)
	p.c.Check(<-p.startCall("r2"), qt.Equals, http.StatusOK)
	p.c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	p.c.Check(<-p.exited, qt.IsNil)
}

// TestUnreadLogDelaysNoEnd guards against a node that is still there at the end of its grace period, and is killed, since it waits for a log that nobody reads.
func TestUnreadLogDelaysNoEnd(t *testing.T) {
	t.Parallel()
	reader, writer, err := os.Pipe()
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = reader.Close() }()
	p := startEdgeProcess(t, func(cmd *exec.Cmd) {
		fill(t, writer)
		cmd.Stdout, cmd.Stderr = writer, writer
	})
	p.c.Assert(writer.Close(), qt.IsNil)
	p.c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	select {
	case err := <-p.exited:
		p.c.Check(err, qt.IsNil)
	case <-time.After(gracePeriod):
		p.c.Error("the process has not ended within its grace period")
	}
}

// fill writes to a pipe until it takes no more.
func fill(t *testing.T, writer *os.File) {
	qt.Assert(t, writer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)), qt.IsNil)
	for err := error(nil); err == nil; {
		_, err = writer.Write([]byte{'\n'})
	}
}
