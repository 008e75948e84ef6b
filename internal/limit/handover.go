package limit

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ReportSplitter splits what a node used among those that add it up, so that no part of it is told to two of them: a new one is told
// only what was used since the last report to the one before, whose copy of that report goes on and fades. A report that was lost
// on its way then counts nowhere, until it has faded; never twice. It isn't safe for concurrent use.
type ReportSplitter struct {
	// to is who was told last, told what it was told.
	to   api.Incarnation
	told TeamUsage
	// elsewhere is what all those before were told.
	elsewhere map[api.Team]*decayed
}

// Report returns the part of a node's use, own, that is told to a node now.
func (h *ReportSplitter) Report(to api.Incarnation, own TeamUsage) TeamUsage {
	if to != h.to {
		h.leave(own.AsOf)
		h.to = to
	}
	part := TeamUsage{AsOf: own.AsOf, Seconds: make(map[api.Team]float64, len(own.Seconds))}
	for team, seconds := range own.Seconds {
		if sum, ok := h.elsewhere[team]; ok {
			seconds -= sum.at(own.AsOf)
		}
		if seconds > negligible {
			part.Seconds[team] = seconds
		}
	}
	h.told = part
	return part
}

// leave counts the last report as told elsewhere.
func (h *ReportSplitter) leave(now time.Time) {
	for team, sum := range h.elsewhere {
		if sum.at(now) < negligible {
			delete(h.elsewhere, team)
		}
	}
	if h.elsewhere == nil {
		h.elsewhere = make(map[api.Team]*decayed)
	}
	for team, seconds := range h.told.At(now).Seconds {
		addTo(h.elsewhere, team, seconds, now)
	}
	h.told = TeamUsage{}
}

// At returns a report as it is at another time, without what has faded.
func (u TeamUsage) At(now time.Time) TeamUsage {
	moved := TeamUsage{AsOf: now, Seconds: make(map[api.Team]float64, len(u.Seconds))}
	for team, seconds := range u.Seconds {
		d := decayed{value: seconds, asOf: u.AsOf}
		if left := d.at(now); left > negligible {
			moved.Seconds[team] = left
		}
	}
	return moved
}

// Plus returns the sum of two reports as it is at the time of the first.
func (u TeamUsage) Plus(other TeamUsage) TeamUsage {
	sum := u.At(u.AsOf)
	for team, seconds := range other.At(u.AsOf).Seconds {
		sum.Seconds[team] += seconds
	}
	return sum
}

// Minus returns what is left of a report, at its time, without a part of it.
func (u TeamUsage) Minus(part TeamUsage) TeamUsage {
	left := u.At(u.AsOf)
	for team, seconds := range part.At(u.AsOf).Seconds {
		if left.Seconds[team] -= seconds; left.Seconds[team] <= negligible {
			delete(left.Seconds, team)
		}
	}
	return left
}

// Backdated returns a report as if it were of an earlier time, so that it fades to the same by the time that it is of.
func (u TeamUsage) Backdated(asOf time.Time) TeamUsage {
	moved := TeamUsage{AsOf: asOf, Seconds: make(map[api.Team]float64, len(u.Seconds))}
	for team, seconds := range u.Seconds {
		moved.Seconds[team] = seconds * math.Exp(u.AsOf.Sub(asOf).Seconds()/usageWindow.Seconds())
	}
	return moved
}
