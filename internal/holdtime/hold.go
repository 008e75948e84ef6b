package holdtime

import "time"

const (
	// defaultHold is the time that a request is expected to hold a slot before any was seen.
	defaultHold = time.Second
	// meanWeight and deviationWeight are the weights of the newest request, as for a round trip in RFC 6298.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// slowDeviations is how many mean deviations a slow request takes more than the mean.
	slowDeviations = 2
)

// SlotTime learns how long requests of one kind hold a slot. The zero value has seen none. It isn't safe for concurrent use.
type SlotTime struct {
	mean, deviation time.Duration
	// seen is set once mean and deviation hold something.
	seen bool
}

// Add counts a request that held a slot for a time. The first one weighs as much as any other: it may have lasted for its whole
// deadline on a silent connection, which must not refuse all that come with the same deadline.
func (h *SlotTime) Add(took time.Duration) {
	if !h.seen {
		h.seen, h.mean, h.deviation = true, defaultHold, defaultHold/2
	}
	off := took - h.mean
	h.deviation += time.Duration(deviationWeight * float64(off.Abs()-h.deviation))
	h.mean += time.Duration(meanWeight * float64(off))
}

// Mean returns the expected time, above 0.
func (h *SlotTime) Mean() time.Duration {
	if !h.seen {
		return defaultHold
	}
	return max(h.mean, time.Millisecond)
}

// UpperBound returns the time within which all but few are done.
func (h *SlotTime) UpperBound() time.Duration { return h.Mean() + slowDeviations*h.deviation }
