package suspect

import (
	"cmp"
	"math"
	"slices"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// roundsPerFalseAlarm is the number of rounds in ten years at one round per second. In that time one false alarm is
	// expected for the versions in service of the whole fleet.
	roundsPerFalseAlarm = 3.15e8
	// roundsPerDay is the number of rounds in a day at one round per second.
	roundsPerDay = 86_400
	// servingTestCount is the number of tests that share the false-alarm bound: the evidence of one detector, of several
	// detectors of a node, and of several nodes.
	servingTestCount = 3
)

// ServingThreshold returns the evidence in nats at which versions in service are stopped, such that one false alarm is
// expected in ten years over all nodes, each of which watches the given number of keys. The expected growth of a detector's
// statistic is at most 1 per round, so that the bound of Threshold holds for the rounds of all detectors together.
func ServingThreshold(nodes, keys int) float64 {
	return Threshold(roundsPerFalseAlarm*float64(max(nodes, 1))*float64(max(keys, 1))*servingTestCount, 1)
}

// DrainThreshold returns the node's own evidence in nats at which it temporarily gives a version no new sessions. It allows
// one false alarm per day over all nodes, because such a drain costs little and ends by itself.
func DrainThreshold(nodes, keys int) float64 {
	return ServingThreshold(nodes, keys) - math.Log(roundsPerFalseAlarm/roundsPerDay)
}

// logSlotSeconds is the logarithm of the number of rounds per slot, at one round per second. It is added to the evidence
// because there are fewer slots than rounds, for which roundsPerFalseAlarm holds.
var logSlotSeconds = math.Log(slotLength.Seconds())

// NodeSuspicions holds the suspicions of one node against a version, one per class.
type NodeSuspicions struct {
	Node       api.NodeID
	Suspicions []Suspicion
}

// JointOptions holds the arguments of JointEvidence.
type JointOptions struct {
	Nodes []NodeSuspicions
	// Detectors is the number of detectors that watch the version, including those without a suspicion.
	Detectors int
	// AllowSingleNode accepts the evidence of a single node.
	AllowSingleNode bool
}

// JointEvidence returns the evidence of several detectors against a version, in nats that compare with ServingThreshold.
//
// It sums the gains of a subset of the detectors since a common slot and maximises over the subset and the slot. For each
// slot the sum is the logarithm of an exponential supermartingale for any subset of the detectors. The choice of m out
// of n detectors, and of m, is accounted for by subtracting the logarithm of the number of ways; the choice of the slot
// is accounted for by the threshold. Unless AllowSingleNode is set, no node has more weight than all others together, so
// that one faulty node can't stop a version for all nodes, whatever it reports.
func JointEvidence(opts JointOptions) float64 {
	best := math.Inf(-1)
	newest := int64(math.MinInt64)
	for _, node := range opts.Nodes {
		for i := range node.Suspicions {
			newest = max(newest, node.Suspicions[i].Slot)
		}
	}
	for test := range testCount {
		sums := newJointSums(opts)
		for slot := newest; slot > newest-gainSlots; slot-- {
			sums.add(test, slot)
			best = max(best, sums.best()+logShares[test]+logSlotSeconds)
		}
	}
	return best
}

// detectorSum is the sum of a detector's gains since a slot, in nats.
type detectorSum struct {
	node      int
	suspicion *Suspicion
	nats      float64
}

// jointSums holds the sums of all detectors' gains for one test.
type jointSums struct {
	sums            []detectorSum
	nodes           int
	detectors       int
	allowSingleNode bool
}

func newJointSums(opts JointOptions) *jointSums {
	s := &jointSums{nodes: len(opts.Nodes), allowSingleNode: opts.AllowSingleNode}
	for node, suspicions := range opts.Nodes {
		for i := range suspicions.Suspicions {
			s.sums = append(s.sums, detectorSum{node: node, suspicion: &suspicions.Suspicions[i]})
		}
	}
	s.detectors = max(opts.Detectors, len(s.sums))
	return s
}

func (s *jointSums) add(test int, slot int64) {
	for i := range s.sums {
		s.sums[i].nats += s.sums[i].suspicion.gain(test, slot)
	}
}

// best returns the largest evidence of any subset of the detectors, after the correction for the choice of the subset.
func (s *jointSums) best() float64 {
	slices.SortFunc(s.sums, func(a, b detectorSum) int { return cmp.Compare(b.nats, a.nats) })
	best, total, largest := math.Inf(-1), 0.0, 0.0
	byNode := make([]float64, s.nodes)
	for i, sum := range s.sums {
		total += sum.nats
		byNode[sum.node] += sum.nats
		largest = max(largest, byNode[sum.node])
		counted := total
		if !s.allowSingleNode {
			counted = min(total, 2*(total-largest))
		}
		best = max(best, counted-logChoose(s.detectors, i+1)-math.Log(float64(s.detectors)))
	}
	return best
}

// logChoose returns the logarithm of the binomial coefficient n over m.
func logChoose(n, m int) float64 { return logFactorial(n) - logFactorial(m) - logFactorial(n-m) }

func logFactorial(n int) float64 {
	log, _ := math.Lgamma(float64(n) + 1)
	return log
}
