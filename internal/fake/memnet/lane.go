package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// laneCapacity bounds the bytes of one direction that were written and not yet read.
const laneCapacity = 256 << 10

// segment is the bytes of one write, or the end of the stream.
type segment struct {
	data []byte
	// arrives is when the reader may see the segment; it never falls within a lane.
	arrives time.Time
	end     bool
}

// lane is one direction of a connection.
type lane struct {
	mu sync.Mutex
	// changed is closed and replaced at each change, to wake the waiting reader and writer.
	changed  chan struct{}
	segments []segment
	// used counts the bytes that fill the capacity, those that vanished included.
	used  int
	delay time.Duration
	// silent makes all further bytes vanish.
	silent bool
	// held keeps everything from the reader until it is released: bytes, the end and errors.
	held         bool
	writerClosed bool
	readerClosed bool
	// err, if set, is what both ends see from now on.
	err           error
	readDeadline  time.Time
	writeDeadline time.Time
}

func newLane(delay time.Duration) *lane {
	return &lane{changed: make(chan struct{}), delay: delay}
}

func (l *lane) read(p []byte) (int, error) {
	for {
		n, retryAt, changed, err := l.tryRead(p)
		if n > 0 || err != nil {
			return n, err
		}
		waitUntil(changed, retryAt)
	}
}

// tryRead returns bytes or an error, or else the channel and the time at which to try again.
func (l *lane) tryRead(p []byte) (n int, retryAt time.Time, changed chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case l.readerClosed:
		return 0, now, nil, net.ErrClosed
	case isPast(l.readDeadline, now):
		return 0, now, nil, os.ErrDeadlineExceeded
	case l.held:
		return 0, l.readDeadline, l.changed, nil
	case l.err != nil:
		return 0, now, nil, l.err
	case len(l.segments) == 0:
		return 0, l.readDeadline, l.changed, nil
	}
	first := &l.segments[0]
	if first.arrives.After(now) {
		return 0, earlier(first.arrives, l.readDeadline), l.changed, nil
	}
	if first.end {
		return 0, now, nil, io.EOF
	}
	n = copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		l.segments = l.segments[1:]
	}
	l.used -= n
	l.wake()
	return n, now, nil, nil
}

func (l *lane) write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, retryAt, changed, err := l.tryWrite(p[written:])
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

func (l *lane) tryWrite(p []byte) (n int, retryAt time.Time, changed chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case l.writerClosed:
		return 0, now, nil, net.ErrClosed
	case isPast(l.writeDeadline, now):
		return 0, now, nil, os.ErrDeadlineExceeded
	case l.err != nil:
		return 0, now, nil, l.err
	case l.readerClosed && !l.silent:
		return 0, now, nil, syscall.EPIPE
	case l.used >= laneCapacity:
		return 0, l.writeDeadline, l.changed, nil
	}
	n = min(len(p), laneCapacity-l.used)
	l.used += n
	if !l.silent {
		l.push(segment{data: append([]byte(nil), p[:n]...)})
	}
	return n, now, nil, nil
}

// push appends a segment that arrives after the delay and after all before it.
func (l *lane) push(s segment) {
	s.arrives = time.Now().Add(l.delay)
	if last := len(l.segments) - 1; last >= 0 && l.segments[last].arrives.After(s.arrives) {
		s.arrives = l.segments[last].arrives
	}
	l.segments = append(l.segments, s)
	l.wake()
}

// closeWriter ends the stream and reports whether the peer can learn of it.
func (l *lane) closeWriter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.writerClosed && !l.silent {
		l.push(segment{end: true})
	}
	l.writerClosed = true
	l.wake()
	return !l.silent
}

// closeReader ends the reading; a peer that can't learn of it keeps writing into the void.
func (l *lane) closeReader(peerLearns bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readerClosed = true
	l.silent = l.silent || !peerLearns
	l.segments = nil
	l.wake()
}

func (l *lane) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
	l.wake()
}

// silence makes all bytes from now on vanish; those on their way still arrive.
func (l *lane) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

func (l *lane) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// hold keeps everything from the reader, or releases it.
func (l *lane) hold(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
	l.wake()
}

func (l *lane) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

func (l *lane) setReadDeadline(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readDeadline = t
	l.wake()
}

func (l *lane) setWriteDeadline(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeDeadline = t
	l.wake()
}

func (l *lane) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// waitUntil returns at a change or at a time; a zero time never comes.
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
