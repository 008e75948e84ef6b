package memnet

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote *net.TCPAddr
	// in carries the bytes from the peer and out the bytes to the peer.
	in, out *halfConn
	closing sync.Once
	// resetsOnClose is set by SetLinger(0).
	resetsOnClose atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.in.read(p)
	return n, c.opError("read", err)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.out.write(p)
	return n, c.opError("write", err)
}

// opError wraps the error of an operation on a closed connection as net.TCPConn does: to a plain one net/http answers with status 400.
func (c *conn) opError(operation string, err error) error {
	if !errors.Is(err, net.ErrClosed) {
		return err
	}
	return &net.OpError{Op: operation, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Close implements net.Conn. Bytes written before Close are still delivered.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closing.Do(func() {
		err = nil
		c.network.removeConn(c)
		end := io.EOF
		if c.resetsOnClose.Load() {
			end = syscall.ECONNRESET
		}
		// The reader ends first: its pending Read must not see the peer's reaction to the close.
		c.in.closeReader(!c.out.isSilent())
		c.out.closeWriter(end)
	})
	return err
}

// CloseWrite closes the direction to the peer and leaves the other direction open.
func (c *conn) CloseWrite() error {
	c.out.closeWriter(io.EOF)
	return nil
}

// SetLinger is like that of net.TCPConn: with 0, Close resets the connection. The bytes in flight arrive first, as they do where the network
// is faster than the peer.
func (c *conn) SetLinger(seconds int) error {
	c.resetsOnClose.Store(seconds == 0)
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// reset fails both directions with ECONNRESET; bytes in flight are lost.
func (c *conn) reset() {
	c.in.fail(syscall.ECONNRESET)
	c.out.fail(syscall.ECONNRESET)
}

// listener accepts the connections to one port of a host.
type listener struct {
	host    *Host
	address *net.TCPAddr
	queue   chan *conn
	closed  chan struct{}
	closing sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	default:
	}
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	}
}

// Close implements net.Listener. Connections that wait for Accept are reset.
func (l *listener) Close() error {
	l.host.network.mu.Lock()
	defer l.host.network.mu.Unlock()
	l.close()
	return nil
}

// close closes the listener; the caller holds the network's lock.
func (l *listener) close() {
	l.closing.Do(func() {
		close(l.closed)
		delete(l.host.listeners, l.address.Port)
		for {
			select {
			case c := <-l.queue:
				c.reset()
				delete(l.host.network.conns, c)
			default:
				return
			}
		}
	})
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }
