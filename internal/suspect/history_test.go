package suspect

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const jointNodes = 8

// watchedNode holds the counts and the history of the version on one node.
type watchedNode struct {
	tally   Tally
	history History
}

// watch adds the answers of one second to each node. It returns the largest evidence of a single node and the joint
// evidence of all nodes.
func watch(rng *rand.Rand, nodes []*watchedNode, simulated behaviour, perSecond float64, at time.Time) (alone, joint float64) {
	var suspicions []NodeSuspicions
	for i, node := range nodes {
		for left := perSecond; rng.Float64() < left; left-- {
			simulated.sample(rng, &node.tally)
		}
		found := node.history.Update(key, node.tally, others(nodes, i), at)
		alone = max(alone, found.Evidence.Total)
		if suspicion, ok := node.history.Suspicion(key, minReportNats); ok {
			suspicions = append(suspicions, NodeSuspicions{Suspicions: []Suspicion{suspicion}})
		}
	}
	return alone, JointEvidence(JointOptions{Nodes: suspicions, Detectors: len(nodes)})
}

// others returns the sum of the baselines of all nodes but one.
func others(nodes []*watchedNode, except int) Tally {
	var total Tally
	for i, node := range nodes {
		if i != except {
			total.Add(node.history.baseline)
		}
	}
	return total
}

func watchedNodes() []*watchedNode {
	nodes := make([]*watchedNode, jointNodes)
	for i := range nodes {
		nodes[i] = new(watchedNode)
	}
	return nodes
}

// TestServingFalseAlarmsStayWithinTheStatedBound starts without a baseline, when false alarms are most likely.
func TestServingFalseAlarmsStayWithinTheStatedBound(t *testing.T) {
	const seeds, rounds, bound = 100, 400, 0.01
	threshold := Threshold(rounds*jointNodes*servingTestCount, bound)
	for name, simulated := range map[string]behaviour{
		"good":           good,
		"3% errors":      {errors: 0.03, rating: 0.8, latencyFactor: 1},
		"nearly perfect": {errors: 0.005, rating: 0.995, latencyFactor: 1},
	} {
		for _, perSecond := range []float64{0.3, 3} {
			alarms := 0
			for seed := range uint64(seeds) {
				rng, nodes := rand.New(rand.NewPCG(seed, 3)), watchedNodes()
				for round := range rounds {
					alone, joint := watch(rng, nodes, simulated, perSecond, now.Add(time.Duration(round)*time.Second))
					if max(alone, joint) >= threshold {
						alarms++
						break
					}
				}
			}
			t.Logf("%s, %.1f a second: %d of %d seeds", name, perSecond, alarms, seeds)
			qt.Check(t, float64(alarms)/seeds <= bound, qt.IsTrue, qt.Commentf("%s, %.1f a second: %d alarms", name, perSecond, alarms))
		}
	}
}

// TestBadAnswersDoNotEnterBaseline checks that a version that becomes unhealthy before it has a long baseline is still
// detected: its bad answers must not become part of the baseline with which it is compared.
func TestBadAnswersDoNotEnterBaseline(t *testing.T) {
	const seeds, before, limit = 100, 120, 200
	bad := behaviour{errors: 0.005, rating: 0.3, latencyFactor: 1}
	for seed := range uint64(seeds) {
		rng, node := rand.New(rand.NewPCG(seed, 4)), new(watchedNode)
		at, found := now, Finding{}
		feed := func(simulated behaviour) {
			simulated.sample(rng, &node.tally)
			at = at.Add(time.Second)
			found = node.history.Update(key, node.tally, Tally{}, at)
		}
		for range before {
			feed(good)
		}
		n := 0
		for ; n < limit && found.Evidence.Total < ServingThreshold(1, 1); n++ {
			feed(bad)
		}
		qt.Check(t, n < limit, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// suspicious returns the suspicions of a node whose rating test gained the given nats in each of a number of slots.
func suspicious(node string, slots int, nats float64) NodeSuspicions {
	var t recentGains
	for i := range slots {
		t.add(Gains{2: nats}, now.Add(time.Duration(i)*slotLength))
	}
	t.advance(now.Add(gainSlots / 2 * slotLength))
	return NodeSuspicions{Node: api.NodeID(node), Suspicions: []Suspicion{t.suspicion(key)}}
}

func TestJointEvidenceNeedsASecondNode(t *testing.T) {
	evidence := func(nodes ...NodeSuspicions) float64 {
		return JointEvidence(JointOptions{Nodes: nodes, Detectors: jointNodes})
	}
	faulty, healthy, few := suspicious("a", 4, 1000), suspicious("b", 4, 0), suspicious("c", 4, 2)
	qt.Assert(t, evidence(faulty) <= 0, qt.IsTrue)
	qt.Assert(t, evidence(faulty, healthy) <= 0, qt.IsTrue)
	qt.Assert(t, evidence(faulty, few) <= 2*4*2, qt.IsTrue, qt.Commentf("a node has more weight than the others together"))
	equal := evidence(suspicious("a", 4, 4), suspicious("b", 4, 4), suspicious("c", 4, 4))
	qt.Assert(t, equal > ServingThreshold(jointNodes, 9), qt.IsTrue, qt.Commentf("%.1f nats", equal))
	alone := JointEvidence(JointOptions{Nodes: []NodeSuspicions{suspicious("a", 4, 8)}, Detectors: 1, AllowSingleNode: true})
	qt.Assert(t, alone > ServingThreshold(jointNodes, 9), qt.IsTrue, qt.Commentf("%.1f nats", alone))
}

func TestReportThresholdLimitsChanceSuspicions(t *testing.T) {
	for _, size := range [][2]int{{3, 9}, {8, 9}, {59, 51}, {590, 51}} {
		byChance := float64(size[0]) * float64(size[1]) * math.Exp(-ReportThreshold(size[0], size[1]))
		qt.Check(t, byChance <= detectorsAtMinNats*math.Exp(-minReportNats)+1e-6, qt.IsTrue, qt.Commentf("%v: %.2f", size, byChance))
	}
}
