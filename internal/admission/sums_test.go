package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// users is a failure domain of gates and what their teams really used.
type users struct {
	*rapid.T
	gates []*Gate
	runs  int
	truth *limit.Usage
	now   time.Time
	// late holds reports and sums that are still under way, repeated ones too.
	late []UsageReport
}

const teamOfUse api.Team = "team"

func (u *users) start() *Gate {
	u.runs++
	return New(Options{Metrics: metric.New(), Incarnation: api.Incarnation(fmt.Sprint("run-", u.runs)), FailureDomain: "d"})
}

func (u *users) startAll(n int) (gates []*Gate) {
	for range n {
		gates = append(gates, u.start())
	}
	return gates
}

func (u *users) any(label string) int { return rapid.IntRange(0, len(u.gates)-1).Draw(u.T, label) }

// deliver hands a report or a sum to a gate.
func (u *users) deliver(to *Gate, report UsageReport) {
	if report.For != "" {
		to.AggregateReport(report, u.now)
		return
	}
	to.MergeUsage([]UsageReport{report}, u.now)
}

// tell has a node tell its use to another, which may be lost, late or taken by a later run of that node.
func (u *users) tell(from, to int) {
	if from == to || rapid.IntRange(0, 4).Draw(u.T, "self") == 0 {
		u.gates[from].AggregateLocally()
		return
	}
	report := u.gates[from].ReportTo(u.gates[to].opts.Incarnation, u.now)
	if rapid.IntRange(0, 3).Draw(u.T, "arrives") > 0 {
		u.deliver(u.gates[to], report)
	}
	u.late = append(u.late, report)
}

// step lets one thing happen.
func (u *users) step() {
	node := u.any("node")
	switch rapid.IntRange(0, 6).Draw(u.T, "step") {
	case 0, 1:
		cost := time.Duration(rapid.IntRange(1, 5000).Draw(u.T, "cost")) * time.Millisecond
		u.gates[node].usage.Add(teamOfUse, cost, u.now)
		u.truth.Add(teamOfUse, cost, u.now)
	case 2:
		u.tell(node, u.any("summer"))
	case 3:
		for _, report := range u.gates[u.any("teller")].UsageForOwnDomain(u.now) {
			u.deliver(u.gates[node], report)
			u.late = append(u.late, report)
		}
	case 4:
		if len(u.late) > 0 {
			u.deliver(u.gates[node], rapid.SampledFrom(u.late).Draw(u.T, "late"))
		}
	case 5:
		if rapid.IntRange(0, 5).Draw(u.T, "restarts") == 0 {
			u.gates[node] = u.start()
		}
	case 6:
		u.now = u.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(u.T, "pause")) * time.Millisecond)
	}
}

// settle lets all nodes work for a while with one of them adding up the others' use, and then hear all that is told.
func (u *users) settle() {
	const summer = 0
	round := func() {
		u.now = u.now.Add(UsageInterval)
		for i, gate := range u.gates {
			gate.AggregateLocally()
			if i != summer {
				u.deliver(u.gates[summer], gate.ReportTo(u.gates[summer].opts.Incarnation, u.now))
			}
		}
		u.now = u.now.Add(UsageInterval)
		for _, from := range u.gates {
			for _, to := range u.gates {
				for _, report := range from.UsageForOwnDomain(u.now) {
					u.deliver(to, report)
				}
			}
		}
	}
	for range 4 {
		for _, gate := range u.gates {
			gate.usage.Add(teamOfUse, time.Second, u.now)
			u.truth.Add(teamOfUse, time.Second, u.now)
		}
		round()
	}
}

// TestUseCountsOnce draws uses, reports to changing summers, losses, late and repeated reports and restarts. No node ever counts more
// than was used, and once reports come through again each knows all of it within the 10% by which teams may miss their shares.
func TestUseCountsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		u := &users{T: rt, truth: limit.NewUsage(), now: time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)}
		u.gates = u.startAll(rapid.IntRange(2, 5).Draw(rt, "nodes"))
		used := func() float64 { return u.truth.Of(teamOfUse, u.now) }
		for range rapid.IntRange(0, 80).Draw(rt, "steps") {
			u.step()
			for i, gate := range u.gates {
				if known := gate.usage.Of(teamOfUse, u.now); known > used()+1e-6 {
					rt.Fatalf("node %d counts %v of %v", i, known, used())
				}
				far := 0.0
				for _, report := range gate.UsageForOtherDomains(u.now) {
					far += report.Usage.At(u.now).Seconds[teamOfUse]
				}
				if far > used()+1e-6 {
					rt.Fatalf("node %d tells others %v of %v", i, far, used())
				}
			}
		}
		u.settle()
		for i, gate := range u.gates {
			if known := gate.usage.Of(teamOfUse, u.now); math.Abs(known-used()) > 0.1*used() {
				rt.Fatalf("node %d counts %v of %v", i, known, used())
			}
		}
	})
}

// TestLostReportAfterReturn tells a node of use, tells peers oneself for a while, and loses the first report after going back to it.
func TestLostReportAfterReturn(t *testing.T) {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	gates := (&users{}).startAll(2)
	node, summer := gates[0], gates[1]
	node.usage.Add(teamOfUse, 4*time.Second, now)
	summer.AggregateReport(node.ReportTo(summer.opts.Incarnation, now), now)
	node.AggregateLocally()
	node.UsageForOwnDomain(now)
	node.usage.Add(teamOfUse, time.Second, now)
	node.ReportTo(summer.opts.Incarnation, now)
	for _, report := range summer.UsageForOwnDomain(now) {
		node.MergeUsage([]UsageReport{report}, now)
	}
	qt.Assert(t, node.usage.Of(teamOfUse, now), qt.Equals, 5.0)
}
