package workshare

import (
	"net"
	"sync"
	"time"
)

const (
	// writeTimeout bounds the time in which the other end takes what is written.
	writeTimeout = 2 * time.Second
	// maxQueuedBytes bounds the bytes that wait for a slow reader. Beyond it frames are skipped.
	maxQueuedBytes = 64 << 10
)

// outbox writes frames to a connection without blocking their sender.
type outbox struct {
	conn net.Conn
	wake chan struct{}
	done chan struct{}

	mu     sync.Mutex
	queued []byte
}

func newOutbox(conn net.Conn) *outbox {
	return &outbox{conn: conn, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// offer queues a frame, and reports false if too much is queued already.
func (o *outbox) offer(frame []byte) bool {
	o.mu.Lock()
	if len(o.queued) > 0 && len(o.queued)+len(frame) > maxQueuedBytes {
		o.mu.Unlock()
		return false
	}
	o.queued = append(o.queued, frame...)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return true
}

// run writes what is queued until stop is called or the connection fails, and closes the connection.
func (o *outbox) run() {
	defer func() { _ = o.conn.Close() }()
	for {
		select {
		case <-o.done:
			return
		case <-o.wake:
		}
		o.mu.Lock()
		out := o.queued
		o.queued = nil
		o.mu.Unlock()
		if o.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
			return
		}
		if _, err := o.conn.Write(out); err != nil {
			return
		}
	}
}

// stop ends run; it is called once.
func (o *outbox) stop() { close(o.done) }
