package tcp_test

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

func TestOutcomeOfDial(t *testing.T) {
	for _, test := range []struct {
		err  error
		want tcp.DialOutcome
	}{
		{nil, tcp.DialOpened},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, tcp.DialRefused},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}, tcp.DialRefused},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ETIMEDOUT)}, tcp.DialSilent},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}, tcp.DialFailed},
		{context.Canceled, tcp.DialCanceled},
	} {
		qt.Check(t, tcp.OutcomeOfDial(test.err), qt.Equals, test.want, qt.Commentf("%v", test.err))
	}
}

// TestOutcomesOfRealDials dials a port without a listener, and lets the time for a dial end and its context be canceled.
func TestOutcomesOfRealDials(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	_, err = tcp.System{}.DialContext(context.Background(), "tcp", address)
	qt.Check(t, tcp.OutcomeOfDial(err), qt.Equals, tcp.DialRefused)

	expired, cancelExpired := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancelExpired()
	_, err = tcp.System{}.DialContext(expired, "tcp", address)
	qt.Check(t, tcp.OutcomeOfDial(err), qt.Equals, tcp.DialSilent, qt.Commentf("%v", err))

	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = tcp.System{}.DialContext(canceled, "tcp", address)
	qt.Check(t, tcp.OutcomeOfDial(err), qt.Equals, tcp.DialCanceled, qt.Commentf("%v", err))
}
