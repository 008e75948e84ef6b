package cmd

import (
	"bytes"
	"fmt"
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
	for _, test := range []struct {
		name    string
		signals []os.Signal
	}{
		{"without SIGHUP", []os.Signal{syscall.SIGTERM}},
		{"with SIGHUP", []os.Signal{syscall.SIGHUP, syscall.SIGTERM}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := startEdgeProcess(t, nil)
			old, err := os.ReadFile(p.settings)
			p.c.Assert(err, qt.IsNil)
			shorter := bytes.Replace(old, fmt.Appendf(nil, "graceS = %d", int(gracePeriod.Seconds())), []byte("graceS = 1"), 1)
			p.c.Assert(os.WriteFile(p.settings, shorter, 0o600), qt.IsNil)
			for _, signal := range test.signals {
				p.c.Assert(p.cmd.Process.Signal(signal), qt.IsNil)
			}
			select {
			case err := <-p.exited:
				p.c.Check(err, qt.IsNil)
			case <-time.After(time.Second):
				p.c.Error("the process has not ended within its grace period")
			}
		})
	}
}

// TestSignalsEndNoServingNode guards against a SIGHUP that ends a node of the product's own interface, which has no settings to reload.
func TestSignalsEndNoServingNode(t *testing.T) {
	c := qt.New(t)
	ip := ownLoopbackIP()
	address, unreachable := ip+":8001", "http://"+ip+":8002"
	node := exec.Command(os.Args[0], "serve", "--node=n1", "--failure-domain=a", "--region=r", "--listen="+address, "--advertise=http://"+address,
		"--peer-listen="+ip+":8003", "--metrics-listen="+ip+":8004", "--address-keep=1s", "--kv="+unreachable, "--vm-list="+unreachable, "--rating="+unreachable, "--weight-store="+unreachable)
	node.Env = append(os.Environ(), runProgramEnv+"=1", "MONSOONRAIL_SESSION_SECRETS=session-secret-session-secret-01",
		"MONSOONRAIL_PEER_SECRET=peer-secret-peer-secret-peer-001", "MONSOONRAIL_ISSUE_SECRETS=issue-secret-issue-secret-issue1")
	var out bytes.Buffer
	node.Stdout, node.Stderr = &out, &out
	c.Assert(node.Start(), qt.IsNil)
	exited := make(chan error, 1)
	go func() { exited <- node.Wait() }()
	isServing := func() bool {
		resp, err := http.Get("http://" + address + "/healthz")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	}
	for end := time.Now().Add(20 * time.Second); !isServing(); time.Sleep(20 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("node does not serve"))
	}
	c.Assert(node.Process.Signal(syscall.SIGHUP), qt.IsNil)
	select {
	case err := <-exited:
		c.Fatalf("node ended at SIGHUP: %v\n%s", err, out.String())
	case <-time.After(200 * time.Millisecond):
	}
	c.Check(isServing(), qt.IsTrue)
	c.Assert(node.Process.Signal(syscall.SIGTERM), qt.IsNil)
	repeat := time.NewTicker(20 * time.Millisecond)
	defer repeat.Stop()
	for ; ; <-repeat.C {
		select {
		case err := <-exited:
			c.Check(err, qt.IsNil, qt.Commentf("%s", out.String()))
			return
		default:
		}
		// An error means that the process has ended.
		_ = node.Process.Signal(syscall.SIGHUP)
		_ = node.Process.Signal(syscall.SIGTERM)
	}
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
