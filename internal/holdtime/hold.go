package holdtime

import "time"

const (
	// defaultSlotTime is the expected slot time before the first request is observed.
	defaultSlotTime = time.Second
	// meanWeight and deviationWeight are the weights of the newest request, as for round-trip times in RFC 6298.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// upperBoundDeviations is the number of mean deviations by which UpperBound exceeds the mean.
	upperBoundDeviations = 2
)

// SlotTime estimates how long requests of one kind occupy a slot. The zero value is ready to use. It isn't safe for concurrent use.
type SlotTime struct {
	mean, deviation time.Duration
	// hasSamples is set once mean and deviation are initialized.
	hasSamples bool
}

// Add records the time that a request occupied a slot. The first request has no higher weight than later ones: it may have waited for its
// full timeout on a silent connection, which must not cause the rejection of all requests with the same timeout.
func (s *SlotTime) Add(took time.Duration) {
	if !s.hasSamples {
		s.hasSamples, s.mean, s.deviation = true, defaultSlotTime, defaultSlotTime/2
	}
	difference := took - s.mean
	s.deviation += time.Duration(deviationWeight * float64(difference.Abs()-s.deviation))
	s.mean += time.Duration(meanWeight * float64(difference))
}

// Mean returns the expected slot time, above 0.
func (s *SlotTime) Mean() time.Duration {
	if !s.hasSamples {
		return defaultSlotTime
	}
	return max(s.mean, time.Millisecond)
}

// UpperBound returns the time within which all but a few requests release their slot.
func (s *SlotTime) UpperBound() time.Duration { return s.Mean() + upperBoundDeviations*s.deviation }
