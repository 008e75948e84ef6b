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
	// usageShareInterval is the least time between two checks for reports of other nodes to forward.
	usageShareInterval = time.Second
	// Reports of usage are rounded to usageTimeStep and to usageSecondsStep (in seconds of a slot), with at most maxUsageDigits
	// significant digits.
	usageTimeStep    = 100 * time.Millisecond
	usageSecondsStep = 0.001
	maxUsageDigits   = 2
	// maxAggregators is how many nodes of a failure domain publish the teams' usage. In a larger domain, every other node
	// reports to one of them.
	maxAggregators = 8
	// aggregatorAvoidance is how long a node that did not accept a report is avoided as aggregator.
	aggregatorAvoidance = 30 * time.Second
)

// usageDictionary is the compression dictionary for reports of usage. It is fixed for protocol 3.
var usageDictionary = []byte(`[{"FailureDomain":"","Usage":{"AsOf":"2026-12-01T00:00:00.0Z","Seconds":{"":0.00,"","For":"","Usage":{"AsOf":"20` +
	`26-12-01T00:00:00Z","Seconds":{"":0.01,"":1.1}}},{"Incarnation":"`)

// usageTopic shares the teams' usage, so that the shares of teams hold for the fleet and not for each node.
func (n *Node) usageTopic() peer.Topic {
	return share.NewTopic(share.Options[admission.UsageReport]{
		Name: topicUsage, FailureDomain: api.FailureDomain(n.opts.Settings.Node.FailureDomain),
		ForOwnDomain: func(now time.Time) map[string]admission.UsageReport {
			return roundedUsage(n.gate.UsageForOwnDomain(now))
		},
		ForOtherDomains: func(now time.Time) map[string]admission.UsageReport {
			return roundedUsage(n.gate.UsageForOtherDomains(now))
		},
		Apply: n.gate.MergeUsage, Interval: usageShareInterval, Dictionary: usageDictionary,
	})
}

// roundedUsage rounds reports to make them smaller on the wire.
func roundedUsage(reports map[string]admission.UsageReport) map[string]admission.UsageReport {
	rounded := make(map[string]admission.UsageReport, len(reports))
	for key, report := range reports {
		rounded[key] = roundedReport(report)
	}
	return rounded
}

// roundedReport drops digits that affect no decision but make up most of a compressed report. Reports that are forwarded are
// rounded already and don't change.
func roundedReport(report admission.UsageReport) admission.UsageReport {
	seconds := make(map[api.Team]float64, len(report.Usage.Seconds))
	for team, used := range report.Usage.Seconds {
		// Values that round to zero are left out.
		if used = math.Round(used/usageSecondsStep) * usageSecondsStep; used > 0 {
			seconds[team] = roundSignificant(used, maxUsageDigits)
		}
	}
	report.Usage = limit.TeamUsage{AsOf: report.Usage.AsOf.UTC().Truncate(usageTimeStep), Seconds: seconds}
	return report
}

// roundSignificant rounds a positive value to a number of significant digits.
func roundSignificant(value float64, digits int) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', digits, 64), 64)
	if err != nil {
		return value
	}
	return rounded
}

// directUsageTopic receives the usage of nodes for which this node is the aggregator. Those reports are sent to this node
// alone.
type directUsageTopic struct{ gate *admission.Gate }

// Name implements peer.Topic.
func (directUsageTopic) Name() string { return topicDirectUsage }

// Since implements peer.Topic.
func (directUsageTopic) Since(since uint64, _ peer.Member, _ int) ([]byte, uint64) { return nil, since }

// Merge implements peer.Topic.
func (t directUsageTopic) Merge(from peer.Member, payload []byte) (news bool, err error) {
	reports, err := share.Unpack[admission.UsageReport](payload, usageDictionary)
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

// usageReporter sends a node's usage to its aggregator if the failure domain is large.
type usageReporter struct {
	gate    *admission.Gate
	self    api.Incarnation
	domain  api.FailureDomain
	members func() []peer.Member
	send    func(ctx context.Context, to peer.Member, topic string, payload []byte) error
	// avoided holds the time until which a node that did not accept a report is avoided as aggregator.
	avoided map[api.Incarnation]time.Time
	metrics *metric.Set
}

// reportUsage is a duty that reports this node's usage in each admission.UsageInterval.
func (n *Node) reportUsage(ctx context.Context) error {
	reporter := &usageReporter{
		gate: n.gate, self: n.incarnation, domain: api.FailureDomain(n.opts.Settings.Node.FailureDomain),
		members: n.cluster.exchange.Members, send: n.cluster.exchange.Send, avoided: make(map[api.Incarnation]time.Time),
		metrics: n.metrics,
	}
	rng := n.newRand(streamUsage)
	for {
		begin := time.Now().Truncate(admission.UsageInterval).Add(admission.UsageInterval)
		if err := sleep.Wait(ctx, time.Until(begin)+time.Duration(rng.Int64N(int64(admission.ReportJitter)))); err != nil {
			return err
		}
		reporter.report(ctx)
	}
}

// report sends the node's usage once. If the aggregator does not accept it, this node publishes its usage itself.
func (r *usageReporter) report(ctx context.Context) {
	now := time.Now()
	maps.DeleteFunc(r.avoided, func(_ api.Incarnation, until time.Time) bool { return !until.After(now) })
	aggregator, ok := aggregatorFor(r.self, r.domain, r.members(), r.avoided)
	if !ok {
		r.gate.AggregateLocally()
		return
	}
	report := roundedReport(r.gate.ReportTo(aggregator.Incarnation, now))
	if len(report.Usage.Seconds) == 0 {
		return
	}
	payload, err := share.Pack([]admission.UsageReport{report}, usageDictionary)
	if err == nil {
		err = r.send(ctx, aggregator, topicDirectUsage, payload)
	}
	if err != nil {
		r.avoided[aggregator.Incarnation] = now.Add(aggregatorAvoidance)
		r.gate.AggregateLocally()
		r.metrics.Counter("usage_reports_failed").Inc(1)
		return
	}
	r.metrics.Counter("usage_reports").Inc(1)
}

// aggregatorFor returns the member that aggregates a node's usage, or false if the node publishes its usage itself. Nodes with
// the same view of the members choose alike and spread evenly over the aggregators; where views differ, each node's usage still
// goes to one aggregator only.
func aggregatorFor(self api.Incarnation, domain api.FailureDomain, members []peer.Member, avoided map[api.Incarnation]time.Time) (peer.Member, bool) {
	byIncarnation := make(map[api.Incarnation]peer.Member)
	var ownDomain []api.Incarnation
	for _, member := range members {
		if member.FailureDomain == domain {
			byIncarnation[member.Incarnation] = member
			ownDomain = append(ownDomain, member.Incarnation)
		}
	}
	aggregators := rendezvous.Top(topicUsage, ownDomain, maxAggregators)
	if len(ownDomain) <= maxAggregators || slices.Contains(aggregators, self) {
		return peer.Member{}, false
	}
	position := 0
	for _, other := range ownDomain {
		if other < self && !slices.Contains(aggregators, other) {
			position++
		}
	}
	for i := range aggregators {
		aggregator := aggregators[(position+i)%len(aggregators)]
		if _, isAvoided := avoided[aggregator]; !isAvoided && byIncarnation[aggregator].Protocol >= peer.DirectSendProtocol {
			return byIncarnation[aggregator], true
		}
	}
	return peer.Member{}, false
}
