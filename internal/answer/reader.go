package answer

import (
	"context"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// inlineChunks is the number of chunks that a part holds without an allocation.
const inlineChunks = 4

// Part is what a reader reads at its offset.
type Part struct {
	Head Head
	// Chunks are the chunks from the offset on; they must not be changed, and the slice is valid until the reader's next call.
	Chunks [][]byte
	// Restarts counts how often the text was discarded and begun again; a reader that sees it increase continues at offset 0.
	Restarts int
	// Done means that no chunk follows.
	Done    bool
	Tail    Tail
	Problem *api.Problem
	// Dropped means that the answer had ended but its text is no longer held.
	Dropped bool
}

// Reader reads an answer from an offset on. It isn't safe for concurrent use.
type Reader struct {
	answer   *Answer
	offset   int
	restarts int
	// headReturned means that Next has returned the head.
	headReturned bool
	// wake holds a value once the answer has changed since the reader last read.
	wake chan struct{}
	// endOnly means that the reader waits for the end only; guarded by answer.mu.
	endOnly bool
	// timer bounds the waits of NextWithin; nil before the first call.
	timer *sleep.Timer
	// inline is the backing array for the chunks of most parts.
	inline [inlineChunks][]byte
}

// Attach returns a reader at an offset of the current text; Close must be called.
func (a *Answer) Attach(offset int) *Reader {
	a.mu.Lock()
	defer a.mu.Unlock()
	reader := &Reader{answer: a, offset: offset, restarts: a.restarts, wake: make(chan struct{}, 1)}
	a.readers = append(a.readers, reader)
	return reader
}

// AttachAfter returns a reader at an offset of the text after a number of restarts. If that is no longer the current text, the
// reader begins at offset 0 of the current one. Close must be called.
func (a *Answer) AttachAfter(restarts, offset int) *Reader {
	reader := a.Attach(offset)
	reader.restarts = restarts
	return reader
}

// wakeUp makes the reader check the answer again; answer.mu is held.
func (r *Reader) wakeUp(done bool) {
	if r.endOnly && !done {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Restarts returns the number of restarts before the text that the reader reads.
func (r *Reader) Restarts() int { return r.restarts }

// Offset returns the offset of the next chunk.
func (r *Reader) Offset() int { return r.offset }

// Next waits for a change of the answer: its head, chunks or end. It returns ctx's error if ctx ends first.
func (r *Reader) Next(ctx context.Context) (Part, error) {
	part, _, err := r.wait(ctx, nil)
	return part, err
}

// NextWithin waits like Next, but at most for d; ok is false if nothing new arrived.
func (r *Reader) NextWithin(ctx context.Context, d time.Duration) (part Part, ok bool, err error) {
	if part, ok := r.poll(); ok {
		return part, true, nil
	}
	if r.timer == nil {
		r.timer = sleep.NewTimer(d)
	} else {
		r.timer.Reset(d)
	}
	defer r.timer.Stop()
	return r.wait(ctx, r.timer.C)
}

// ReadAll waits for the end of the answer. It returns the end and the text from the reader's offset on, which must not be
// changed. Chunks that arrive earlier don't wake the reader. It returns ctx's error if ctx ends first.
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

// poll returns what is new to the reader; ok is false if there is nothing new.
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
	// The chunks of the last part must not keep a text alive that was reallocated as it grew.
	clear(r.inline[:])
	part.Chunks = r.inline[:0]
	for ; r.offset < len(a.ends); r.offset++ {
		part.Chunks = append(part.Chunks, a.slice(r.offset, r.offset+1))
	}
	return part, true
}

// end returns the end of a finished answer and its text that the reader has not read.
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

// syncRestart moves the reader to the beginning of a text that was begun again; answer.mu is held.
func (r *Reader) syncRestart() {
	if r.answer.restarts != r.restarts {
		r.restarts = r.answer.restarts
		r.offset = 0
	}
}

// part returns the current part without its chunks; a.mu is held.
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
