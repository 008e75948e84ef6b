package node

import (
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/admission"
	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/share"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// usageLook is the least time between two looks at what others told of teams' use, to hand it on.
	usageLook = time.Second
	// usageTime and usageUnit, in seconds of a slot, are what reports of usage are rounded to, with usageDigits at most.
	usageTime   = 100 * time.Millisecond
	usageUnit   = 0.001
	usageDigits = 2
	// maxSummers is how many nodes of a failure domain tell of teams' use. In a larger one the others report to one of them.
	maxSummers = 8
	// summerAvoided is how long a node that did not take a report is not told again.
	summerAvoided = 30 * time.Second
)

// usageWords is what reports of use have in common; it belongs to protocol 3.
var usageWords = []byte(`[{"FailureDomain":"","Usage":{"AsOf":"2026-12-01T00:00:00.0Z","Seconds":{"":0.00,"","For":"","Usage":{"AsOf":"20` +
	`26-12-01T00:00:00Z","Seconds":{"":0.01,"":1.1}}},{"Incarnation":"`)

// usageTopic shares what teams used, so that each gets its share of the fleet and not of each node.
func (n *Node) usageTopic() peer.Topic {
	return share.NewTopic(share.Options[admission.UsageReport]{
		Name: topicUsage, FailureDomain: api.FailureDomain(n.opts.Settings.Node.FailureDomain),
		ForOwnDomain: func(now time.Time) map[string]admission.UsageReport {
			return roundedUsage(n.gate.UsageForOwnDomain(now))
		},
		ForOtherDomains: func(now time.Time) map[string]admission.UsageReport {
			return roundedUsage(n.gate.UsageForOtherDomains(now))
		},
		Apply: n.gate.MergeUsage, Interval: usageLook, Dictionary: usageWords,
	})
}

// roundedUsage shortens reports for their way.
func roundedUsage(reports map[string]admission.UsageReport) map[string]admission.UsageReport {
	rounded := make(map[string]admission.UsageReport, len(reports))
	for key, report := range reports {
		rounded[key] = roundedReport(report)
	}
	return rounded
}

// roundedReport leaves out digits that decide nothing and are most of what packing leaves of a report. A report that is handed on is
// rounded already and stays as it is.
func roundedReport(report admission.UsageReport) admission.UsageReport {
	seconds := make(map[api.Team]float64, len(report.Usage.Seconds))
	for team, used := range report.Usage.Seconds {
		// What rounds to nothing is left out.
		if used = math.Round(used/usageUnit) * usageUnit; used > 0 {
			seconds[team] = roundTo(used, usageDigits)
		}
	}
	report.Usage = limit.TeamUsage{AsOf: report.Usage.AsOf.UTC().Truncate(usageTime), Seconds: seconds}
	return report
}

// roundTo rounds a positive value to some significant digits.
func roundTo(value float64, digits int) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', digits, 64), 64)
	if err != nil {
		return value
	}
	return rounded
}

// takenUsage takes in the reports of nodes whose use this one adds to its own. They are told to this node alone.
type takenUsage struct{ gate *admission.Gate }

// Name implements peer.Topic.
func (takenUsage) Name() string { return topicTakenUsage }

// Since implements peer.Topic.
func (takenUsage) Since(since uint64, _ peer.Member, _ int) ([]byte, uint64) { return nil, since }

// Merge implements peer.Topic.
func (t takenUsage) Merge(from peer.Member, payload []byte) (news bool, err error) {
	reports, err := share.Unpack[admission.UsageReport](payload, usageWords)
	if err != nil {
		return false, err
	}
	now := time.Now()
	for _, report := range reports {
		if report.Incarnation == from.Incarnation {
			t.gate.AggregateReport(report, now)
		}
	}
	return false, nil
}

// usageReporter tells, in a large failure domain, a node's use to the node that adds it up.
type usageReporter struct {
	gate    *admission.Gate
	self    api.Incarnation
	domain  api.FailureDomain
	members func() []peer.Member
	tell    func(ctx context.Context, to peer.Member, topic string, payload []byte) error
	// avoided holds until when a node that did not take a report is not told again.
	avoided map[api.Incarnation]time.Time
	metrics *metric.Set
}

// reportUsage is a duty.
func (n *Node) reportUsage(ctx context.Context) error {
	reporter := &usageReporter{
		gate: n.gate, self: n.incarnation, domain: api.FailureDomain(n.opts.Settings.Node.FailureDomain),
		members: n.cluster.exchange.Members, tell: n.cluster.exchange.Send, avoided: make(map[api.Incarnation]time.Time),
		metrics: n.metrics,
	}
	draws := n.random(streamUsage)
	for {
		begin := time.Now().Truncate(admission.UsageInterval).Add(admission.UsageInterval)
		if err := sleep.Wait(ctx, time.Until(begin)+time.Duration(draws.Int64N(int64(admission.ReportJitter)))); err != nil {
			return err
		}
		reporter.report(ctx)
	}
}

// report tells the node's use once. Where the node that adds it up does not take it, this one tells all peers itself.
func (r *usageReporter) report(ctx context.Context) {
	now := time.Now()
	maps.DeleteFunc(r.avoided, func(_ api.Incarnation, until time.Time) bool { return !until.After(now) })
	summer, ok := summerOf(r.self, r.domain, r.members(), r.avoided)
	if !ok {
		r.gate.AggregateLocally()
		return
	}
	report := roundedReport(r.gate.ReportTo(summer.Incarnation, now))
	if len(report.Usage.Seconds) == 0 {
		return
	}
	payload, err := share.Pack([]admission.UsageReport{report}, usageWords)
	if err == nil {
		err = r.tell(ctx, summer, topicTakenUsage, payload)
	}
	if err != nil {
		r.avoided[summer.Incarnation] = now.Add(summerAvoided)
		r.gate.AggregateLocally()
		r.metrics.Counter("usage_reports_failed").Inc(1)
		return
	}
	r.metrics.Counter("usage_reports").Inc(1)
}

// summerOf returns the member that adds up a node's use, or false if the node tells of it itself. Nodes that know the same members
// choose alike, and equally many each of those that add up; where they know others, each node's use is still told to one.
func summerOf(self api.Incarnation, domain api.FailureDomain, members []peer.Member, avoided map[api.Incarnation]time.Time) (peer.Member, bool) {
	near := make(map[api.Incarnation]peer.Member)
	var all []api.Incarnation
	for _, member := range members {
		if member.FailureDomain == domain {
			near[member.Incarnation] = member
			all = append(all, member.Incarnation)
		}
	}
	summers := rendezvous.Top(topicUsage, all, maxSummers)
	if len(all) <= maxSummers || slices.Contains(summers, self) {
		return peer.Member{}, false
	}
	place := 0
	for _, other := range all {
		if other < self && !slices.Contains(summers, other) {
			place++
		}
	}
	for i := range summers {
		summer := summers[(place+i)%len(summers)]
		if _, isAvoided := avoided[summer]; !isAvoided && near[summer].Protocol >= peer.DirectSendProtocol {
			return near[summer], true
		}
	}
	return peer.Member{}, false
}
