package trial

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxSuspicions bounds the suspicions of a report; the strongest go out.
	maxSuspicions = 8
	// falseConfirms is the largest probability that any node bears out a stop which another one put in force by a fault
	// of its own.
	falseConfirms = 0.01
)

// suspected is what is known against one version in service.
type suspected struct {
	// worst is the own finding with the most evidence.
	worst suspect.Finding
	// classes is how many detectors of the node watch the version.
	classes int
	// own holds the node's own suspicions, others those that other nodes told.
	own    suspect.NodeSuspicions
	others []suspect.NodeSuspicions
}

// weighServing returns the versions in service that have turned bad: by the node's own evidence alone, or by that of
// several nodes. A node on which several versions of a service look bad has a fault of its own and accuses nobody.
func (n *Node) weighServing(now time.Time) []suspect.Finding {
	versions, warned := n.weighOwn(now)
	n.gatherSuspicions(versions, now)
	threshold := suspect.ServingThreshold(n.fleetSize, len(n.tallies))
	n.suspicions = n.suspicions[:0:0]
	clear(n.ownNats)
	var bad []suspect.Finding
	for id, known := range versions {
		if n.isCandidate(suspect.Key{Service: id.Service, Version: id.Version}) {
			continue
		}
		if warned[id.Service] > 1 {
			known.own.Suspicions = nil
			known.worst.Evidence.Total = math.Inf(-1)
		}
		n.suspicions = append(n.suspicions, known.own.Suspicions...)
		n.ownNats[id] = known.alone()
		if found, isBad := known.judge(threshold, n.fleetSize); isBad {
			bad = append(bad, found)
		}
	}
	n.suspicions = strongest(n.suspicions)
	suspect.SortFindings(bad)
	return bad
}

// weighOwn takes in the node's newest counts and returns what they say of each version in service, and how many
// versions of each service look bad.
func (n *Node) weighOwn(now time.Time) (map[suspect.Subject]*suspected, map[api.Service]int) {
	versions := map[suspect.Subject]*suspected{}
	warned := map[api.Service]int{}
	shared := suspect.ReportThreshold(n.fleetSize, len(n.tallies))
	for key, tally := range n.tallies {
		if n.isCandidate(key) {
			continue
		}
		past, ok := n.serving[key]
		if !ok {
			past = new(suspect.History)
			n.serving[key] = past
		}
		found := past.Update(key, *tally, n.shared.countsOfOthers(key, n.opts.Incarnation, past), now)
		known := n.suspectedOf(versions, key)
		wasCalm := known.worst.Evidence.Total < suspect.MaxHealthyNats
		known.add(found, past, shared)
		if wasCalm && found.Evidence.Total >= suspect.MaxHealthyNats {
			warned[key.Service]++
		}
		n.tellHistory(key, found.Control, now)
	}
	return versions, warned
}

func (n *Node) suspectedOf(versions map[suspect.Subject]*suspected, key suspect.Key) *suspected {
	id := suspect.Subject{Service: key.Service, Version: key.Version}
	known, ok := versions[id]
	if !ok {
		known = &suspected{own: suspect.NodeSuspicions{Node: n.opts.Node}}
		known.worst.Key = key
		known.worst.Evidence.Total = math.Inf(-1)
		versions[id] = known
	}
	return known
}

// add takes in what one detector of the node has found, which is shared from some nats on.
func (s *suspected) add(found suspect.Finding, past *suspect.History, shared float64) {
	s.classes++
	if suspicion, ok := past.Suspicion(found.Key, shared); ok {
		s.own.Suspicions = append(s.own.Suspicions, suspicion)
	}
	if found.Evidence.Total > s.worst.Evidence.Total {
		s.worst = found
	}
}

// alone returns the evidence of the node's own detectors.
func (s *suspected) alone() float64 {
	joint := suspect.JointEvidence(suspect.JointOptions{Nodes: []suspect.NodeSuspicions{s.own}, Detectors: s.classes, AllowSingleNode: true})
	return max(s.worst.Evidence.Total, joint)
}

// judge decides on a version: by the node's own detectors alone, and together with other nodes.
func (s *suspected) judge(threshold float64, nodes int) (suspect.Finding, bool) {
	found := s.worst
	found.Evidence.Total = s.alone()
	found.Sources = 1
	if len(s.others) > 0 {
		classes := s.classes
		for _, told := range s.others {
			classes = max(classes, len(told.Suspicions))
		}
		all := append(slices.Clone(s.others), s.own)
		joint := suspect.JointEvidence(suspect.JointOptions{Nodes: all, Detectors: max(nodes, len(all)) * classes})
		found.Evidence.Total = max(found.Evidence.Total, joint)
		if joint >= threshold {
			found.Sources = len(s.others) + min(1, len(s.own.Suspicions))
		}
	}
	found.Stop = found.Evidence.Total >= threshold
	return found, found.Stop
}

// confirms reports whether the node's own evidence bears out a stop that another node has put in force on its own.
func (n *Node) confirms(stop suspect.Stop) bool {
	own, ok := n.ownNats[stop.Subject()]
	rounds := suspect.UncorroboratedStopTTL.Seconds() / tickEvery.Seconds()
	detectors := float64(n.fleetSize) * float64(n.classesOf(stop.Subject()))
	return ok && own >= suspect.Threshold(rounds*detectors, falseConfirms)
}

// classesOf counts the node's detectors of a version, at least 1.
func (n *Node) classesOf(subject suspect.Subject) int {
	count := 0
	for key := range n.serving {
		if key.Service == subject.Service && key.Version == subject.Version {
			count++
		}
	}
	return max(1, count)
}

// confirmHeard puts the stops of other nodes in force that the node's own evidence bears out by now.
func (n *Node) confirmHeard() {
	for _, stop := range n.stops.Unconfirmed() {
		if n.confirms(stop) {
			stop.Node, stop.Sources = n.opts.Node, stop.Sources+1
			n.enforce(stop)
		}
	}
}

// strongest returns the suspicions that a report has room for, ordered by service, version and class.
func strongest(told []suspect.Suspicion) []suspect.Suspicion {
	slices.SortFunc(told, func(a, b suspect.Suspicion) int {
		return cmp.Or(cmp.Compare(b.Total(), a.Total()), compareSuspicions(a, b))
	})
	told = told[:min(len(told), maxSuspicions)]
	slices.SortFunc(told, compareSuspicions)
	return told
}

func compareSuspicions(a, b suspect.Suspicion) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version.String(), b.Version.String()), cmp.Compare(a.Class, b.Class))
}

// gatherSuspicions adds what other nodes told lately. A node that was cut off or is gone counts no more.
func (n *Node) gatherSuspicions(versions map[suspect.Subject]*suspected, now time.Time) {
	newest := map[api.NodeID]*reportEntry{}
	for _, entry := range n.shared.reports {
		last, ok := newest[entry.report.Node]
		if entry.report.Node != n.opts.Node && now.Sub(entry.heard) < lostAfter && (!ok || entry.heard.After(last.heard)) {
			newest[entry.report.Node] = entry
		}
	}
	for node, entry := range newest {
		for i, told := range entry.report.Suspicions {
			// A node's second word on a class is not counted.
			isRepeated := i > 0 && compareSuspicions(entry.report.Suspicions[i-1], told) >= 0
			if i >= maxSuspicions || isRepeated {
				break
			}
			known := n.suspectedOf(versions, told.Key())
			last := len(known.others) - 1
			if last < 0 || known.others[last].Node != node {
				known.others = append(known.others, suspect.NodeSuspicions{Node: node})
				last++
			}
			known.others[last].Suspicions = append(known.others[last].Suspicions, told)
		}
	}
}
