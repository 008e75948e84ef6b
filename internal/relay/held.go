package relay

import (
	"container/list"
	"net/http"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/membudget"
)

// heldAnswers bounds the answers that are held until their readers have read them. It is safe for concurrent use.
type heldAnswers struct {
	// large has a value for each answer from minHeldBytes on, memory has the others.
	large  chan struct{}
	memory *membudget.Budget
	// building has a value for each answer that is being encoded, which takes several times its size.
	building chan struct{}

	mu sync.Mutex
	// unread holds the *heldAnswer of those in memory; the oldest comes first.
	unread *list.List
}

// heldAnswer is an answer that its reader has yet to read.
type heldAnswer struct {
	since   time.Time
	control *http.ResponseController
}

func newHeldAnswers() *heldAnswers {
	return &heldAnswers{
		large: make(chan struct{}, maxHeldAnswers), memory: membudget.New(maxHeldBytes), building: make(chan struct{}, maxBuilding), unread: list.New(),
	}
}

// endOldest ends the answer in memory that has waited longest for its reader, if that had minSmallTransfer for it. Otherwise readers that don't read would keep
// others out for maxSmallTransfer at a time.
func (h *heldAnswers) endOldest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if oldest := h.unread.Front(); oldest != nil {
		if answer := oldest.Value.(*heldAnswer); now.Sub(answer.since) >= minSmallTransfer {
			h.unread.Remove(oldest)
			_ = answer.control.SetWriteDeadline(now)
		}
	}
}

// await adds an answer to those whose readers have yet to read them, and returns a function that removes it.
func (h *heldAnswers) await(control *http.ResponseController) (remove func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	place := h.unread.PushBack(&heldAnswer{since: time.Now(), control: control})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.unread.Remove(place)
	}
}

// hold counts an answer of a size until release is called after it was written. It reports false if too much is held.
func (h *heldAnswers) hold(w http.ResponseWriter, req *http.Request, size int) (release func(), ok bool) {
	if size < minTimedBytes {
		return func() {}, true
	}
	control := http.NewResponseController(w)
	free, within := func() { <-h.large }, maxTransfer
	if size >= minHeldBytes {
		select {
		case h.large <- struct{}{}:
		default:
			return nil, false
		}
	} else {
		memory := h.memory.Reserve(req.RemoteAddr)
		if memory.Resize(size) != nil {
			h.endOldest()
			return nil, false
		}
		remove := h.await(control)
		free, within = func() { remove(); memory.Release() }, maxSmallTransfer
	}
	// A reader that has vanished must not hold the answer; the connection is used for further calls.
	_ = control.SetWriteDeadline(time.Now().Add(within))
	return func() {
		_ = control.Flush()
		free()
		_ = control.SetWriteDeadline(time.Time{})
	}, true
}
