package node

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/admission"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// testNode is a node with only the parts that share usage.
type testNode struct {
	*Node
	member   peer.Member
	topic    peer.Topic
	reporter *usageReporter
	// disconnected nodes reach nobody, unlisted nodes are missing from the membership list, and crashed nodes get no requests.
	disconnected, unlisted, crashed bool
	// sentVersions holds the version of the node's topic that each peer has.
	sentVersions map[api.Incarnation]uint64
	requestTimes []time.Time
}

// testDomain holds the nodes of a failure domain. Each node exchanges with a random other node once a second.
type testDomain struct {
	t      *testing.T
	nodes  []*testNode
	rand   *rand.Rand
	starts int
}

// shareTolerance is the relative error allowed for a team's share.
const shareTolerance = 0.1

// unlimitedCapacity admits all requests.
type unlimitedCapacity struct{}

func (unlimitedCapacity) MaxInFlight(api.Service) int { return math.MaxInt32 }

func (td *testDomain) start() *testNode {
	td.starts++
	incarnation := api.Incarnation(fmt.Sprint("run-", td.starts))
	n := &Node{incarnation: incarnation, opts: Options{Settings: setting.Settings{Node: setting.Node{FailureDomain: "d"}}}}
	n.gate = admission.New(admission.Options{
		Capacity: unlimitedCapacity{}, Metrics: metric.New(), Incarnation: incarnation, FailureDomain: "d", Nodes: func() int { return len(td.nodes) },
	})
	started := &testNode{Node: n, sentVersions: make(map[api.Incarnation]uint64), topic: n.usageTopic()}
	started.member = peer.Member{Incarnation: incarnation, FailureDomain: "d", Protocol: peer.Protocol}
	started.reporter = &usageReporter{
		gate: n.gate, self: incarnation, domain: "d", members: td.members, avoided: make(map[api.Incarnation]time.Time), metrics: metric.New(),
		send: func(_ context.Context, to peer.Member, _ string, payload []byte) error {
			i := slices.IndexFunc(td.nodes, func(other *testNode) bool { return other.incarnation == to.Incarnation })
			if i < 0 || td.nodes[i].disconnected || started.disconnected {
				return Error.New("node is unreachable")
			}
			_, err := directUsageTopic{td.nodes[i].gate}.Merge(started.member, payload)
			return err
		},
	}
	return started
}

func (td *testDomain) members() (members []peer.Member) {
	for _, n := range td.nodes {
		if !n.unlisted {
			members = append(members, n.member)
		}
	}
	return members
}

func (td *testDomain) send(from, to *testNode) {
	payload, version := from.topic.Since(from.sentVersions[to.incarnation], to.member, 64<<10)
	if from.disconnected || to.disconnected {
		return
	}
	from.sentVersions[to.incarnation] = version
	if len(payload) > 0 {
		_, err := to.topic.Merge(from.member, payload)
		qt.Assert(td.t, err, qt.IsNil)
	}
}

// run lets the nodes exchange usage; if isUsed, each gets one request a second.
func (td *testDomain) run(d time.Duration, isUsed bool) {
	for range int(d / time.Second) {
		td.step(isUsed)
		time.Sleep(time.Second)
		for _, shareOfUse := range td.aggregatedShares() {
			qt.Assert(td.t, shareOfUse <= 1+shareTolerance, qt.IsTrue, qt.Commentf("%v of all use", shareOfUse))
		}
	}
}

// step simulates one second of run.
func (td *testDomain) step(isUsed bool) {
	for i, n := range td.nodes {
		if isUsed && !n.crashed {
			_, err := n.gate.Admit(td.t.Context(), router.AdmissionRequest{
				ID: api.RequestID(fmt.Sprint(time.Now(), i)), Team: "team", Service: "s", Weight: 1, PromptTokens: 1,
			})
			qt.Assert(td.t, err, qt.IsNil)
			n.requestTimes = append(n.requestTimes, time.Now())
		}
		if time.Now().Unix()%int64(admission.UsageInterval/time.Second) == 0 {
			n.reporter.report(td.t.Context())
		}
		if other := td.nodes[td.rand.IntN(len(td.nodes))]; other != n {
			td.send(n, other)
			td.send(other, n)
		}
	}
}

// aggregatedShares returns, for each reachable node, the part of the failure domain's usage that it reports to other domains. A
// request counts as a second of a slot.
func (td *testDomain) aggregatedShares() (parts []float64) {
	truth := 0.0
	for _, n := range td.nodes {
		for _, at := range n.requestTimes {
			truth += math.Exp(-time.Since(at).Seconds() / 5)
		}
	}
	for _, n := range td.nodes {
		if n.disconnected {
			continue
		}
		sum := 0.0
		for _, report := range n.gate.UsageForOtherDomains(time.Now()) {
			sum += report.Usage.At(time.Now()).Seconds["team"]
		}
		parts = append(parts, sum/truth)
	}
	return parts
}

// aggregatorIndex returns the index of a node that aggregates the usage of others.
func (td *testDomain) aggregatorIndex() int {
	return slices.IndexFunc(td.nodes, func(n *testNode) bool {
		return slices.ContainsFunc(td.nodes, func(other *testNode) bool {
			found, ok := aggregatorFor(other.incarnation, "d", td.members(), nil)
			return ok && found.Incarnation == n.incarnation
		})
	})
}

// TestUsageReachesAllNodes has an aggregator of a large failure domain crash, lose its connections for some seconds or restart.
// Afterwards each node must have the whole usage within the 10% that a team's share may be off, and count no usage twice.
func TestUsageReachesAllNodes(t *testing.T) {
	faults := map[string]func(td *testDomain, aggregator int){
		"dies": func(td *testDomain, aggregator int) {
			td.nodes[aggregator].disconnected, td.nodes[aggregator].crashed = true, true
			td.run(15*time.Second, true)
			td.nodes[aggregator].unlisted = true
		},
		"cut for seconds": func(td *testDomain, aggregator int) {
			td.nodes[aggregator].disconnected = true
			td.run(8*time.Second, true)
			td.nodes[aggregator].disconnected = false
		},
		"restarts":         func(td *testDomain, aggregator int) { td.nodes[aggregator] = td.start() },
		"another restarts": func(td *testDomain, aggregator int) { td.nodes[(aggregator+1)%len(td.nodes)] = td.start() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				td := &testDomain{t: t, rand: rand.New(rand.NewPCG(1, 1))}
				for range 2 * maxAggregators {
					td.nodes = append(td.nodes, td.start())
				}
				td.run(20*time.Second, true)
				fault(td, td.aggregatorIndex())
				td.run(40*time.Second, true)
				td.run(15*time.Second, false)
				for _, shareOfUse := range td.aggregatedShares() {
					qt.Assert(t, shareOfUse >= 1-shareTolerance, qt.IsTrue, qt.Commentf("%v of all use", shareOfUse))
				}
			})
		})
	}
}

// TestFewNodesAggregateUsage checks the choice of aggregators: they are few, report to nobody themselves, have the current
// protocol, belong to the same failure domain and didn't fail to accept a report lately.
func TestFewNodesAggregateUsage(t *testing.T) {
	var members []peer.Member
	for i := range 59 {
		member := peer.Member{Incarnation: api.Incarnation(fmt.Sprint("run-", i)), FailureDomain: "d", Protocol: peer.Protocol}
		if i%4 == 0 {
			member.Protocol = peer.DirectSendProtocol - 1
		}
		members = append(members, member, peer.Member{Incarnation: api.Incarnation(fmt.Sprint("far-", i)), FailureDomain: "e", Protocol: peer.Protocol})
	}
	chosen := make(map[api.Incarnation]int)
	for _, member := range members {
		if aggregator, ok := aggregatorFor(member.Incarnation, "d", members, nil); ok && member.FailureDomain == "d" {
			chosen[aggregator.Incarnation]++
			qt.Check(t, aggregator.FailureDomain, qt.Equals, api.FailureDomain("d"))
			qt.Check(t, aggregator.Protocol, qt.Equals, uint32(peer.Protocol))
		}
	}
	qt.Check(t, len(chosen) > 1 && len(chosen) <= maxAggregators, qt.IsTrue, qt.Commentf("%v", chosen))
	for aggregator, reporters := range chosen {
		qt.Check(t, reporters <= 2*(59/maxAggregators), qt.IsTrue, qt.Commentf("%d report to %s", reporters, aggregator))
		_, ok := aggregatorFor(aggregator, "d", members, nil)
		qt.Check(t, ok, qt.IsFalse)
	}
	first, _ := aggregatorFor("run-new", "d", members, nil)
	second, ok := aggregatorFor("run-new", "d", members, map[api.Incarnation]time.Time{first.Incarnation: {}})
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, second.Incarnation, qt.Not(qt.Equals), first.Incarnation)
	// Nodes of a failure domain with at most maxAggregators nodes publish their usage themselves.
	_, ok = aggregatorFor("run-0", "d", members[:2*maxAggregators], nil)
	qt.Check(t, ok, qt.IsFalse)
}
