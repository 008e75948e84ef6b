package connguard

import (
	"errors"
	"io"
	"net"
	"net/http"
)

// http2FirstLine is the first line of the preface of HTTP/2 (RFC 9113, section 3.4).
var http2FirstLine = []byte("PRI * HTTP/2.0\r\n")

// ErrNoRoom means that there is no memory left for the body of a request.
type ErrNoRoom struct{}

// Error implements error.
func (*ErrNoRoom) Error() string { return "no memory left for the request's body" }

// IsErrNoRoom reports whether err is an ErrNoRoom.
func IsErrNoRoom(err error) bool {
	var target *ErrNoRoom
	return errors.As(err, &target)
}

// Authenticated records that the client of a connection has authenticated. From now on the connection isn't closed, neither for others nor for the time that it
// takes, and what its requests hold isn't counted.
func Authenticated(nc net.Conn) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.isAuthenticated || c.isEnded {
		return
	}
	c.isAuthenticated = true
	l.leaveQueue(c)
	l.bytes -= c.bytes - c.baseBytes()
	c.bytes = c.baseBytes()
}

// baseBytes returns the memory of a connection without requests.
func (c *conn) baseBytes() int64 {
	if c.isHTTP2 {
		return ConnBytes + http2Bytes
	}
	return ConnBytes
}

// beginHTTP2 records that a connection has begun with the preface of HTTP/2. The connection ends if there is no memory for that.
func (l *Listener) beginHTTP2(c *conn) {
	l.mu.Lock()
	if !c.isEnded {
		c.isHTTP2 = true
	}
	l.mu.Unlock()
	if !c.add(http2Bytes, nil) {
		c.endHTTP2()
	}
}

// add counts memory of a connection, and of the request that needs it if that isn't nil. Other connections may have to be closed for it. It reports false if there is
// no room, or if the connection has ended.
func (c *conn) add(bytes int64, of *request) bool {
	l := c.listener
	l.mu.Lock()
	if c.isEnded || c.isAuthenticated {
		defer l.mu.Unlock()
		return !c.isEnded
	}
	ended := l.makeRoom(0, bytes, c)
	hasRoom := l.bytes+bytes <= l.opts.MaxBytes
	if hasRoom {
		c.bytes += bytes
		l.bytes += bytes
		if of != nil {
			of.bytes += bytes
		}
	}
	l.mu.Unlock()
	l.closeForRoom(ended)
	return hasRoom
}

// endHTTP2 ends a connection for which there is no room, with all of its requests.
func (c *conn) endHTTP2() {
	l := c.listener
	l.mu.Lock()
	isFirst := !c.isEnded
	l.end(c)
	l.mu.Unlock()
	if isFirst {
		l.opts.Count(NoRoom)
	}
	c.reset()
}

// request is the memory that a request has until it ends; the listener's lock guards bytes.
type request struct {
	conn  *conn
	bytes int64
}

// beginStream counts the memory of a request's fields. It returns nil if there is none, and ends the connection.
func (c *conn) beginStream(header http.Header) *request {
	r := &request{conn: c}
	if !c.add(streamBytes+fieldBytes(header), r) {
		c.endHTTP2()
		return nil
	}
	return r
}

// holdBody counts bytes of the request's body, and reports false if there is no room.
func (r *request) holdBody(read int) bool { return r.conn.add(bodyByteFactor*int64(read), r) }

// release gives the memory back. That of a client that has authenticated isn't counted any more.
func (r *request) release() {
	c, l := r.conn, r.conn.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.isAuthenticated && !c.isForgotten {
		// A connection that a handler took over counts nothing any more.
		bytes := min(r.bytes, c.bytes)
		c.bytes -= bytes
		l.bytes -= bytes
	}
}

// streamBody is the body of a request of HTTP/2.
type streamBody struct {
	io.ReadCloser
	request *request
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.request.holdBody(n) {
		b.request.conn.endHTTP2()
		return 0, b.request.conn.closedError()
	}
	return n, err
}
