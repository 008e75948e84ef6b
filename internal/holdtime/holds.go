package holdtime

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// idleDivisor defines when a service counts as idle: with fewer requests in flight than this fraction (1/4) of the maximum.
const idleDivisor = 4

// SlotTimes estimates how long the requests of one service occupy a slot, by class; plain services have a single, empty class. It isn't
// safe for concurrent use.
type SlotTimes struct {
	classes map[api.Class]*SlotTime
}

// NewSlotTimes returns estimates without observations.
func NewSlotTimes() *SlotTimes { return &SlotTimes{classes: make(map[api.Class]*SlotTime)} }

// Add records the time that a request of a class occupied a slot.
func (s *SlotTimes) Add(class api.Class, took time.Duration) { s.ofClass(class).Add(took) }

func (s *SlotTimes) ofClass(class api.Class) *SlotTime {
	slotTime, ok := s.classes[class]
	if !ok {
		slotTime = &SlotTime{}
		s.classes[class] = slotTime
	}
	return slotTime
}

// RequiredTime returns the time that must be left before a request's deadline for the request to be admitted. inFlight counts the requests
// that run or wait, maxInFlight those that may run. While the service is nearly idle it returns 0: otherwise no request would show that
// servers have become fast again.
func (s *SlotTimes) RequiredTime(class api.Class, inFlight, maxInFlight int) time.Duration {
	if inFlight < max(maxInFlight/idleDivisor, 1) {
		return 0
	}
	return s.ofClass(class).UpperBound()
}
