package memnet

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// halfConnCapacity bounds the bytes of one direction that were written and not read yet.
const halfConnCapacity = 256 << 10

// segment is the bytes of one write, or the end of the stream.
type segment struct {
	data []byte
	// arrives is when the reader can read the segment; it never decreases within a halfConn.
	arrives time.Time
	// end, if set, is the error that ends the stream: io.EOF or ECONNRESET.
	end error
}

// limitedWindow replaces halfConnCapacity on limited links, and limitedSegment bounds their segments, so that connections that share a
// link progress together.
const (
	limitedWindow  = 32 << 10
	limitedSegment = 4 << 10
)

// sharedLink is one direction of a host's limited link, which all its connections share. It is safe for concurrent use.
type sharedLink struct {
	bytesPerSecond float64

	mu sync.Mutex
	// busyUntil is when the bytes written so far have passed the link.
	busyUntil time.Time
}

// reserve returns when n bytes, written now, have passed the link.
func (l *sharedLink) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.busyUntil
}

// halfConn is one direction of a connection.
type halfConn struct {
	mu sync.Mutex
	// changed is closed and replaced at each change, which wakes the waiting reader and writer.
	changed  chan struct{}
	segments []segment
	// used counts the unread bytes, including dropped ones; at most capacity.
	used  int
	delay time.Duration
	// links are the limited links that the bytes pass.
	links []*sharedLink
	// silent drops all further bytes.
	silent bool
	// paused withholds bytes, the end of the stream and errors from the reader.
	paused       bool
	writerClosed bool
	readerClosed bool
	// err, if set, is the error that both ends get from now on.
	err           error
	readDeadline  time.Time
	writeDeadline time.Time
}

func newHalfConn(delay time.Duration, limited ...*sharedLink) *halfConn {
	hc := &halfConn{changed: make(chan struct{}), delay: delay}
	for _, l := range limited {
		if l != nil {
			hc.links = append(hc.links, l)
		}
	}
	return hc
}

// capacity returns the number of bytes that may be written and not read yet.
func (hc *halfConn) capacity() int {
	if len(hc.links) > 0 {
		return limitedWindow
	}
	return halfConnCapacity
}

func (hc *halfConn) read(p []byte) (int, error) {
	for {
		n, retryAt, changed, err := hc.tryRead(p)
		if n > 0 || err != nil {
			return n, err
		}
		waitUntil(changed, retryAt)
	}
}

// tryRead returns bytes or an error, or else the channel and the time at which the caller should try again.
func (hc *halfConn) tryRead(p []byte) (n int, retryAt time.Time, changed chan struct{}, err error) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	now := time.Now()
	switch {
	case hc.readerClosed:
		return 0, now, nil, net.ErrClosed
	case isPast(hc.readDeadline, now):
		return 0, now, nil, os.ErrDeadlineExceeded
	case hc.paused:
		return 0, hc.readDeadline, hc.changed, nil
	case hc.err != nil:
		return 0, now, nil, hc.err
	case len(hc.segments) == 0:
		return 0, hc.readDeadline, hc.changed, nil
	}
	first := &hc.segments[0]
	if first.arrives.After(now) {
		return 0, earlier(first.arrives, hc.readDeadline), hc.changed, nil
	}
	if first.end != nil {
		return 0, now, nil, first.end
	}
	n = copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		hc.segments = hc.segments[1:]
	}
	hc.used -= n
	hc.wake()
	return n, now, nil, nil
}

func (hc *halfConn) write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, retryAt, changed, err := hc.tryWrite(p[written:])
		if err != nil {
			return written, err
		}
		written += n
		if n == 0 {
			waitUntil(changed, retryAt)
		}
	}
	return written, nil
}

func (hc *halfConn) tryWrite(p []byte) (n int, retryAt time.Time, changed chan struct{}, err error) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	now := time.Now()
	switch {
	case hc.writerClosed:
		return 0, now, nil, net.ErrClosed
	case isPast(hc.writeDeadline, now):
		return 0, now, nil, os.ErrDeadlineExceeded
	case hc.err != nil:
		return 0, now, nil, hc.err
	case hc.readerClosed && !hc.silent:
		return 0, now, nil, syscall.EPIPE
	case hc.used >= hc.capacity():
		return 0, hc.writeDeadline, hc.changed, nil
	}
	n = min(len(p), hc.capacity()-hc.used)
	if len(hc.links) > 0 {
		n = min(n, limitedSegment)
	}
	hc.used += n
	if !hc.silent {
		hc.push(segment{data: append([]byte(nil), p[:n]...)})
	}
	return n, now, nil, nil
}

// push appends a segment that arrives after the delay and after all before it.
func (hc *halfConn) push(s segment) {
	sent := time.Now()
	for _, l := range hc.links {
		if passed := l.reserve(len(s.data)); passed.After(sent) {
			sent = passed
		}
	}
	s.arrives = sent.Add(hc.delay)
	if last := len(hc.segments) - 1; last >= 0 && hc.segments[last].arrives.After(s.arrives) {
		s.arrives = hc.segments[last].arrives
	}
	hc.segments = append(hc.segments, s)
	hc.wake()
}

// closeWriter ends the stream with an error, which the peer reads after the bytes written before.
func (hc *halfConn) closeWriter(end error) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	if !hc.writerClosed && !hc.silent {
		hc.push(segment{end: end})
	}
	hc.writerClosed = true
	hc.wake()
}

// closeReader ends reading and discards unread bytes. If the peer is not notified, its further writes succeed and are dropped.
func (hc *halfConn) closeReader(peerNotified bool) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hc.readerClosed = true
	hc.silent = hc.silent || !peerNotified
	hc.segments = nil
	hc.wake()
}

func (hc *halfConn) fail(err error) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hc.err = err
	hc.wake()
}

// silence drops all bytes written from now on; bytes in flight still arrive.
func (hc *halfConn) silence() {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hc.silent = true
}

func (hc *halfConn) isSilent() bool {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	return hc.silent
}

// setPaused withholds everything from the reader, or stops doing so.
func (hc *halfConn) setPaused(paused bool) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hc.paused = paused
	hc.wake()
}

func (hc *halfConn) setDelay(d time.Duration) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hc.delay = d
}

func (hc *halfConn) setReadDeadline(t time.Time) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hc.readDeadline = t
	hc.wake()
}

func (hc *halfConn) setWriteDeadline(t time.Time) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hc.writeDeadline = t
	hc.wake()
}

func (hc *halfConn) wake() {
	close(hc.changed)
	hc.changed = make(chan struct{})
}

// waitUntil returns once changed is closed or the time has come; a zero time means no limit.
func waitUntil(changed chan struct{}, at time.Time) {
	if at.IsZero() {
		<-changed
		return
	}
	left := time.Until(at)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func isPast(deadline, now time.Time) bool { return !deadline.IsZero() && !deadline.After(now) }

// earlier returns the earlier of two times, of which b may be zero.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
