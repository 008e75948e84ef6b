// Package answer keeps the answers of running and finished requests, so that a caller can attach to its own
// answer again at any offset.
package answer

import (
	"net/http"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Kind tells how an answer's offsets count.
type Kind int

const (
	// KindChat counts chunks, one token each.
	KindChat Kind = iota
	// KindPlain counts blocks of a body.
	KindPlain
)

// Head is what is known of an answer before its first chunk.
type Head struct {
	// Status and Header are those of a plain service's answer.
	Status int
	Header http.Header
	// Version is the version that answers; zero for a plain service.
	Version api.VersionID
	// Server is the backend server that answers.
	Server api.ServerID
	// Session is the token that the caller returns with its next request of the session.
	Session api.SessionToken
	// RepinnedFrom is the withdrawn version that the session was moved away from; zero if it was not.
	RepinnedFrom api.VersionID
	// Revision is the configuration in force at dispatch.
	Revision api.Revision
	// Created is when the answer began.
	Created time.Time
}

// Tail is what is known once an answer is whole.
type Tail struct {
	FinishReason string
	Usage        api.Usage
}

// Answer is one request's answer, written by one goroutine and read by any number.
type Answer struct {
	// ID, Team and Kind never change.
	ID   api.RequestID
	Team api.Team
	Kind Kind

	store *Store

	mu sync.Mutex
	// head is set before the first chunk.
	head Head
	// hasHead tells that head is set.
	hasHead bool
	// text holds all chunks one after the other.
	text []byte
	// ends holds the end of each chunk within text; it never decreases.
	ends []uint32
	tail Tail
	// problem is set where the answer ended short; tail is then not valid.
	problem *api.Problem
	done    bool
	doneAt  time.Time
	// dropped tells that the text of a finished answer is no longer held.
	dropped bool
	// restarts counts how often the text was begun anew.
	restarts int
	// readers are those attached.
	readers []*Reader
	// lastRead is when the last reader left, or the start.
	lastRead time.Time
}

// SetHead sets what is known before the first chunk; a second call replaces it.
func (a *Answer) SetHead(head Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = head
	a.hasHead = true
	a.notify()
}

// Append adds a chunk; it returns an error of class Error if the answer is over its bound or already done.
func (a *Answer) Append(chunk []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return Error.Wrap(&ErrDone{ID: a.ID})
	}
	if len(a.text)+len(chunk) > a.store.opts.MaxAnswerBytes {
		return Error.Wrap(&ErrTooLarge{ID: a.ID, MaxBytes: a.store.opts.MaxAnswerBytes})
	}
	a.text = append(a.text, chunk...)
	a.ends = append(a.ends, uint32(len(a.text)))
	a.store.addBytes(len(chunk) + bytesPerChunkEnd)
	a.notify()
	return nil
}

// Restart drops every chunk; readers learn of it by Part.Restarts.
func (a *Answer) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.store.addBytes(-a.bytesHeld())
	a.text = nil
	a.ends = nil
	a.restarts++
	a.notify()
}

// Finish marks the answer whole; a second end is ignored.
func (a *Answer) Finish(tail Tail) { a.end(tail, nil) }

// Fail ends the answer short; a second end is ignored.
func (a *Answer) Fail(problem *api.Problem) { a.end(Tail{}, problem) }

func (a *Answer) end(tail Tail, problem *api.Problem) {
	a.mu.Lock()
	if a.done {
		a.mu.Unlock()
		return
	}
	a.tail = tail
	a.problem = problem
	a.done = true
	a.doneAt = time.Now()
	a.notify()
	a.mu.Unlock()
	a.store.finish(a)
}

// notify wakes the readers that wait for what has changed; a.mu is held.
func (a *Answer) notify() {
	for _, reader := range a.readers {
		reader.wakeUp(a.done)
	}
}

// bytesHeld counts what the chunks cost the store; a.mu is held.
func (a *Answer) bytesHeld() int { return len(a.text) + bytesPerChunkEnd*len(a.ends) }

// dropText releases the text of a finished answer and returns what it cost; the store's mutex is held.
// Taking a.mu here can't deadlock with a writer that holds it and waits for the store: a finished answer takes no writes.
func (a *Answer) dropText() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.bytesHeld()
	a.text = nil
	a.ends = nil
	a.dropped = true
	a.notify()
	return held
}

// Restarts counts how often the text was begun anew.
func (a *Answer) Restarts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.restarts
}

// Len returns the number of chunks so far.
func (a *Answer) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.ends)
}

// Chunk returns the chunk at an offset and whether it is there; the bytes must not be changed.
func (a *Answer) Chunk(offset int) ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset < 0 || offset >= len(a.ends) {
		return nil, false
	}
	return a.slice(offset, offset+1), true
}

func (a *Answer) slice(from, to int) []byte {
	begin := uint32(0)
	if from > 0 {
		begin = a.ends[from-1]
	}
	end := begin
	if to > from {
		end = a.ends[to-1]
	}
	return a.text[begin:end:end]
}

// Text returns all chunks, joined.
func (a *Answer) Text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.text)
}

// IsDone reports whether the answer has ended, whole or short.
func (a *Answer) IsDone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// IdleSince returns when the last reader left; ok is false while there is one.
func (a *Answer) IdleSince() (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastRead, len(a.readers) == 0
}
