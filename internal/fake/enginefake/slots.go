package enginefake

import (
	"context"
	"slices"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// slots are the slots of the running batch and the queue for them; Engine.mu guards them.
type slots struct {
	max      int
	maxQueue int
	running  int
	// queue is ordered by priority, then by arrival.
	queue []*waiter
}

// waiter is a generation that waits for a slot.
type waiter struct {
	priority api.Priority
	// ready is closed once the waiter has a slot.
	ready chan struct{}
}

func (s *slots) isFull() bool { return s.running >= s.max && len(s.queue) >= s.maxQueue }

// acquire takes a free slot or joins the queue.
func (s *slots) acquire(priority api.Priority) *waiter {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	if s.running < s.max {
		s.running++
		close(w.ready)
		return w
	}
	at := len(s.queue)
	for at > 0 && s.queue[at-1].priority < priority {
		at--
	}
	s.queue = slices.Insert(s.queue, at, w)
	return w
}

// release frees the waiter's slot, which the next in the queue gets, or removes the waiter from the queue.
func (s *slots) release(w *waiter) {
	if at := slices.Index(s.queue, w); at >= 0 {
		s.queue = slices.Delete(s.queue, at, at+1)
		return
	}
	if len(s.queue) == 0 {
		s.running--
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	close(next.ready)
}

// wait waits for the slot and reports whether the waiter got it before ctx ended.
func (w *waiter) wait(ctx context.Context) bool {
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return false
	}
}
