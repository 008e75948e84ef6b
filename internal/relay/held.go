package relay

import (
	"net/http"
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
}

func newHeldAnswers() *heldAnswers {
	return &heldAnswers{large: make(chan struct{}, maxHeldAnswers), memory: membudget.New(maxHeldBytes), building: make(chan struct{}, maxBuilding)}
}

// hold counts an answer of a size until release is called after it was written. It reports false if too much is held.
func (h *heldAnswers) hold(w http.ResponseWriter, req *http.Request, size int) (release func(), ok bool) {
	if size < minTimedBytes {
		return func() {}, true
	}
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
			return nil, false
		}
		free, within = memory.Release, maxSmallTransfer
	}
	// A reader that has vanished must not hold the answer; the connection is used for further calls.
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(within))
	return func() {
		_ = control.Flush()
		_ = control.SetWriteDeadline(time.Time{})
		free()
	}, true
}
