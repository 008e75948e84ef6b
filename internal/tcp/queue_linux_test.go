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

func TestQueueIsBounded(t *testing.T) {
	const maxConns, receiveMemory, tries = 4, 32 << 10, 12
	listener, err := tcp.System{}.Listen(context.Background(), "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	qt.Assert(t, tcp.BoundQueue(listener, maxConns, receiveMemory), qt.IsNil)
	opened := 0
	for range tries {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			continue
		}
		defer func() { _ = conn.Close() }()
		opened++
	}
	// The kernel lets one connection more wait.
	qt.Check(t, opened > 0 && opened <= maxConns+1, qt.IsTrue, qt.Commentf("%d connections", opened))
	accepted, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = accepted.Close() }()
	qt.Check(t, socketOption(t, accepted, unix.SOL_SOCKET, unix.SO_RCVBUF), qt.Equals, receiveMemory)
}
