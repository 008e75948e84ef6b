package holdtime

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// idleParts is the part of a service's room below which it counts as idle.
const idleParts = 4

// SlotTimes learns how long the requests of one service hold a slot, by class; plain services have one class, which is empty. It isn't
// safe for concurrent use.
type SlotTimes struct {
	classes map[api.Class]*SlotTime
}

// NewSlotTimes returns holds that have seen nothing.
func NewSlotTimes() *SlotTimes { return &SlotTimes{classes: make(map[api.Class]*SlotTime)} }

// Add counts a request that held a slot for a time.
func (h *SlotTimes) Add(class api.Class, took time.Duration) { h.of(class).Add(took) }

func (h *SlotTimes) of(class api.Class) *SlotTime {
	known, ok := h.classes[class]
	if !ok {
		known = &SlotTime{}
		h.classes[class] = known
	}
	return known
}

// RequiredTime returns the time from dispatch to the whole answer that a request has to have left. inLine counts the requests that run
// or wait, room those that may run. While hardly anything runs or waits a request is let in all the same: else nothing would
// teach that servers are fast again.
func (h *SlotTimes) RequiredTime(class api.Class, inLine, room int) time.Duration {
	if inLine < max(room/idleParts, 1) {
		return 0
	}
	return h.of(class).UpperBound()
}
