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
	// maxSuspicions bounds the number of suspicions in a report; the strongest ones are sent.
	maxSuspicions = 8
	// falseConfirmationProbability bounds the probability that any node confirms a stop that another node put in force because of a
	// fault of that node itself.
	falseConfirmationProbability = 0.01
)

// versionEvidence is the evidence against one version in service.
type versionEvidence struct {
	// strongest is the node's own finding with the most evidence.
	strongest suspect.Finding
	// detectors is the number of the node's detectors that observe the version.
	detectors int
	// own holds the node's own suspicions, peers those reported by other nodes.
	own   suspect.NodeSuspicions
	peers []suspect.NodeSuspicions
}

// evaluateServing returns findings on the versions in service that became unhealthy by the node's own evidence alone or by that
// of several nodes. If several versions of a service look unhealthy here, the node assumes a fault of its own and doesn't use its own
// evidence against any of them.
func (n *Node) evaluateServing(now time.Time) []suspect.Finding {
	versions, suspectedVersions := n.evaluateOwnCounts(now)
	n.addPeerSuspicions(versions, now)
	threshold := suspect.ServingThreshold(n.maxFleetSize, len(n.tallies))
	n.suspicions = n.suspicions[:0:0]
	clear(n.ownEvidence)
	var unhealthy []suspect.Finding
	for id, evidence := range versions {
		if n.isCandidate(suspect.Key{Service: id.Service, Version: id.Version}) {
			continue
		}
		if suspectedVersions[id.Service] > 1 {
			evidence.own.Suspicions = nil
			evidence.strongest.Evidence.Total = math.Inf(-1)
		}
		n.suspicions = append(n.suspicions, evidence.own.Suspicions...)
		n.ownEvidence[id] = evidence.ownNats()
		if found, isUnhealthy := evidence.evaluate(threshold, n.maxFleetSize); isUnhealthy {
			unhealthy = append(unhealthy, found)
		}
	}
	n.suspicions = strongestSuspicions(n.suspicions)
	suspect.SortFindings(unhealthy)
	return unhealthy
}

// evaluateOwnCounts updates the histories with the node's newest counts. It returns the evidence against each version in service
// and, by service, the number of versions that look unhealthy.
func (n *Node) evaluateOwnCounts(now time.Time) (map[suspect.Subject]*versionEvidence, map[api.Service]int) {
	versions := map[suspect.Subject]*versionEvidence{}
	suspectedVersions := map[api.Service]int{}
	shared := suspect.ReportThreshold(n.maxFleetSize, len(n.tallies))
	for key, tally := range n.tallies {
		if n.isCandidate(key) {
			continue
		}
		history, ok := n.servingHistories[key]
		if !ok {
			history = new(suspect.History)
			n.servingHistories[key] = history
		}
		finding := history.Update(key, *tally, n.shared.peerCounts(key, n.opts.Incarnation, history), now)
		evidence := n.evidenceOf(versions, key)
		wasHealthy := evidence.strongest.Evidence.Total < suspect.MaxHealthyNats
		evidence.add(finding, history, shared)
		if wasHealthy && finding.Evidence.Total >= suspect.MaxHealthyNats {
			suspectedVersions[key.Service]++
		}
		n.reportHistory(key, finding.Control, now)
	}
	return versions, suspectedVersions
}

func (n *Node) evidenceOf(versions map[suspect.Subject]*versionEvidence, key suspect.Key) *versionEvidence {
	id := suspect.Subject{Service: key.Service, Version: key.Version}
	evidence, ok := versions[id]
	if !ok {
		evidence = &versionEvidence{own: suspect.NodeSuspicions{Node: n.opts.Node}}
		evidence.strongest.Key = key
		evidence.strongest.Evidence.Total = math.Inf(-1)
		versions[id] = evidence
	}
	return evidence
}

// add adds the finding of one of the node's detectors. Its suspicion is reported to peers from threshold nats on.
func (v *versionEvidence) add(finding suspect.Finding, history *suspect.History, threshold float64) {
	v.detectors++
	if suspicion, ok := history.Suspicion(finding.Key, threshold); ok {
		v.own.Suspicions = append(v.own.Suspicions, suspicion)
	}
	if finding.Evidence.Total > v.strongest.Evidence.Total {
		v.strongest = finding
	}
}

// ownNats returns the evidence of the node's own detectors in nats.
func (v *versionEvidence) ownNats() float64 {
	joint := suspect.JointEvidence(suspect.JointOptions{Nodes: []suspect.NodeSuspicions{v.own}, Detectors: v.detectors, AllowSingleNode: true})
	return max(v.strongest.Evidence.Total, joint)
}

// evaluate decides whether the version is unhealthy, by the node's own detectors alone and together with the peers' suspicions.
func (v *versionEvidence) evaluate(threshold float64, nodes int) (suspect.Finding, bool) {
	finding := v.strongest
	finding.Evidence.Total = v.ownNats()
	finding.Sources = 1
	if len(v.peers) > 0 {
		detectors := v.detectors
		for _, peer := range v.peers {
			detectors = max(detectors, len(peer.Suspicions))
		}
		all := append(slices.Clone(v.peers), v.own)
		joint := suspect.JointEvidence(suspect.JointOptions{Nodes: all, Detectors: max(nodes, len(all)) * detectors})
		finding.Evidence.Total = max(finding.Evidence.Total, joint)
		if joint >= threshold {
			finding.Sources = len(v.peers) + min(1, len(v.own.Suspicions))
		}
	}
	finding.Stop = finding.Evidence.Total >= threshold
	return finding, finding.Stop
}

// confirms reports whether the node's own evidence confirms a stop that another node put in force by its evidence alone.
func (n *Node) confirms(stop suspect.Stop) bool {
	ownNats, ok := n.ownEvidence[stop.Subject()]
	rounds := suspect.UncorroboratedStopTTL.Seconds() / tickInterval.Seconds()
	detectors := float64(n.maxFleetSize) * float64(n.detectorsOf(stop.Subject()))
	return ok && ownNats >= suspect.Threshold(rounds*detectors, falseConfirmationProbability)
}

// detectorsOf returns the number of the node's detectors that observe a version, at least 1.
func (n *Node) detectorsOf(subject suspect.Subject) int {
	count := 0
	for key := range n.servingHistories {
		if key.Service == subject.Service && key.Version == subject.Version {
			count++
		}
	}
	return max(1, count)
}

// confirmPeerStops puts those stops of other nodes in force that the node's own evidence now confirms.
func (n *Node) confirmPeerStops() {
	for _, stop := range n.stops.Unconfirmed() {
		if n.confirms(stop) {
			stop.Node, stop.Sources = n.opts.Node, stop.Sources+1
			n.enforce(stop)
		}
	}
}

// strongestSuspicions returns the maxSuspicions strongest suspicions, ordered by service, version and class. It reorders its argument.
func strongestSuspicions(suspicions []suspect.Suspicion) []suspect.Suspicion {
	slices.SortFunc(suspicions, func(a, b suspect.Suspicion) int {
		return cmp.Or(cmp.Compare(b.Total(), a.Total()), compareSuspicions(a, b))
	})
	suspicions = suspicions[:min(len(suspicions), maxSuspicions)]
	slices.SortFunc(suspicions, compareSuspicions)
	return suspicions
}

func compareSuspicions(a, b suspect.Suspicion) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version.String(), b.Version.String()), cmp.Compare(a.Class, b.Class))
}

// addPeerSuspicions adds the suspicions from other nodes' newest reports. Reports older than reportTimeout, as of unreachable or
// stopped nodes, don't count.
func (n *Node) addPeerSuspicions(versions map[suspect.Subject]*versionEvidence, now time.Time) {
	newest := map[api.NodeID]*reportEntry{}
	for _, entry := range n.shared.reports {
		last, ok := newest[entry.report.Node]
		if entry.report.Node != n.opts.Node && now.Sub(entry.receivedAt) < reportTimeout && (!ok || entry.receivedAt.After(last.receivedAt)) {
			newest[entry.report.Node] = entry
		}
	}
	for node, entry := range newest {
		for i, suspicion := range entry.report.Suspicions {
			// Suspicions are sorted, so one that isn't greater than the one before repeats a class and must not count twice.
			isRepeated := i > 0 && compareSuspicions(entry.report.Suspicions[i-1], suspicion) >= 0
			if i >= maxSuspicions || isRepeated {
				break
			}
			evidence := n.evidenceOf(versions, suspicion.Key())
			last := len(evidence.peers) - 1
			if last < 0 || evidence.peers[last].Node != node {
				evidence.peers = append(evidence.peers, suspect.NodeSuspicions{Node: node})
				last++
			}
			evidence.peers[last].Suspicions = append(evidence.peers[last].Suspicions, suspicion)
		}
	}
}
