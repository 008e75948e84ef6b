package limit

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// usageWindow is the time after which a team's use weighs 1/e of what it did.
const usageWindow = 5 * time.Second

// negligible is what counts as nothing, in seconds of a slot.
const negligible = 1e-6

// decayed is a sum that fades with time.
type decayed struct {
	value float64
	// asOf is when value was right.
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

// Usage counts what each team used of the fleet lately: on this node, and on others as they reported it.
// It isn't safe for concurrent use.
type Usage struct {
	// own counts this node's dispatches, all those of the peers' reports too.
	own, all map[api.Team]*decayed
	// peers holds the newest report of each source; an old one fades by itself.
	peers map[string]TeamUsage
}

// TeamUsage is a report of what teams used, in seconds of a slot, as of a time.
type TeamUsage struct {
	AsOf    time.Time
	Seconds map[api.Team]float64
}

// MaxUsageReports bounds the number of sources; reports of further ones are dropped.
const MaxUsageReports = 1024

// NewUsage returns an empty usage.
func NewUsage() *Usage {
	return &Usage{own: map[api.Team]*decayed{}, all: map[api.Team]*decayed{}, peers: map[string]TeamUsage{}}
}

// Add counts a dispatched request of this node.
func (u *Usage) Add(team api.Team, cost time.Duration, now time.Time) {
	addTo(u.own, team, cost.Seconds(), now)
	addTo(u.all, team, cost.Seconds(), now)
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

// MergeReport takes in the report of another source, a node or a failure domain; an older one than the last is ignored.
// Sources must not overlap.
func (u *Usage) MergeReport(source string, report TeamUsage, now time.Time) {
	last, known := u.peers[source]
	if known && !report.AsOf.After(last.AsOf) || !known && len(u.peers) >= MaxUsageReports {
		return
	}
	u.peers[source] = report
	u.count(last, -1, now)
	u.count(report, 1, now)
}

// count adds a report to the sums, or takes it off.
func (u *Usage) count(report TeamUsage, sign float64, now time.Time) {
	for team, seconds := range report.Seconds {
		d := decayed{value: seconds, asOf: report.AsOf}
		addTo(u.all, team, sign*d.at(now), now)
	}
}

// Forget drops the reports from before a time, at least a few usage windows ago.
func (u *Usage) Forget(before time.Time) {
	for source, report := range u.peers {
		if report.AsOf.Before(before) {
			delete(u.peers, source)
		}
	}
}

// Of returns what a team used of the fleet lately, in seconds of a slot.
func (u *Usage) Of(team api.Team, now time.Time) float64 {
	sum, ok := u.all[team]
	if !ok {
		return 0
	}
	return max(sum.at(now), 0)
}
