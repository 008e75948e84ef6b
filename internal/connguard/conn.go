package connguard

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"net/http"
	"time"
)

// conn is a connection of a Listener, whose lock guards the fields from queue on.
type conn struct {
	net.Conn
	listener *Listener
	// head holds the part of a head that has been read until the rest of it is; only the goroutine that reads uses it.
	head head

	// queue is the one that holds the connection at place; nil while it has a request, unless its body has yet to come or its client sends on.
	queue *list.List
	place *list.Element
	// waitsFrom is when the connection was opened, its last request ended or the first byte of a further one arrived.
	waitsFrom time.Time
	// headBytes is the number of bytes read since then, bytes the memory that is counted for the connection.
	headBytes int
	bytes     int64
	// readDeadline is the deadline for reads that the server has set.
	readDeadline time.Time
	// isHandedOver means that the server has got the head, or a part of one that it refuses.
	isHandedOver bool
	// isBegun means that the request of that head is or was served.
	isBegun bool
	// endingBytes is what bytes was when the connection ended, until the server closes it.
	endingBytes int64
	// isHTTP2 is set once the connection has begun with the preface of HTTP/2, by the goroutine that reads; isAuthenticated once its client has authenticated.
	isHTTP2, isAuthenticated bool
	// isEnded means that no request is served any more, isForgotten that the connection counts no more, isCutOff that it ended while a request ran.
	isEnded, isForgotten, isCutOff bool
}

// Read implements net.Conn. It returns nothing of a head before the end of it has arrived, since the server makes fields, which take many times its memory,
// of each part.
func (c *conn) Read(p []byte) (int, error) {
	if n := c.head.handOver(p); n > 0 || len(p) == 0 {
		return n, nil
	}
	if c.isHTTP2 {
		return c.Conn.Read(p)
	}
	for c.listener.isReadingHead(c) {
		to := c.head.room(p, c.listener.opts.Limits().MaxHeadBytes)
		n, err := c.readHead(to)
		if n == 0 {
			c.head.release()
			return 0, err
		}
		fields := c.head.add(to[:n])
		if c.listener.opts.IsForPeers && bytes.HasPrefix(fields, http2FirstLine) {
			c.listener.beginHTTP2(c)
		}
		if cause, ok := c.listener.grow(c, n, fields); !ok {
			c.head.release()
			if cause != "" {
				c.listener.opts.Count(cause)
				c.part(cause)
			}
			return 0, c.closedError()
		}
		if fields == nil {
			c.head.hold(to[:n])
			continue
		}
		if !c.head.isHeld() {
			c.head.release()
			return n, err
		}
		c.head.extend(n)
		return c.head.handOver(p), nil
	}
	n, err := c.Conn.Read(p)
	if n == 1 && len(p) == 1 && !c.listener.sendsAhead(c) {
		// While a request runs whose body has been read, the server waits for a byte only, since its client may leave.
		c.listener.opts.Count(NoRoom)
		c.reset()
		return 0, c.closedError()
	}
	if cause, ok := c.listener.grow(c, n, p[:n]); !ok {
		if cause != "" {
			c.listener.opts.Count(cause)
			c.part(cause)
		}
		return 0, c.closedError()
	}
	return n, err
}

// closedError returns the error of a read after which the server closes the connection without an answer of its own.
func (c *conn) closedError() error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// reset closes the connection so that its client can't take a part of an answer for the whole.
func (c *conn) reset() {
	_ = c.SetLinger(0)
	_ = c.Conn.Close()
}

// part refuses the request whose head is being read, and takes some of what is still on its way: unread bytes would reset the connection, and the refusal
// with it.
func (c *conn) part(cause Cause) {
	if cause != HeadTooLarge {
		refuse(c.Conn, refusalNoRoom, partingTime)
		return
	}
	refuse(c.Conn, refusalTooLarge, partingTime)
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(partingTime))
	_, _ = io.CopyN(io.Discard, c.Conn, partingBytes)
}

// refuseAndClose refuses the request whose head was being read, if there was one, and closes the connection.
func (c *conn) refuseAndClose(refusal string) {
	if c.isCutOff || c.isHTTP2 {
		c.reset()
		return
	}
	if c.headBytes > 0 {
		refuse(c.Conn, refusal, shortTime)
	}
	_ = c.Conn.Close()
}

// begin records that a request is served, and reports false if the connection has ended since the server told its ConnState of the request. hasBody is set if
// the request has a body to be read.
func (c *conn) begin(header http.Header, hasBody bool) bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.isEnded {
		return false
	}
	l.leaveQueue(c)
	c.isBegun = true
	if c.bytes == ConnBytes && !c.isAuthenticated {
		// The head came together with the request before, and wasn't counted.
		fields := fieldBytes(header)
		c.bytes += fields
		l.bytes += fields
	}
	if hasBody && !c.isAuthenticated {
		c.waitsFrom = time.Now()
		c.place, c.queue = l.unread.PushBack(c), l.unread
	}
	return true
}

// hasBody records that the body of the request has been read, and reports false if the connection has ended.
func (c *conn) hasBody() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.queue == c.listener.unread {
		c.listener.leaveQueue(c)
	}
	return !c.isEnded
}

// fieldBytes returns the memory that the fields of a head take.
func fieldBytes(header http.Header) int64 {
	total := 0
	for key, values := range header {
		for _, value := range values {
			total += headByteFactor*(len(key)+len(value)) + headLineBytes
		}
	}
	return int64(total)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	// A connection that the guard has ended was counted with its cause.
	isNotServed := c.isHandedOver && !c.isBegun && !c.isEnded && !c.isHTTP2
	l.leaveQueue(c)
	l.forget(c)
	c.isEnded = true
	l.endingBytes -= c.endingBytes
	c.endingBytes = 0
	l.mu.Unlock()
	if isNotServed {
		l.opts.Count(NotServed)
	}
	return c.Conn.Close()
}

// CloseWrite closes the direction to the client.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does, as that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
