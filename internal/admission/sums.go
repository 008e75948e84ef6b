package admission

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// sums is what a node does to add up the use of a part of its failure domain, or to have its own added up by another. Any node adds
// up what it is told; each node's use is told to one at a time, and no part of it to two.
type sums struct {
	// summer is the node that this one tells its use to, empty if it tells all peers itself.
	summer api.Incarnation
	// handover splits this node's own use among those that were told of it.
	handover limit.ReportSplitter
	// taken holds the newest report of each node that this one adds up.
	taken map[api.Incarnation]limit.TeamUsage
	// told holds this node's last reports by the node that was told, the newest last.
	told map[api.Incarnation][]limit.TeamUsage
	// own is the last sum for peers of the own failure domain, far that for others.
	own, far UsageReport
}

// toldKept is how many of its last reports to one node a node remembers: that node's sums are heard of some intervals late.
const toldKept = 8

func newSums() sums {
	return sums{taken: make(map[api.Incarnation]limit.TeamUsage), told: make(map[api.Incarnation][]limit.TeamUsage)}
}

// AggregateLocally has this node tell all peers its own use.
func (g *Gate) AggregateLocally() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sums.summer = ""
}

// ReportTo returns this node's report for a node that adds it up; from now on that one tells of this node's use. It is empty if
// this node wasn't used.
func (g *Gate) ReportTo(summer api.Incarnation, now time.Time) UsageReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sums.summer = summer
	part := g.sums.handover.Report(summer, g.usage.OwnReport(now))
	if len(part.Seconds) > 0 {
		kept := append(g.sums.told[summer], part)
		g.sums.told[summer] = kept[max(len(kept)-toldKept, 0):]
	}
	return UsageReport{Incarnation: g.opts.Incarnation, For: summer, Usage: part}
}

// AggregateReport adds a node's report to what this node tells of. Reports for another run of this node, older ones than the last and
// repeated ones change nothing.
func (g *Gate) AggregateReport(report UsageReport, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, known := g.sums.taken[report.Incarnation]
	isForOthers := report.For != g.opts.Incarnation || report.Incarnation == g.opts.Incarnation
	isOld := known && !report.Usage.AsOf.After(last.AsOf) || now.Sub(report.Usage.AsOf) > usageKept
	if isForOthers || isOld || !known && len(g.sums.taken) >= limit.MaxUsageReports {
		return
	}
	g.sums.taken[report.Incarnation] = report.Usage
	g.usage.MergeReport("taken/"+string(report.Incarnation), report.Usage, now)
	g.forget(now)
}

// ownSum returns what this node tells its failure domain: what it used, if it tells of that itself, and what it was told.
// It is made anew once in a UsageInterval.
func (g *Gate) ownSum(now time.Time) UsageReport {
	if !g.sums.own.Usage.AsOf.Before(lastAt(now, sumAt)) {
		return g.sums.own
	}
	sum := limit.TeamUsage{AsOf: now}
	if g.sums.summer == "" {
		sum = g.sums.handover.Report(g.opts.Incarnation, g.usage.OwnReport(now))
	}
	for _, taken := range g.sums.taken {
		sum = sum.Plus(taken)
	}
	g.sums.own = UsageReport{Incarnation: g.opts.Incarnation, Usage: sum}
	return g.sums.own
}

// toldBefore returns the most of this node's use that a node's sum of a time can hold. It holds one of the reports told before then, or
// none, as some are lost; one told after this node had told others for a while may be smaller than those before.
func (s *sums) toldBefore(summer api.Incarnation, asOf time.Time) limit.TeamUsage {
	most := limit.TeamUsage{AsOf: asOf, Seconds: make(map[api.Team]float64)}
	for _, told := range s.told[summer] {
		if told.AsOf.After(asOf) {
			break
		}
		for team, seconds := range told.At(asOf).Seconds {
			most.Seconds[team] = max(most.Seconds[team], seconds)
		}
	}
	return most
}

func (s *sums) forget(before time.Time) {
	for node, usage := range s.taken {
		if usage.AsOf.Before(before) {
			delete(s.taken, node)
		}
	}
	for summer, told := range s.told {
		if told[len(told)-1].AsOf.Before(before) {
			delete(s.told, summer)
		}
	}
}
