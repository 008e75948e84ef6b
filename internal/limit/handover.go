package limit

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ReportSplitter divides a node's own usage between the nodes that aggregate it, so that no part of it is reported to two of them.
// After a change of aggregator, the new one gets only the usage since the last report to the previous one, which keeps that
// report until it has decayed. A lost report is therefore missing from the totals until it has decayed, but no usage is ever
// counted twice. It is not safe for concurrent use.
type ReportSplitter struct {
	// aggregator is the node that got lastReport; empty before the first report.
	aggregator api.Incarnation
	lastReport TeamUsage
	// reportedBefore sums up the last reports to all earlier aggregators.
	reportedBefore map[api.Team]*decayed
}

// Report returns the part of the node's own usage that is to be reported to an aggregator, as of the time of own.
func (s *ReportSplitter) Report(aggregator api.Incarnation, own TeamUsage) TeamUsage {
	if aggregator != s.aggregator {
		s.retireLastReport(own.AsOf)
		s.aggregator = aggregator
	}
	part := TeamUsage{AsOf: own.AsOf, Seconds: make(map[api.Team]float64, len(own.Seconds))}
	for team, seconds := range own.Seconds {
		if sum, ok := s.reportedBefore[team]; ok {
			seconds -= sum.at(own.AsOf)
		}
		if seconds > negligible {
			part.Seconds[team] = seconds
		}
	}
	s.lastReport = part
	return part
}

// retireLastReport moves the last report into reportedBefore and drops the teams there whose usage has decayed.
func (s *ReportSplitter) retireLastReport(now time.Time) {
	for team, sum := range s.reportedBefore {
		if sum.at(now) < negligible {
			delete(s.reportedBefore, team)
		}
	}
	if s.reportedBefore == nil {
		s.reportedBefore = make(map[api.Team]*decayed)
	}
	for team, seconds := range s.lastReport.At(now).Seconds {
		addTo(s.reportedBefore, team, seconds, now)
	}
	s.lastReport = TeamUsage{}
}

// At returns the report decayed to a later time, without teams whose usage became negligible.
func (u TeamUsage) At(now time.Time) TeamUsage {
	decayedUsage := TeamUsage{AsOf: now, Seconds: make(map[api.Team]float64, len(u.Seconds))}
	for team, seconds := range u.Seconds {
		d := decayed{value: seconds, asOf: u.AsOf}
		if remaining := d.at(now); remaining > negligible {
			decayedUsage.Seconds[team] = remaining
		}
	}
	return decayedUsage
}

// Plus returns the sum of two reports as of the time of the first.
func (u TeamUsage) Plus(other TeamUsage) TeamUsage {
	sum := u.At(u.AsOf)
	for team, seconds := range other.At(u.AsOf).Seconds {
		sum.Seconds[team] += seconds
	}
	return sum
}

// Minus returns the report, as of its own time, without the usage in part.
func (u TeamUsage) Minus(part TeamUsage) TeamUsage {
	remaining := u.At(u.AsOf)
	for team, seconds := range part.At(u.AsOf).Seconds {
		if remaining.Seconds[team] -= seconds; remaining.Seconds[team] <= negligible {
			delete(remaining.Seconds, team)
		}
	}
	return remaining
}

// Backdated returns the report converted to an earlier time: decayed to the original time, it has the original values again.
func (u TeamUsage) Backdated(asOf time.Time) TeamUsage {
	backdated := TeamUsage{AsOf: asOf, Seconds: make(map[api.Team]float64, len(u.Seconds))}
	for team, seconds := range u.Seconds {
		backdated.Seconds[team] = seconds * math.Exp(u.AsOf.Sub(asOf).Seconds()/usageWindow.Seconds())
	}
	return backdated
}
