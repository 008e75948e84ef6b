package answer

import (
	"context"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// inlineChunks is how many chunks a part holds without an allocation.
const inlineChunks = 4

// Part is what a reader finds at its offset.
type Part struct {
	Head Head
	// Chunks are the chunks from the offset on; they must not be changed, and the slice is valid until the reader's next call.
	Chunks [][]byte
	// Restarts counts how often the text was begun anew; a reader that sees it grow starts at offset 0 again.
	Restarts int
	// Done tells that no chunk follows.
	Done    bool
	Tail    Tail
	Problem *api.Problem
	// Dropped tells that the answer was whole once but is no longer held.
	Dropped bool
}

// Reader reads an answer from an offset on; one goroutine uses it.
type Reader struct {
	answer   *Answer
	offset   int
	restarts int
	// headReturned tells that Next has returned the head.
	headReturned bool
	// wake holds a value once something has changed since the reader looked.
	wake chan struct{}
	// endOnly tells that only the end is waited for; answer.mu guards it.
	endOnly bool
	// timer bounds the waits of NextWithin; nil before the first.
	timer *sleep.Alarm
	// inline is the room for the chunks of most parts.
	inline [inlineChunks][]byte
}

// Attach returns a reader at an offset of the present text; Close must be called.
func (a *Answer) Attach(offset int) *Reader {
	a.mu.Lock()
	defer a.mu.Unlock()
	reader := &Reader{answer: a, offset: offset, restarts: a.restarts, wake: make(chan struct{}, 1)}
	a.readers = append(a.readers, reader)
	return reader
}

// AttachAfter returns a reader at an offset of the text that had been begun anew so many times; if that is no longer
// the present text, the reader begins at offset 0 of the present one. Close must be called.
func (a *Answer) AttachAfter(restarts, offset int) *Reader {
	reader := a.Attach(offset)
	reader.restarts = restarts
	return reader
}

// wakeUp lets the reader look again; answer.mu is held.
func (r *Reader) wakeUp(done bool) {
	if r.endOnly && !done {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Restarts counts how often the text that the reader reads had been begun anew.
func (r *Reader) Restarts() int { return r.restarts }

// Offset returns the offset of the next chunk.
func (r *Reader) Offset() int { return r.offset }

// Next waits for something new: the head, chunks, or the end. It returns ctx's error if ctx ends first.
func (r *Reader) Next(ctx context.Context) (Part, error) {
	part, _, err := r.wait(ctx, nil)
	return part, err
}

// NextWithin waits as Next does, but no longer than a time; ok is false if nothing came.
func (r *Reader) NextWithin(ctx context.Context, d time.Duration) (part Part, ok bool, err error) {
	if part, ok := r.poll(); ok {
		return part, true, nil
	}
	if r.timer == nil {
		r.timer = sleep.NewAlarm(d)
	} else {
		r.timer.Reset(d)
	}
	defer r.timer.Stop()
	return r.wait(ctx, r.timer.C)
}

// ReadAll waits for the end and returns it with the text from the reader's offset on, which must not be changed. The chunks
// before it don't wake the reader. It returns ctx's error if ctx ends first.
func (r *Reader) ReadAll(ctx context.Context) (Part, []byte, error) {
	for {
		if part, text, ok := r.end(); ok {
			return part, text, nil
		}
		select {
		case <-ctx.Done():
			return Part{}, nil, ctx.Err()
		case <-r.wake:
		}
	}
}

func (r *Reader) wait(ctx context.Context, timeout <-chan struct{}) (part Part, ok bool, err error) {
	for {
		if part, ok := r.poll(); ok {
			return part, true, nil
		}
		select {
		case <-ctx.Done():
			return Part{}, false, ctx.Err()
		case <-timeout:
			return Part{}, false, nil
		case <-r.wake:
		}
	}
}

// poll returns what is new; ok is false if nothing is.
func (r *Reader) poll() (part Part, ok bool) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	r.endOnly = false
	r.syncRestart()
	if !a.done && r.offset >= len(a.ends) && (r.headReturned || !a.hasHead) {
		return Part{}, false
	}
	r.headReturned = r.headReturned || a.hasHead
	part = a.part()
	// The chunks of the last part must not keep a text alive that has grown into another place since.
	clear(r.inline[:])
	part.Chunks = r.inline[:0]
	for ; r.offset < len(a.ends); r.offset++ {
		part.Chunks = append(part.Chunks, a.slice(r.offset, r.offset+1))
	}
	return part, true
}

// end returns the end of a finished answer and the text that the reader has not read.
func (r *Reader) end() (Part, []byte, bool) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	r.endOnly = true
	r.syncRestart()
	if !a.done {
		return Part{}, nil, false
	}
	from := min(r.offset, len(a.ends))
	r.offset = max(r.offset, len(a.ends))
	return a.part(), a.slice(from, len(a.ends)), true
}

// syncRestart goes back to the beginning of a text that was begun anew; answer.mu is held.
func (r *Reader) syncRestart() {
	if r.answer.restarts != r.restarts {
		r.restarts = r.answer.restarts
		r.offset = 0
	}
}

// part returns what is known but for the chunks; a.mu is held.
func (a *Answer) part() Part {
	return Part{Head: a.head, Restarts: a.restarts, Done: a.done, Tail: a.tail, Problem: a.problem, Dropped: a.dropped}
}

// Close detaches the reader.
func (r *Reader) Close() {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.readers, r); i >= 0 {
		a.readers = slices.Delete(a.readers, i, i+1)
	}
	a.lastRead = time.Now()
}
