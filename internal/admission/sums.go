package admission

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// aggregation is the state by which a node aggregates the usage reports of nodes of its failure domain, or has its own usage aggregated
// by another node. Any node aggregates the reports that it gets. Each node reports to one aggregator at a time, and no part of its usage
// to two of them.
type aggregation struct {
	// aggregator is the node that this node reports to; empty if it publishes its usage to all peers itself.
	aggregator api.Incarnation
	// splitter divides this node's own usage between its aggregators.
	splitter limit.ReportSplitter
	// aggregated holds the newest report of each node that reports to this one.
	aggregated map[api.Incarnation]limit.TeamUsage
	// sentReports holds this node's last reports by the aggregator that they were sent to, the newest last.
	sentReports map[api.Incarnation][]limit.TeamUsage
	// ownSum is the last sum published within the own failure domain, domainSum the last one for other failure domains.
	ownSum, domainSum UsageReport
}

// maxSentReports is the number of reports that are kept per aggregator, since the aggregator's sums arrive some intervals later.
const maxSentReports = 8

func newAggregation() aggregation {
	return aggregation{aggregated: make(map[api.Incarnation]limit.TeamUsage), sentReports: make(map[api.Incarnation][]limit.TeamUsage)}
}

// AggregateLocally makes this node publish its own usage to all peers instead of reporting it to an aggregator.
func (g *Gate) AggregateLocally() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aggregation.aggregator = ""
}

// ReportTo returns this node's report for an aggregator, which from now on publishes this node's usage. The report has no teams if
// there is no usage to report.
func (g *Gate) ReportTo(aggregator api.Incarnation, now time.Time) UsageReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aggregation.aggregator = aggregator
	part := g.aggregation.splitter.Report(aggregator, g.usage.OwnReport(now))
	if len(part.Seconds) > 0 {
		reports := append(g.aggregation.sentReports[aggregator], part)
		g.aggregation.sentReports[aggregator] = reports[max(len(reports)-maxSentReports, 0):]
	}
	return UsageReport{Incarnation: g.opts.Incarnation, For: aggregator, Usage: part}
}

// AggregateReport adds a node's report to the sums that this node publishes. Reports that are addressed to another incarnation, outdated
// or repeated are ignored.
func (g *Gate) AggregateReport(report UsageReport, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, exists := g.aggregation.aggregated[report.Incarnation]
	isForOthers := report.For != g.opts.Incarnation || report.Incarnation == g.opts.Incarnation
	isOld := exists && !report.Usage.AsOf.After(last.AsOf) || now.Sub(report.Usage.AsOf) > maxReportAge
	if isForOthers || isOld || !exists && len(g.aggregation.aggregated) >= limit.MaxUsageReports {
		return
	}
	g.aggregation.aggregated[report.Incarnation] = report.Usage
	g.usage.MergeReport("taken/"+string(report.Incarnation), report.Usage, now)
	g.forget(now)
}

// ownSum returns the sum that this node publishes within its failure domain: the reports of other nodes, and its own usage unless
// that goes to an aggregator. The sum is computed once per UsageInterval.
func (g *Gate) ownSum(now time.Time) UsageReport {
	if !g.aggregation.ownSum.Usage.AsOf.Before(lastInInterval(now, sumOffset)) {
		return g.aggregation.ownSum
	}
	sum := limit.TeamUsage{AsOf: now}
	if g.aggregation.aggregator == "" {
		sum = g.aggregation.splitter.Report(g.opts.Incarnation, g.usage.OwnReport(now))
	}
	for _, report := range g.aggregation.aggregated {
		sum = sum.Plus(report)
	}
	g.aggregation.ownSum = UsageReport{Incarnation: g.opts.Incarnation, Usage: sum}
	return g.aggregation.ownSum
}

// maxReportedBefore returns, by team, the largest usage of this node that an aggregator's sum as of asOf can include. The sum includes
// at most one of the reports sent before asOf, or none if they were lost. The newest is not always the largest, since a report that
// follows reports to another aggregator leaves out their usage.
func (a *aggregation) maxReportedBefore(aggregator api.Incarnation, asOf time.Time) limit.TeamUsage {
	most := limit.TeamUsage{AsOf: asOf, Seconds: make(map[api.Team]float64)}
	for _, report := range a.sentReports[aggregator] {
		if report.AsOf.After(asOf) {
			break
		}
		for team, seconds := range report.At(asOf).Seconds {
			most.Seconds[team] = max(most.Seconds[team], seconds)
		}
	}
	return most
}

func (a *aggregation) forget(before time.Time) {
	for node, usage := range a.aggregated {
		if usage.AsOf.Before(before) {
			delete(a.aggregated, node)
		}
	}
	for aggregator, reports := range a.sentReports {
		if reports[len(reports)-1].AsOf.Before(before) {
			delete(a.sentReports, aggregator)
		}
	}
}
