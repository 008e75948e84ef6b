package poison

import (
	"slices"
	"time"
)

// maxFailures is the largest number of failures that are kept per server.
const maxFailures = 8

// failureTimes holds the times at which one server failed, in order. The earliest failure after the last reports of all peers
// counts as the possible first crash of a request, no matter how often the server has restarted and failed again since.
type failureTimes []time.Time

// last returns the time of the last failure; t must not be empty.
func (t failureTimes) last() time.Time { return t[len(t)-1] }

// add returns a copy with a failure added, unless it is already known. Failures older than failureTTL, which affect nothing any
// more, are left out. If there are more than maxFailures, the earliest ones and the new one are kept.
func (t failureTimes) add(now time.Time) failureTimes {
	kept := slices.DeleteFunc(slices.Clone(t), func(at time.Time) bool { return now.Sub(at) >= failureTTL })
	if len(kept) > 0 && kept.last().Equal(now) {
		return kept
	}
	if len(kept) == maxFailures {
		kept = kept[:maxFailures-1]
	}
	return append(kept, now)
}

// nearest returns this node's time of the failure that a peer reported with the time of its own clock, so that it can be compared
// with the times of other failures. It returns the reported time if no failure is within clockSkew of it.
func (t failureTimes) nearest(reported time.Time) time.Time {
	nearest, distance := reported, clockSkew
	for _, at := range t {
		if diff := at.Sub(reported).Abs(); diff <= distance {
			nearest, distance = at, diff
		}
	}
	return nearest
}
