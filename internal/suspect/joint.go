package suspect

import (
	"cmp"
	"math"
	"slices"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// servingTicks is the number of rounds in the time in which one false alarm is expected of the versions in service
	// over the whole fleet: a round a second for ten years.
	servingTicks = 3.15e8
	// holdTicks is the number of rounds in a day.
	holdTicks = 86_400
	// servingTests is the number of ways that share the bound: one detector's evidence, several detectors' of a node,
	// and several nodes'.
	servingTests = 3
)

// ServingThreshold returns the evidence in nats at which versions in service are stopped, such that one false alarm is
// expected in ten years over all nodes and all keys that each of them watches: a detector's statistic grows by at most
// 1 a round in expectation, so that Threshold's bound holds for the rounds of all detectors.
func ServingThreshold(nodes, keys int) float64 {
	return Threshold(servingTicks*float64(max(nodes, 1))*float64(max(keys, 1))*servingTests, 1)
}

// DrainThreshold returns the evidence of its own in nats at which a node gives a version no new sessions for a while, such
// that over all nodes one does so a day without cause: it costs little and ends by itself.
func DrainThreshold(nodes, keys int) float64 {
	return ServingThreshold(nodes, keys) - math.Log(servingTicks/holdTicks)
}

// slotLog is by how much fewer slots there are than rounds, of which servingTicks counts one a second.
var slotLog = math.Log(slotLength.Seconds())

// NodeSuspicions is the suspicions of a version that one node holds, one a class.
type NodeSuspicions struct {
	Node       api.NodeID
	Suspicions []Suspicion
}

// JointOptions is what Joint weighs.
type JointOptions struct {
	Nodes []NodeSuspicions
	// Detectors is how many detectors watch the version, with those that are not suspicious.
	Detectors int
	// AllowSingleNode allows the evidence of one node alone.
	AllowSingleNode bool
}

// JointEvidence returns the evidence of several detectors against a version, in nats that compare with ServingThreshold.
//
// The gains of all detectors since a common slot add up: for each slot the sum is the logarithm of an exponential
// supermartingale, whichever of the detectors are summed, so that the choice of m out of n detectors and of m costs the
// logarithm of its number of ways and the choice of the slot is paid for by the threshold. Unless Single, no node counts
// for more than all the others together: one faulty node stops nothing for all, however much it claims.
func JointEvidence(opts JointOptions) float64 {
	best := math.Inf(-1)
	newest := int64(math.MinInt64)
	for _, told := range opts.Nodes {
		for i := range told.Suspicions {
			newest = max(newest, told.Suspicions[i].Slot)
		}
	}
	for part := range parts {
		sums := newJointSums(opts)
		for slot := newest; slot > newest-trailSlots; slot-- {
			sums.add(part, slot)
			best = max(best, sums.best()+partLogs[part]+slotLog)
		}
	}
	return best
}

// jointSum is what a detector gained since a slot.
type jointSum struct {
	node      int
	suspicion *Suspicion
	nats      float64
}

// jointSums adds up the gains of one test.
type jointSums struct {
	sums      []jointSum
	nodes     int
	detectors int
	isSingle  bool
}

func newJointSums(opts JointOptions) *jointSums {
	s := &jointSums{nodes: len(opts.Nodes), isSingle: opts.AllowSingleNode}
	for node, told := range opts.Nodes {
		for i := range told.Suspicions {
			s.sums = append(s.sums, jointSum{node: node, suspicion: &told.Suspicions[i]})
		}
	}
	s.detectors = max(opts.Detectors, len(s.sums))
	return s
}

func (s *jointSums) add(part int, slot int64) {
	for i := range s.sums {
		s.sums[i].nats += s.sums[i].suspicion.gain(part, slot)
	}
}

// best returns the largest evidence of any number of detectors, after the cost of their choice.
func (s *jointSums) best() float64 {
	slices.SortFunc(s.sums, func(a, b jointSum) int { return cmp.Compare(b.nats, a.nats) })
	best, total, largest := math.Inf(-1), 0.0, 0.0
	byNode := make([]float64, s.nodes)
	for i, sum := range s.sums {
		total += sum.nats
		byNode[sum.node] += sum.nats
		largest = max(largest, byNode[sum.node])
		counted := total
		if !s.isSingle {
			counted = min(total, 2*(total-largest))
		}
		best = max(best, counted-logChoose(s.detectors, i+1)-math.Log(float64(s.detectors)))
	}
	return best
}

// logChoose returns the logarithm of the number of ways to choose m out of n.
func logChoose(n, m int) float64 { return logFactorial(n) - logFactorial(m) - logFactorial(n-m) }

func logFactorial(n int) float64 {
	log, _ := math.Lgamma(float64(n) + 1)
	return log
}
