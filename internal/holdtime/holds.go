package holdtime

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// idleParts is the part of a service's room below which it counts as idle.
const idleParts = 4

// Holds learns how long the requests of one service hold a slot, by class; plain services have one class, which is empty. It isn't
// safe for concurrent use.
type Holds struct {
	classes map[api.Class]*Hold
}

// NewHolds returns holds that have seen nothing.
func NewHolds() *Holds { return &Holds{classes: make(map[api.Class]*Hold)} }

// Add counts a request that held a slot for a time.
func (h *Holds) Add(class api.Class, took time.Duration) { h.of(class).Add(took) }

func (h *Holds) of(class api.Class) *Hold {
	known, ok := h.classes[class]
	if !ok {
		known = &Hold{}
		h.classes[class] = known
	}
	return known
}

// Needed returns the time from dispatch to the whole answer that a request has to have left. inLine counts the requests that run
// or wait, room those that may run. While hardly anything runs or waits a request is let in all the same: else nothing would
// teach that servers are fast again.
func (h *Holds) Needed(class api.Class, inLine, room int) time.Duration {
	if inLine < max(room/idleParts, 1) {
		return 0
	}
	return h.of(class).Slow()
}
