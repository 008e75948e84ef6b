package admission

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxReportAge is the age from which a report is ignored and dropped.
	maxReportAge = time.Minute
	// UsageInterval is the time between two reports of a node. All nodes report at the same times of their clocks. A sum of
	// other nodes' reports therefore waits no longer than their delivery takes, and one payload carries the reports of many nodes.
	UsageInterval = 5 * time.Second
	// ReportJitter bounds the random delay after the begin of an interval with which nodes report to their aggregators.
	ReportJitter = time.Second
	// sumOffset and domainSumOffset are the times after the begin of an interval at which a node computes the sum of the reports that it
	// got, and the sum over its failure domain.
	sumOffset       = ReportJitter + 200*time.Millisecond
	domainSumOffset = UsageInterval - ReportJitter
)

// lastInInterval returns the newest time, not after now, that is offset after the begin of an interval.
func lastInInterval(now time.Time, offset time.Duration) time.Time {
	return now.Add(-offset).Truncate(UsageInterval).Add(offset)
}

// UsageReport is a report on the usage of teams by a node or a failure domain. It is sent between nodes as JSON.
type UsageReport struct {
	// Incarnation is set in the report of a node, which includes the reports that it aggregates; FailureDomain is set in the sum
	// over a failure domain.
	Incarnation   api.Incarnation   `json:",omitempty"`
	FailureDomain api.FailureDomain `json:",omitempty"`
	// For is the aggregator that the report is sent to; other nodes ignore it. It is empty in reports to all peers.
	For   api.Incarnation `json:",omitempty"`
	Usage limit.TeamUsage
}

// Key identifies the node or failure domain whose usage the report holds; only the newest report of a key counts.
func (r UsageReport) Key() string {
	if r.Incarnation != "" {
		return "node/" + string(r.Incarnation)
	}
	return "domain/" + string(r.FailureDomain)
}

// MergeUsage merges reports of other nodes and failure domains. Sums over the own failure domain are ignored, since the reports of its
// nodes are merged individually.
func (g *Gate) MergeUsage(reports []UsageReport, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, report := range reports {
		isOwn := report.Incarnation == g.opts.Incarnation || report.FailureDomain == g.opts.FailureDomain && report.Incarnation == ""
		last, known := g.reports[report.Key()]
		isNewer := !known || report.Usage.AsOf.After(last.Usage.AsOf)
		if isOwn || report.For != "" || !isNewer || now.Sub(report.Usage.AsOf) > maxReportAge || !known && len(g.reports) >= limit.MaxUsageReports {
			continue
		}
		g.reports[report.Key()] = report
		// The sum may include reports of this node, whose usage is already counted as own.
		g.usage.MergeReport(report.Key(), report.Usage.Minus(g.aggregation.maxReportedBefore(report.Incarnation, report.Usage.AsOf)), now)
	}
	g.forget(now)
}

func (g *Gate) forget(now time.Time) {
	before := now.Add(-maxReportAge)
	for key, report := range g.reports {
		if report.Usage.AsOf.Before(before) {
			delete(g.reports, key)
		}
	}
	g.aggregation.forget(before)
	g.usage.Forget(before)
}

// UsageForOwnDomain returns the reports for peers of the own failure domain, by UsageReport.Key.
func (g *Gate) UsageForOwnDomain(now time.Time) map[string]UsageReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ownDomainReports(now)
}

func (g *Gate) ownDomainReports(now time.Time) map[string]UsageReport {
	reports := make(map[string]UsageReport)
	// A node without usage sends no report; its last one decays at the peers.
	if own := g.ownSum(now); len(own.Usage.Seconds) > 0 {
		reports[own.Key()] = own
	}
	for key, report := range g.reports {
		reports[key] = report
	}
	return reports
}

// UsageForOtherDomains returns the reports for peers of other failure domains, by UsageReport.Key: one sum per failure domain. All nodes
// of a failure domain compute its sum for the same times, so that peers get one sum per interval and not one of each node.
func (g *Gate) UsageForOtherDomains(now time.Time) map[string]UsageReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := make(map[string]UsageReport)
	sum := limit.TeamUsage{AsOf: now}
	for key, report := range g.ownDomainReports(now) {
		if report.Incarnation == "" {
			reports[key] = report
			continue
		}
		sum = sum.Plus(report.Usage)
	}
	asOf := lastInInterval(now, domainSumOffset)
	if g.aggregation.domainSum.Usage.AsOf.Before(asOf) {
		g.aggregation.domainSum = UsageReport{FailureDomain: g.opts.FailureDomain, Usage: sum.Backdated(asOf)}
	}
	if len(g.aggregation.domainSum.Usage.Seconds) > 0 {
		reports[g.aggregation.domainSum.Key()] = g.aggregation.domainSum
	}
	return reports
}
