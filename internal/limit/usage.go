package limit

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// usageWindow is the time constant of the exponential decay of usage: after it, usage counts 1/e of its original value.
const usageWindow = 5 * time.Second

// negligible is the usage, in slot-seconds, below which it is treated as zero.
const negligible = 1e-6

// decayed is a sum that decays exponentially with usageWindow.
type decayed struct {
	value float64
	// asOf is the time for which value is valid.
	asOf time.Time
}

func (d *decayed) at(now time.Time) float64 {
	age := now.Sub(d.asOf)
	if d.value == 0 || age <= 0 {
		return d.value
	}
	return d.value * math.Exp(-age.Seconds()/usageWindow.Seconds())
}

func (d *decayed) add(amount float64, now time.Time) {
	d.value = d.at(now) + amount
	if now.After(d.asOf) {
		d.asOf = now
	}
}

// Usage holds each team's recent usage of the fleet: that counted on this node and that reported by others.
// It is not safe for concurrent use.
type Usage struct {
	// own is the usage counted on this node, total also includes the merged reports.
	own, total map[api.Team]*decayed
	// reports holds the newest report by the name of its reporter. Old ones decay, so they need no removal from total.
	reports map[string]TeamUsage
}

// TeamUsage is a report of the usage of teams, in slot-seconds, as of a time.
type TeamUsage struct {
	AsOf    time.Time
	Seconds map[api.Team]float64
}

// MaxUsageReports bounds the number of reporters; reports of further ones are dropped.
const MaxUsageReports = 1024

// NewUsage returns a Usage without any counts.
func NewUsage() *Usage {
	return &Usage{own: map[api.Team]*decayed{}, total: map[api.Team]*decayed{}, reports: map[string]TeamUsage{}}
}

// Add counts a request that this node dispatched. A negative cost corrects an earlier one.
func (u *Usage) Add(team api.Team, cost time.Duration, now time.Time) {
	addTo(u.own, team, cost.Seconds(), now)
	addTo(u.total, team, cost.Seconds(), now)
}

func addTo(sums map[api.Team]*decayed, team api.Team, amount float64, now time.Time) {
	sum, ok := sums[team]
	if !ok {
		sum = &decayed{}
		sums[team] = sum
	}
	sum.add(amount, now)
}

// OwnReport returns this node's report for its peers.
func (u *Usage) OwnReport(now time.Time) TeamUsage {
	report := TeamUsage{AsOf: now, Seconds: make(map[api.Team]float64, len(u.own))}
	for team, sum := range u.own {
		if seconds := sum.at(now); seconds > negligible {
			report.Seconds[team] = seconds
		}
	}
	return report
}

// MergeReport replaces the last report of a reporter, which is a node or a failure domain; a report that isn't newer than the last one
// is ignored. The usage reported by different reporters must not overlap.
func (u *Usage) MergeReport(reporter string, report TeamUsage, now time.Time) {
	last, exists := u.reports[reporter]
	if exists && !report.AsOf.After(last.AsOf) || !exists && len(u.reports) >= MaxUsageReports {
		return
	}
	u.reports[reporter] = report
	u.addSigned(last, -1, now)
	u.addSigned(report, 1, now)
}

// addSigned adds a report to the totals with sign 1 and subtracts it with sign -1.
func (u *Usage) addSigned(report TeamUsage, sign float64, now time.Time) {
	for team, seconds := range report.Seconds {
		d := decayed{value: seconds, asOf: report.AsOf}
		addTo(u.total, team, sign*d.at(now), now)
	}
}

// Forget drops the reports from before a time. It must be several usage windows ago, so that their usage has decayed.
func (u *Usage) Forget(before time.Time) {
	for reporter, report := range u.reports {
		if report.AsOf.Before(before) {
			delete(u.reports, reporter)
		}
	}
}

// Of returns a team's recent usage of the fleet in slot-seconds.
func (u *Usage) Of(team api.Team, now time.Time) float64 {
	sum, ok := u.total[team]
	if !ok {
		return 0
	}
	return max(sum.at(now), 0)
}
