package admission

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// usageKept is how long a report counts after its time.
	usageKept = time.Minute
	// UsageInterval is the time between two reports of a source. All nodes report at the same times of their clocks, so that what
	// builds on others' reports waits for them no longer than it takes to tell them, and one payload carries those of many.
	UsageInterval = 5 * time.Second
	// ReportJitter is the time within which nodes report to those that add up their use, from the interval's begin.
	ReportJitter = time.Second
	// sumAt and farAt are when in the interval nodes add up what they were told and their failure domain's sums.
	sumAt = ReportJitter + 200*time.Millisecond
	farAt = UsageInterval - ReportJitter
)

// lastAt returns the last time that was so long after the begin of an interval.
func lastAt(now time.Time, after time.Duration) time.Time {
	return now.Add(-after).Truncate(UsageInterval).Add(after)
}

// UsageReport is what teams used at one source, as it travels between nodes.
type UsageReport struct {
	// Incarnation is set for what a node used or was told to add to it, FailureDomain for the sum over those of a failure domain.
	Incarnation   api.Incarnation   `json:",omitempty"`
	FailureDomain api.FailureDomain `json:",omitempty"`
	// For is set in a report to a node that adds it to its own; another takes nothing of it.
	For   api.Incarnation `json:",omitempty"`
	Usage limit.TeamUsage
}

// Key names whose usage a report holds; it is the key of the newest report.
func (r UsageReport) Key() string {
	if r.Incarnation != "" {
		return "node/" + string(r.Incarnation)
	}
	return "domain/" + string(r.FailureDomain)
}

// MergeUsage takes in reports of other sources. Sums over the own failure domain are left out: its nodes count one by one.
func (g *Gate) MergeUsage(reports []UsageReport, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, report := range reports {
		own := report.Incarnation == g.opts.Incarnation || report.FailureDomain == g.opts.FailureDomain && report.Incarnation == ""
		last, known := g.reports[report.Key()]
		newer := !known || report.Usage.AsOf.After(last.Usage.AsOf)
		if own || report.For != "" || !newer || now.Sub(report.Usage.AsOf) > usageKept || !known && len(g.reports) >= limit.MaxUsageReports {
			continue
		}
		g.reports[report.Key()] = report
		// What this node told of its own counts here as its own already.
		g.usage.MergeReport(report.Key(), report.Usage.Minus(g.sums.toldBefore(report.Incarnation, report.Usage.AsOf)), now)
	}
	g.forget(now)
}

func (g *Gate) forget(now time.Time) {
	before := now.Add(-usageKept)
	for source, report := range g.reports {
		if report.Usage.AsOf.Before(before) {
			delete(g.reports, source)
		}
	}
	g.sums.forget(before)
	g.usage.Forget(before)
}

// UsageForOwnDomain returns the reports for peers of the own failure domain.
func (g *Gate) UsageForOwnDomain(now time.Time) map[string]UsageReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.near(now)
}

func (g *Gate) near(now time.Time) map[string]UsageReport {
	near := make(map[string]UsageReport)
	// A node that nobody used says nothing: its last report lapses by itself.
	if own := g.ownSum(now); len(own.Usage.Seconds) > 0 {
		near[own.Key()] = own
	}
	for source, report := range g.reports {
		near[source] = report
	}
	return near
}

// UsageForOtherDomains returns the reports for peers of other failure domains: sums. All nodes of a failure domain add up for the same times, so
// that peers hear of one sum for each and not of one a node.
func (g *Gate) UsageForOtherDomains(now time.Time) map[string]UsageReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	far := make(map[string]UsageReport)
	sum := limit.TeamUsage{AsOf: now}
	for source, report := range g.near(now) {
		if report.Incarnation == "" {
			far[source] = report
			continue
		}
		sum = sum.Plus(report.Usage)
	}
	asOf := lastAt(now, farAt)
	if g.sums.far.Usage.AsOf.Before(asOf) {
		g.sums.far = UsageReport{FailureDomain: g.opts.FailureDomain, Usage: sum.Backdated(asOf)}
	}
	if len(g.sums.far.Usage.Seconds) > 0 {
		far[g.sums.far.Key()] = g.sums.far
	}
	return far
}
