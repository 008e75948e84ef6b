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

// watched is a version in service on a node.
type watched struct {
	tally   Tally
	history History
}

// watch feeds each node a second's answers and returns the largest evidence: of one node, and of all together.
func watch(rng *rand.Rand, nodes []*watched, like quality, perSecond float64, at time.Time) (alone, joint float64) {
	var told []NodeSuspicions
	for i, node := range nodes {
		for left := perSecond; rng.Float64() < left; left-- {
			like.sample(rng, &node.tally)
		}
		found := node.history.Update(key, node.tally, others(nodes, i), at)
		alone = max(alone, found.Evidence.Total)
		if suspicion, ok := node.history.Suspicion(key, sharedNats); ok {
			told = append(told, NodeSuspicions{Suspicions: []Suspicion{suspicion}})
		}
	}
	return alone, JointEvidence(JointOptions{Nodes: told, Detectors: len(nodes)})
}

// others sums what the other nodes compare the version with.
func others(nodes []*watched, except int) Tally {
	var total Tally
	for i, node := range nodes {
		if i != except {
			total.Add(node.history.before)
		}
	}
	return total
}

func watchedNodes() []*watched {
	nodes := make([]*watched, jointNodes)
	for i := range nodes {
		nodes[i] = new(watched)
	}
	return nodes
}

// TestServingFalseAlarmsStayWithinTheStatedBound starts without any history, where what a version is like is known least.
func TestServingFalseAlarmsStayWithinTheStatedBound(t *testing.T) {
	const seeds, rounds, bound = 100, 400, 0.01
	threshold := Threshold(rounds*jointNodes*servingTests, bound)
	for name, like := range map[string]quality{
		"good":           good,
		"3% errors":      {errors: 0.03, rating: 0.8, slower: 1},
		"nearly perfect": {errors: 0.005, rating: 0.995, slower: 1},
	} {
		for _, perSecond := range []float64{0.3, 3} {
			alarms := 0
			for seed := range uint64(seeds) {
				rng, nodes := rand.New(rand.NewPCG(seed, 3)), watchedNodes()
				for round := range rounds {
					alone, joint := watch(rng, nodes, like, perSecond, now.Add(time.Duration(round)*time.Second))
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

// TestBadAnswersDoNotBecomeHistory lets a version turn bad before it has a long history.
func TestBadAnswersDoNotBecomeHistory(t *testing.T) {
	const seeds, before, limit = 100, 120, 200
	bad := quality{errors: 0.005, rating: 0.3, slower: 1}
	for seed := range uint64(seeds) {
		rng, node := rand.New(rand.NewPCG(seed, 4)), new(watched)
		at, found := now, Finding{}
		feed := func(like quality) {
			like.sample(rng, &node.tally)
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

// suspicious returns what a node tells that has gained some nats against a version in each of the newest slots.
func suspicious(node string, slots int, nats float64) NodeSuspicions {
	var t trail
	for i := range slots {
		t.add(Gains{2: nats}, now.Add(time.Duration(i)*slotLength))
	}
	t.advance(now.Add(trailSlots / 2 * slotLength))
	return NodeSuspicions{Node: api.NodeID(node), Suspicions: []Suspicion{t.suspicion(key)}}
}

func TestJointEvidenceNeedsASecondNode(t *testing.T) {
	joint := func(told ...NodeSuspicions) float64 {
		return JointEvidence(JointOptions{Nodes: told, Detectors: jointNodes})
	}
	liar, calm, few := suspicious("a", 4, 1000), suspicious("b", 4, 0), suspicious("c", 4, 2)
	qt.Assert(t, joint(liar) <= 0, qt.IsTrue)
	qt.Assert(t, joint(liar, calm) <= 0, qt.IsTrue)
	qt.Assert(t, joint(liar, few) <= 2*4*2, qt.IsTrue, qt.Commentf("a node counts for more than the others"))
	equal := joint(suspicious("a", 4, 4), suspicious("b", 4, 4), suspicious("c", 4, 4))
	qt.Assert(t, equal > ServingThreshold(jointNodes, 9), qt.IsTrue, qt.Commentf("%.1f nats", equal))
	alone := JointEvidence(JointOptions{Nodes: []NodeSuspicions{suspicious("a", 4, 8)}, Detectors: 1, AllowSingleNode: true})
	qt.Assert(t, alone > ServingThreshold(jointNodes, 9), qt.IsTrue, qt.Commentf("%.1f nats", alone))
}

func TestMoreDetectorsTellNoMoreSuspicionsByChance(t *testing.T) {
	for _, size := range [][2]int{{3, 9}, {8, 9}, {59, 51}, {590, 51}} {
		byChance := float64(size[0]) * float64(size[1]) * math.Exp(-ReportThreshold(size[0], size[1]))
		qt.Check(t, byChance <= sharedDetectors*math.Exp(-sharedNats)+1e-6, qt.IsTrue, qt.Commentf("%v: %.2f", size, byChance))
	}
}
