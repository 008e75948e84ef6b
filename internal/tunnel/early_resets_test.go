package tunnel_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// resettingNetwork opens connections to a server that answers with a part of an answer and resets the connection within the upload: the write takes the error,
// and the read finds an end as of a proper close, before the write returns.
type resettingNetwork struct{ tcp.System }

// DialContext implements tcp.Network.
func (resettingNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	conn, _ := net.Pipe()
	return &resetConn{Conn: conn, reset: make(chan struct{})}, nil
}

type resetConn struct {
	net.Conn
	reset   chan struct{}
	hasPart bool
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	<-c.reset
	if !c.hasPart {
		c.hasPart = true
		return copy(p, "part"), nil
	}
	return 0, io.EOF
}

// Write implements net.Conn.
func (c *resetConn) Write([]byte) (int, error) {
	close(c.reset)
	time.Sleep(20 * time.Millisecond)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
}

// TestErrorOfAWriteIsNoProperEnd lets the write to a server take the error of a reset from the read.
func TestErrorOfAWriteIsNoProperEnd(t *testing.T) {
	const server = "127.0.0.1:9"
	conn, err := newSocketDialerBy(t, resettingNetwork{}, server).DialContext(context.Background(), "tcp", server)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("?"))
	qt.Assert(t, err, qt.IsNil)
	got, err := io.ReadAll(conn)
	qt.Check(t, string(got), qt.Equals, "part")
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
}

// earlyResets is the number of uploads of TestResetWithinAnUploadIsNoProperEnd, which meet the reset at different moments.
const earlyResets = 400

// TestResetWithinAnUploadIsNoProperEnd sends long uploads to a server that answers at once, in part, and resets the connection while the upload is still being
// written: the part must not end properly at the node, as an answer without a length would then look complete.
func TestResetWithinAnUploadIsNoProperEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(conn, make([]byte, 1))
				_, _ = io.WriteString(conn, "part")
				_, _ = io.CopyN(io.Discard, conn, 768<<10)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	dialer := newSocketDialer(t, listener.Addr().String())
	upload := make([]byte, 1<<20)
	proper := 0
	for range earlyResets {
		conn, err := dialer.DialContext(context.Background(), "tcp", listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		// A node reads the answer once it has written the whole request.
		if _, err := conn.Write(upload); err == nil {
			if _, err := io.ReadAll(conn); err == nil {
				proper++
			}
		}
		_ = conn.Close()
	}
	qt.Check(t, proper, qt.Equals, 0, qt.Commentf("of %d", earlyResets))
}
