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

// usageModel is a failure domain of gates with the actual usage of their teams.
type usageModel struct {
	*rapid.T
	gates  []*Gate
	runs   int
	actual *limit.Usage
	now    time.Time
	// delayed holds the sent reports and sums, which may be delivered later, more than once or never.
	delayed []UsageReport
}

const testTeam api.Team = "team"

func (u *usageModel) start() *Gate {
	u.runs++
	return New(Options{Metrics: metric.New(), Incarnation: api.Incarnation(fmt.Sprint("run-", u.runs)), FailureDomain: "d"})
}

func (u *usageModel) startAll(n int) (gates []*Gate) {
	for range n {
		gates = append(gates, u.start())
	}
	return gates
}

func (u *usageModel) anyNode(label string) int {
	return rapid.IntRange(0, len(u.gates)-1).Draw(u.T, label)
}

// deliver passes a report or a sum to a gate.
func (u *usageModel) deliver(to *Gate, report UsageReport) {
	if report.For != "" {
		to.AggregateReport(report, u.now)
		return
	}
	to.MergeUsage([]UsageReport{report}, u.now)
}

// sendReport makes a node report its usage to another one or publish it itself. A report may be lost, delayed or reach a later incarnation
// of the aggregator.
func (u *usageModel) sendReport(from, to int) {
	if from == to || rapid.IntRange(0, 4).Draw(u.T, "self") == 0 {
		u.gates[from].AggregateLocally()
		return
	}
	report := u.gates[from].ReportTo(u.gates[to].opts.Incarnation, u.now)
	if rapid.IntRange(0, 3).Draw(u.T, "arrives") > 0 {
		u.deliver(u.gates[to], report)
	}
	u.delayed = append(u.delayed, report)
}

// step performs one random event.
func (u *usageModel) step() {
	node := u.anyNode("node")
	switch rapid.IntRange(0, 6).Draw(u.T, "step") {
	case 0, 1:
		cost := time.Duration(rapid.IntRange(1, 5000).Draw(u.T, "cost")) * time.Millisecond
		u.gates[node].usage.Add(testTeam, cost, u.now)
		u.actual.Add(testTeam, cost, u.now)
	case 2:
		u.sendReport(node, u.anyNode("summer"))
	case 3:
		for _, report := range u.gates[u.anyNode("teller")].UsageForOwnDomain(u.now) {
			u.deliver(u.gates[node], report)
			u.delayed = append(u.delayed, report)
		}
	case 4:
		if len(u.delayed) > 0 {
			u.deliver(u.gates[node], rapid.SampledFrom(u.delayed).Draw(u.T, "late"))
		}
	case 5:
		if rapid.IntRange(0, 5).Draw(u.T, "restarts") == 0 {
			u.gates[node] = u.start()
		}
	case 6:
		u.now = u.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(u.T, "pause")) * time.Millisecond)
	}
}

// converge runs several intervals of usage in which one node aggregates the reports of the others and everything is delivered.
func (u *usageModel) converge() {
	const aggregator = 0
	round := func() {
		u.now = u.now.Add(UsageInterval)
		for i, gate := range u.gates {
			gate.AggregateLocally()
			if i != aggregator {
				u.deliver(u.gates[aggregator], gate.ReportTo(u.gates[aggregator].opts.Incarnation, u.now))
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
			gate.usage.Add(testTeam, time.Second, u.now)
			u.actual.Add(testTeam, time.Second, u.now)
		}
		round()
	}
}

// TestUsageCountsOnce guards against usage that is counted twice or lost for good, with random changes of aggregators, lost, delayed and
// repeated reports and restarts. No node may ever count more than was used. After reports are delivered again, each node must count all
// usage within the 10% by which teams may miss their shares.
func TestUsageCountsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		u := &usageModel{T: rt, actual: limit.NewUsage(), now: time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)}
		u.gates = u.startAll(rapid.IntRange(2, 5).Draw(rt, "nodes"))
		used := func() float64 { return u.actual.Of(testTeam, u.now) }
		for range rapid.IntRange(0, 80).Draw(rt, "steps") {
			u.step()
			for i, gate := range u.gates {
				if counted := gate.usage.Of(testTeam, u.now); counted > used()+1e-6 {
					rt.Fatalf("node %d counts %v of %v", i, counted, used())
				}
				reported := 0.0
				for _, report := range gate.UsageForOtherDomains(u.now) {
					reported += report.Usage.At(u.now).Seconds[testTeam]
				}
				if reported > used()+1e-6 {
					rt.Fatalf("node %d reports %v of %v to other failure domains", i, reported, used())
				}
			}
		}
		u.converge()
		for i, gate := range u.gates {
			if counted := gate.usage.Of(testTeam, u.now); math.Abs(counted-used()) > 0.1*used() {
				rt.Fatalf("node %d counts %v of %v", i, counted, used())
			}
		}
	})
}

// TestLostReportAfterReturnToAggregator guards against usage that is counted twice when a node reports to an aggregator, publishes its usage
// itself for some time, returns to the aggregator and the first report after that is lost.
func TestLostReportAfterReturnToAggregator(t *testing.T) {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	gates := (&usageModel{}).startAll(2)
	node, aggregator := gates[0], gates[1]
	node.usage.Add(testTeam, 4*time.Second, now)
	aggregator.AggregateReport(node.ReportTo(aggregator.opts.Incarnation, now), now)
	node.AggregateLocally()
	node.UsageForOwnDomain(now)
	node.usage.Add(testTeam, time.Second, now)
	node.ReportTo(aggregator.opts.Incarnation, now)
	for _, report := range aggregator.UsageForOwnDomain(now) {
		node.MergeUsage([]UsageReport{report}, now)
	}
	qt.Assert(t, node.usage.Of(testTeam, now), qt.Equals, 5.0)
}
