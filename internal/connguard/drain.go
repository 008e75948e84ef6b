package connguard

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// newConnWait is how long a draining listener waits for the first request of a connection, keptConnWait for a further one, which its client may
	// have sent before it learns that the connection is closed.
	newConnWait  = time.Second
	keptConnWait = 100 * time.Millisecond
	// lastReadWait bounds the read with which a connection is checked for bytes that arrived before its wait ended.
	lastReadWait = time.Millisecond
)

// Drain stops accepting connections and waits until all of them have ended, at most until ctx ends. Connections without a request are closed after a short
// wait. A request of which a byte has been read is served, unlike with http.Server.Shutdown, which closes the connections whose heads it reads after its begin.
// Answers should say "Connection: close" from now on, so that their clients know before they send a further request.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	if l.drained == nil {
		l.drained, l.drainsFrom = make(chan struct{}), time.Now()
		for _, queue := range []*list.List{l.unproven, l.idle} {
			for e := queue.Front(); e != nil; e = e.Next() {
				// It fails only if the connection is closed already.
				_ = e.Value.(*conn).applyReadDeadline()
			}
		}
	}
	drained := l.drained
	l.mu.Unlock()
	if err := l.setAcceptDeadline(time.Now()); err != nil {
		_ = l.Listener.Close()
	}
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// setAcceptDeadline sets the deadline for accepting connections; it fails if the listener has none, or is closed already.
func (l *Listener) setAcceptDeadline(deadline time.Time) error {
	inner, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.SetDeadline(deadline)
}

// acceptLast accepts a connection that the kernel has opened before the listener is closed, which would reset it. If there is none, it closes the listener and
// returns http.ErrServerClosed. err is that of the accept that failed.
func (l *Listener) acceptLast(err error) (net.Conn, error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(l.drainsFrom) < newConnWait && l.setAcceptDeadline(time.Now().Add(lastReadWait)) == nil {
		if accepted, err := l.Listener.Accept(); err == nil {
			return accepted, nil
		}
	}
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isRefused = true
	l.checkDrained()
	return nil, http.ErrServerClosed
}

// checkDrained ends Drain if no connection is left or accepted. The caller holds the lock.
func (l *Listener) checkDrained() {
	if l.conns == 0 && l.isRefused && l.drained != nil && !l.isDrained {
		l.isDrained = true
		close(l.drained)
	}
}

// isDraining reports whether Drain was called.
func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drained != nil
}

// SetReadDeadline implements net.Conn. While its listener drains, a connection without a request may have an earlier deadline.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.readDeadline = deadline
	return c.applyReadDeadline()
}

// applyReadDeadline sets the deadline for reads of the connection. The caller holds the listener's lock.
func (c *conn) applyReadDeadline() error {
	deadline, l := c.readDeadline, c.listener
	if l.drained != nil && l.waitsForHead(c) && c.headBytes == 0 {
		wait := keptConnWait
		if c.queue == l.unproven {
			wait = newConnWait
		}
		from := c.waitsFrom
		if from.Before(l.drainsFrom) {
			from = l.drainsFrom
		}
		if end := from.Add(wait); deadline.IsZero() || end.Before(deadline) {
			deadline = end
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// readHead reads bytes of a head. If the wait for them has ended while the listener drains, it reads those that arrived before: the process may have stood
// still since.
func (c *conn) readHead(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.listener.isDraining() {
		return n, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lastReadWait)); err != nil {
		return 0, err
	}
	return c.Conn.Read(to)
}
