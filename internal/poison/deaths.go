package poison

import (
	"slices"
	"time"
)

// maxDeaths bounds the deaths kept of one server.
const maxDeaths = 8

// deaths are the times at which one server died, in order. The earliest that the peers haven't explained counts for where
// a request may have crashed first, however often the server came back and died again since.
type deaths []time.Time

// last returns the time of the last death.
func (d deaths) last() time.Time { return d[len(d)-1] }

// with returns the deaths with one more, or the same if it is known. Those that nothing depends on any more are left out, and of
// more than maxDeaths the earliest and the last stay.
func (d deaths) with(now time.Time) deaths {
	kept := slices.DeleteFunc(slices.Clone(d), func(at time.Time) bool { return now.Sub(at) >= deathKept })
	if len(kept) > 0 && kept.last().Equal(now) {
		return kept
	}
	if len(kept) == maxDeaths {
		kept = kept[:maxDeaths-1]
	}
	return append(kept, now)
}

// near returns the time of the death that a peer saw at a time by its own clock, so that it can be compared with that of other
// deaths; the same time if no death is near enough.
func (d deaths) near(told time.Time) time.Time {
	own, apart := told, clockSkew
	for _, at := range d {
		if diff := at.Sub(told).Abs(); diff <= apart {
			own, apart = at, diff
		}
	}
	return own
}
