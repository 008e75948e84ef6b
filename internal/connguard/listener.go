// Package connguard bounds what the clients of an HTTP server hold before a request of theirs is read: connections, the memory of heads, and time.
package connguard

import (
	"bytes"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("connguard")

const (
	// ConnBytes is what a connection without a head takes: its goroutine, its buffers, and bytes that have arrived and are not read.
	ConnBytes = 32 << 10
	// headByteFactor is the memory that a byte of a head takes in a buffer, and again in its fields, headLineBytes that of a field beside its text.
	headByteFactor = 2
	headLineBytes  = 400
	// aheadBytes is what a connection takes in addition whose client sends on before its request is answered: bytes that have arrived and are not read.
	aheadBytes = 64 << 10
	// bufferBytes is the size of the server's read buffer, by which a read may go beyond a head.
	bufferBytes = 4 << 10
	// http2Bytes is what a connection of HTTP/2 takes in addition: the frame that is being read, compressed fields, goroutines, and 64 KiB of data that has arrived
	// and is not read. A stream takes streamBytes beside its fields.
	http2Bytes  = 112 << 10
	streamBytes = 24 << 10
	// endingPart is the part of the memory that ending connections may take before further ones are refused.
	endingPart = 2
	// bodyByteFactor is the memory that a byte of a body takes in a buffer that grows.
	bodyByteFactor = 2
	// standstill is added to the clients' time limits, since a node may stand still for a moment itself.
	standstill = 2 * time.Second
	// partingTime and partingBytes bound the reading of a connection after a refusal, which a client might not get otherwise.
	partingTime  = 500 * time.Millisecond
	partingBytes = 64 << 10
	// shortTime bounds the sending of a refusal where others wait for it; it only takes time if the client leaves answers unread.
	shortTime = 5 * time.Millisecond
)

// Limits are those that clients keep.
type Limits struct {
	// MaxHeadBytes bounds the head of a request.
	MaxHeadBytes int
	// HeadTimeout bounds the time from the opening of a connection, or the first byte of a further request, to the end of the head, IdleTimeout the time
	// between two requests.
	HeadTimeout, IdleTimeout time.Duration
}

// Cause is why a connection was closed or refused.
type Cause string

// Causes.
const (
	// HeadTooLarge and HeadTooSlow mean that a client didn't keep the limits of a head.
	HeadTooLarge Cause = "head too large"
	HeadTooSlow  Cause = "head too slow"
	// IdleTooLong means that no further request came.
	IdleTooLong Cause = "idle too long"
	// MadeRoom means that a connection without a request was closed for others, NoRoom that there was none to close.
	MadeRoom Cause = "made room"
	NoRoom   Cause = "no room"
	// NotServed means that the server closed a connection after the end of a head and before its request, or after a head that is none of a request.
	NotServed Cause = "not served"
)

// Options configures New.
type Options struct {
	Listener net.Listener
	// MaxConns bounds the connections, MaxBytes the memory that they and their heads take.
	MaxConns int
	MaxBytes int64
	// Limits returns those in force.
	Limits func() Limits
	// Count counts a connection that was closed or refused.
	Count func(cause Cause)
	// CountsBodies is set if the memory of requests' bodies is counted until the requests end, and no other budget bounds it. Reads of a body for which there is
	// no room fail with ErrNoRoom.
	CountsBodies bool
	// IsForPeers is set if clients authenticate with their requests (see Authenticated). They may use HTTP/2 without TLS, and have HeadTimeout to authenticate.
	IsForPeers bool
}

// Listener is a net.Listener whose connections are bounded. The http.Server that uses it must have its ConnState and ConnContext, and its handler wrapped by Handler. When
// a bound is reached, the connection that has waited longest without a request is closed first, and one that never had a request before one that had. Between
// the two come those whose clients send on before their requests are answered, and last those whose requests' bodies don't come.
type Listener struct {
	net.Listener
	opts Options

	mu    sync.Mutex
	conns int
	bytes int64
	// endingBytes is the memory of connections of HTTP/2 that have ended for others, and that the server hasn't closed yet.
	endingBytes int64
	// unproven and idle hold the connections without a request, of which the latter have had one, and ahead those whose clients send on before their requests are
	// answered, and unread those whose request's body has yet to come; those that have waited longest come first.
	unproven, ahead, idle, unread *list.List
	// drained is closed, and isDrained set, once no connection is left or accepted after Drain was called at drainsFrom; it is nil before.
	drained              chan struct{}
	isDrained, isRefused bool
	drainsFrom           time.Time
}

// New returns a listener that wraps another one.
func New(opts Options) *Listener {
	return &Listener{Listener: opts.Listener, opts: opts, unproven: list.New(), ahead: list.New(), idle: list.New(), unread: list.New()}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil && l.isDraining() {
			accepted, err = l.acceptLast(err)
		}
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l}
		if l.add(c) {
			return c, nil
		}
		l.opts.Count(NoRoom)
		refuse(accepted, refusalNoRoom, shortTime)
		_ = accepted.Close()
	}
}

// add makes room for a connection, and reports false if there is none.
func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	if l.endingBytes > l.opts.MaxBytes/endingPart {
		defer l.mu.Unlock()
		return false
	}
	ended := l.makeRoom(1, ConnBytes, nil)
	// Nothing waits any more for a connection that comes after the end of Drain.
	hasRoom := !l.isDrained && l.conns < l.opts.MaxConns && l.bytes+ConnBytes <= l.opts.MaxBytes
	if hasRoom {
		l.conns++
		c.bytes = ConnBytes
		l.bytes += ConnBytes
		c.waitsFrom = time.Now()
		c.place, c.queue = l.unproven.PushBack(c), l.unproven
	}
	l.mu.Unlock()
	l.closeForRoom(ended)
	return hasRoom
}

// isReadingHead reports whether the bytes that come next on a connection are those of a head that the server hasn't got.
func (l *Listener) isReadingHead(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitsForHead(c) && !c.isHandedOver
}

// waitsForHead reports whether no request of a connection is served, and one of HTTP/1 is expected.
func (l *Listener) waitsForHead(c *conn) bool {
	return !c.isHTTP2 && (c.queue == l.unproven || c.queue == l.idle)
}

// sendsAhead counts what a client sends on before its request is answered. It returns false if the connection has to end for that.
func (l *Listener) sendsAhead(c *conn) bool {
	l.mu.Lock()
	if c.isEnded || c.isAuthenticated || c.isHTTP2 || c.queue != nil && c.queue != l.unread {
		defer l.mu.Unlock()
		return !c.isEnded
	}
	l.leaveQueue(c)
	c.place, c.queue = l.ahead.PushBack(c), l.ahead
	ended := l.makeRoom(0, aheadBytes, c)
	hasRoom := l.bytes+aheadBytes <= l.opts.MaxBytes
	if hasRoom {
		c.bytes += aheadBytes
		l.bytes += aheadBytes
	} else {
		l.end(c)
	}
	l.mu.Unlock()
	l.closeForRoom(ended)
	return hasRoom
}

// grow counts bytes that were read, if they are those of a head, and the memory of the fields that the server makes of some; nil means of none yet. Other connections
// may have to be closed for it. It returns false if the connection has ended, or has to for a cause.
func (l *Listener) grow(c *conn, read int, fields []byte) (Cause, bool) {
	l.mu.Lock()
	if c.isEnded || c.queue == nil || !l.waitsForHead(c) {
		defer l.mu.Unlock()
		if c.queue == l.unread && read > 0 {
			c.waitsFrom = time.Now()
			l.unread.MoveToBack(c.place)
		}
		return "", !c.isEnded
	}
	if c.headBytes == 0 && c.queue == l.idle {
		// From now on the time is that of a head.
		c.waitsFrom = time.Now()
		l.idle.MoveToBack(c.place)
	}
	hasBegun := c.headBytes == 0 && read > 0
	if c.headBytes += read; fields != nil && !c.isHandedOver {
		// What follows on the head is no part of it.
		c.headBytes = len(fields)
	}
	if hasBegun && l.drained != nil {
		// The wait for the head has ended. It fails only if the connection is closed already.
		_ = c.applyReadDeadline()
	}
	if limit := l.opts.Limits().MaxHeadBytes; limit > 0 && c.headBytes > limit+bufferBytes {
		// The connection counts until its client has had the time to take the refusal.
		c.isEnded = true
		l.leaveQueue(c)
		c.place, c.queue = l.unproven.PushFront(c), l.unproven
		l.mu.Unlock()
		return HeadTooLarge, false
	}
	wanted := int64(headByteFactor * read)
	if fields != nil {
		c.isHandedOver = true
		wanted += int64(headByteFactor*len(fields) + headLineBytes*bytes.Count(fields, []byte{'\n'}))
	}
	ended := l.makeRoom(0, wanted, c)
	hasRoom := l.bytes+wanted <= l.opts.MaxBytes
	if hasRoom {
		c.bytes += wanted
		l.bytes += wanted
	} else {
		l.end(c)
	}
	l.mu.Unlock()
	l.closeForRoom(ended)
	return NoRoom, hasRoom
}

// makeRoom ends connections other than the given one until there is room for further connections and bytes, or there are no more to end. It returns those
// that have ended, which must be closed.
func (l *Listener) makeRoom(conns int, memory int64, except *conn) (ended []*conn) {
	for l.conns+conns > l.opts.MaxConns || l.bytes+memory > l.opts.MaxBytes {
		victim := l.longestWaiting(except)
		if victim == nil {
			break
		}
		l.end(victim)
		ended = append(ended, victim)
	}
	return ended
}

// longestWaiting returns the connection to close first; nil if there is none but the given one.
func (l *Listener) longestWaiting(except *conn) *conn {
	for _, queue := range []*list.List{l.unproven, l.ahead, l.idle, l.unread} {
		for e := queue.Front(); e != nil; e = e.Next() {
			c := e.Value.(*conn)
			if queue == l.unread && time.Since(c.waitsFrom) < standstill {
				break
			}
			if c != except {
				return c
			}
		}
	}
	return nil
}

// end takes a connection out of all counts. It must be closed afterwards; no request of it is served any more.
func (l *Listener) end(c *conn) {
	c.isEnded, c.isCutOff = true, c.queue == l.ahead || c.queue == l.unread
	l.leaveQueue(c)
	if c.isHTTP2 && !c.isForgotten {
		c.endingBytes = c.bytes
		l.endingBytes += c.bytes
	}
	l.forget(c)
}

func (l *Listener) leaveQueue(c *conn) {
	if c.queue != nil {
		c.queue.Remove(c.place)
		c.queue, c.place = nil, nil
	}
}

func (l *Listener) forget(c *conn) {
	if !c.isForgotten {
		c.isForgotten = true
		l.conns--
		l.bytes -= c.bytes
		l.checkDrained()
	}
}

// closeForRoom closes connections that have ended for others.
func (l *Listener) closeForRoom(ended []*conn) {
	for _, c := range ended {
		l.opts.Count(MadeRoom)
		c.refuseAndClose(refusalNoRoom)
	}
}

// ConnState is the hook of the http.Server.
func (l *Listener) ConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.isHTTP2 {
		// The connection has several requests at once, and waits until its client has authenticated.
		return
	}
	switch state {
	case http.StateActive:
		l.leaveQueue(c)
	case http.StateHijacked:
		// What tunnels hold is bounded by their number.
		if c.isForgotten {
			return
		}
		l.leaveQueue(c)
		l.bytes -= c.bytes
		c.bytes = 0
	case http.StateIdle:
		if c.isForgotten {
			return
		}
		l.leaveQueue(c)
		l.bytes -= c.bytes - ConnBytes
		c.bytes, c.headBytes, c.isHandedOver, c.isBegun, c.waitsFrom = ConnBytes, 0, false, false, time.Now()
		if !c.isAuthenticated {
			c.place, c.queue = l.idle.PushBack(c), l.idle
		}
	}
}

// connKey is the context key of a connection.
type connKey struct{}

// ConnContext is the hook of the http.Server.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// ConnOf returns the connection of a request to a server with ConnContext; nil for others.
func ConnOf(req *http.Request) net.Conn {
	nc, _ := req.Context().Value(connKey{}).(net.Conn)
	return nc
}

// Handler returns a handler that serves no request of a connection that has ended: its client may have been told so.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c, ok := ConnOf(req).(*conn)
		if !ok {
			next.ServeHTTP(w, req)
			return
		}
		hasBody := req.ContentLength != 0
		if c.isHTTP2 {
			held := c.beginStream(req.Header)
			if held == nil {
				panic(http.ErrAbortHandler)
			}
			defer held.release()
			if hasBody {
				req = req.WithContext(req.Context())
				req.Body = &streamBody{ReadCloser: req.Body, request: held}
			}
			next.ServeHTTP(w, req)
			return
		}
		if !c.begin(req.Header, hasBody) {
			panic(http.ErrAbortHandler)
		}
		if hasBody {
			// A copy, since the server looks at the type of its own request's body.
			req = req.WithContext(req.Context())
			held := &request{conn: c}
			defer held.release()
			req.Body = &body{ReadCloser: req.Body, conn: c, request: held}
		}
		next.ServeHTTP(w, req)
	})
}

// body is the body of a request, which tells its connection when it has been read.
type body struct {
	io.ReadCloser
	conn    *conn
	request *request
	isRead  bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.conn.listener.opts.CountsBodies && !b.request.holdBody(n) {
		b.conn.listener.opts.Count(NoRoom)
		return 0, Error.Wrap(&ErrNoRoom{})
	}
	if err == io.EOF && !b.isRead {
		b.isRead = true
		if !b.conn.hasBody() {
			return 0, b.conn.closedError()
		}
	}
	return n, err
}

// Sweep closes the connections that have taken too long.
func (l *Listener) Sweep(now time.Time) {
	limits := l.opts.Limits()
	type late struct {
		conn  *conn
		cause Cause
	}
	var all []late
	l.mu.Lock()
	for _, queue := range []*list.List{l.unproven, l.idle} {
		var next *list.Element
		for e := queue.Front(); e != nil; e = next {
			next = e.Next()
			c := e.Value.(*conn)
			cause, most := HeadTooSlow, limits.HeadTimeout
			if queue == l.idle && c.headBytes == 0 {
				cause, most = IdleTooLong, limits.IdleTimeout
			}
			if most > 0 && now.Sub(c.waitsFrom) > most+standstill {
				l.end(c)
				all = append(all, late{c, cause})
			}
		}
	}
	l.mu.Unlock()
	for _, end := range all {
		l.opts.Count(end.cause)
		end.conn.refuseAndClose(refusalTooSlow)
	}
}

// Usage returns the number of open connections and the memory that is counted for them.
func (l *Listener) Usage() (conns int, memory int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns, l.bytes
}

// Refusals of requests that were not read; none of them has run.
const (
	refusalTail     = "Connection: close\r\nContent-Length: 0\r\n\r\n"
	refusalTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\n" + refusalTail
	refusalTooSlow  = "HTTP/1.1 408 Request Timeout\r\n" + refusalTail
	refusalNoRoom   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + refusalTail
)

// refuse sends a refusal; a client that doesn't take it doesn't get it.
func refuse(to net.Conn, refusal string, within time.Duration) {
	_ = to.SetWriteDeadline(time.Now().Add(within))
	_, _ = io.WriteString(to, refusal)
}
