// Package answer stores the answers of running and finished requests, so that a caller can attach to its answer again at any
// offset.
package answer

import (
	"net/http"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Kind defines what the offsets of an answer count.
type Kind int

const (
	// KindChat counts chunks, one token each.
	KindChat Kind = iota
	// KindPlain counts blocks of a body.
	KindPlain
)

// Head holds the properties of an answer that are known before its first chunk.
type Head struct {
	// Status and Header are the response status and header of a plain service.
	Status int
	Header http.Header
	// EndsWithConnection means that the server's answer ended with its connection, which doesn't show that it is complete.
	EndsWithConnection bool
	// Version is the version that generates the answer; zero for a plain service.
	Version api.VersionID
	// Server is the backend server that runs the request.
	Server api.ServerID
	// Session is the token that the caller sends with its next request of the session.
	Session api.SessionToken
	// RepinnedFrom is the withdrawn version from which the session was moved; zero if it was not moved.
	RepinnedFrom api.VersionID
	// Revision is the configuration in force at dispatch.
	Revision api.Revision
	// Created is when the answer began.
	Created time.Time
}

// Tail holds the properties of an answer that are known once it is complete.
type Tail struct {
	FinishReason string
	Usage        api.Usage
}

// Answer is the answer to one request. One goroutine writes it and any number may read it.
type Answer struct {
	// ID, Team and Kind are immutable.
	ID   api.RequestID
	Team api.Team
	Kind Kind

	store *Store

	mu sync.Mutex
	// head is set before the first chunk.
	head Head
	// hasHead means that head is set.
	hasHead bool
	// text holds the concatenated chunks.
	text []byte
	// ends holds the end offset of each chunk within text; the offsets never decrease.
	ends []uint32
	tail Tail
	// problem is set if the answer failed; tail is then not valid.
	problem *api.Problem
	done    bool
	doneAt  time.Time
	// dropped means that the text of a finished answer is no longer held.
	dropped bool
	// restarts counts how often the text was discarded and begun again.
	restarts int
	// readers are the attached readers.
	readers []*Reader
	// lastRead is when the latest reader was closed or, before that, when the answer was opened.
	lastRead time.Time
}

// SetHead sets the head; a second call replaces it.
func (a *Answer) SetHead(head Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = head
	a.hasHead = true
	a.notify()
}

// Append adds a chunk. It returns an error of class Error if the answer exceeds its size limit or has ended.
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

// Restart discards every chunk; readers detect this by Part.Restarts.
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

// Finish marks the answer as complete; it has no effect if the answer has ended.
func (a *Answer) Finish(tail Tail) { a.end(tail, nil) }

// Fail ends the answer with a problem; it has no effect if the answer has ended.
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

// notify wakes the readers that wait for a change; a.mu is held.
func (a *Answer) notify() {
	for _, reader := range a.readers {
		reader.wakeUp(a.done)
	}
}

// bytesHeld returns the bytes that the chunks take up in the store; a.mu is held.
func (a *Answer) bytesHeld() int { return len(a.text) + bytesPerChunkEnd*len(a.ends) }

// dropText releases the text of a finished answer and returns the bytes that it took up; the store's mutex is held. Taking a.mu
// here can't deadlock with a writer that holds it and waits for the store: a finished answer accepts no writes.
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

// Restarts returns how often the text was discarded and begun again.
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

// Chunk returns the chunk at an offset; false if there is none. The bytes must not be changed.
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

// Text returns the concatenated chunks.
func (a *Answer) Text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.text)
}

// IsDone reports whether the answer has ended, complete or with a problem.
func (a *Answer) IsDone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// IdleSince returns when the last reader was closed; ok is false while a reader is attached.
func (a *Answer) IdleSince() (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastRead, len(a.readers) == 0
}
