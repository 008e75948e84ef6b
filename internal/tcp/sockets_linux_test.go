package tcp_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// socketOption returns an option of a connection's socket.
func socketOption(t *testing.T, conn net.Conn, level, option int) (value int) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	var optionErr error
	qt.Assert(t, raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), level, option) }), qt.IsNil)
	qt.Assert(t, optionErr, qt.IsNil)
	return value
}

// TestSocketsOutlastShortCuts checks the sockets of both ends of a connection: a TCP_USER_TIMEOUT would also end the keep-alive probes, and with them sound
// connections over links that are cut for some seconds and heal. Silence is bounded by the timeouts of requests instead.
func TestSocketsOutlastShortCuts(t *testing.T) {
	const minProbeTime = 60 * time.Second
	listener, err := tcp.System{}.Listen(context.Background(), "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dialed, err := tcp.System{}.DialContext(context.Background(), "tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = accepted.Close() }()
	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		qt.Check(t, socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), qt.Equals, 0, qt.Commentf(name))
		qt.Check(t, socketOption(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE), qt.Equals, 1, qt.Commentf(name))
		idle := socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
		probes := socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL) * socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		qt.Check(t, time.Duration(idle+probes)*time.Second > minProbeTime, qt.IsTrue, qt.Commentf("%s: %d s and %d s", name, idle, probes))
	}
}
