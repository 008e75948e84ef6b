package trial

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxPools bounds the roll-outs whose evidence is kept; it is weighed anew from the reports where it was dropped.
const maxPools = 64

func (n *Node) isCandidate(key suspect.Key) bool {
	gate, ok := n.gates[key.Service]
	return ok && gate.Grant().Version == key.Version && !gate.Grant().Ended
}

// weighCandidates returns the candidates that all counts known here show to be bad.
func (n *Node) weighCandidates() []suspect.Finding {
	var bad []suspect.Finding
	for _, gate := range n.gates {
		grant := gate.Grant()
		if grant.Ended {
			continue
		}
		for _, found := range n.findings(grant.RollOut, grant.Service, grant.Version, grant.Threshold) {
			if found.Stop {
				bad = append(bad, found)
			}
		}
	}
	return bad
}

// findings weighs the newest reports on a candidate by nodes that take part in the roll-out; reports weighed before
// change nothing.
func (n *Node) findings(id rollout.ID, service api.Service, version api.VersionID, threshold float64) []suspect.Finding {
	pool, ok := n.pools[id]
	if !ok {
		n.dropPools()
		pool = suspect.NewPool(suspect.PoolOptions{Threshold: threshold, MaxReporters: maxReports})
		n.pools[id] = pool
	}
	for _, entry := range n.shared.reports {
		if !entry.report.takesPart(id) {
			continue
		}
		for _, r := range entry.report.Reports {
			if r.Key.Service == service && r.Key.Version == version {
				pool.Observe(r)
			}
		}
	}
	return pool.Findings()
}

// dropPools makes room once many roll-outs have ended.
func (n *Node) dropPools() {
	if len(n.pools) >= maxPools {
		clear(n.pools)
	}
}

// Findings implements rollout.Results.
func (n *Node) Findings(plan rollout.Plan) []suspect.Finding {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.findings(plan.ID, plan.Service, plan.Version, plan.Threshold())
}

// report makes a new report of the node's own if a candidate is on trial or a version in service is suspicious, and
// something changed or is due. The last suspicion is taken back by a report without it.
func (n *Node) report(config *fleet.Config, now time.Time) {
	last, ok := n.shared.reports[n.opts.Incarnation]
	if !hasCandidate(config) && len(n.suspicions) == 0 && (!ok || len(last.report.Suspicions) == 0) {
		return
	}
	next := n.ownReport()
	n.rounds++
	if ok && last.report.isLike(next) && n.rounds < idleReports {
		return
	}
	n.rounds = 0
	n.number++
	next.Number = n.number
	n.shared.putReport(next, now)
}

func (n *Node) ownReport() NodeReport {
	r := NodeReport{Node: n.opts.Node, Incarnation: n.opts.Incarnation, Suspicions: n.suspicions}
	for service, gate := range n.gates {
		grant := gate.Grant()
		r.Uses = append(r.Uses, gate.Use(n.opts.Node, n.opts.Incarnation))
		for key, tally := range n.tallies {
			if key.Service == service && key.Version == grant.Version {
				r.Reports = append(r.Reports, n.keyReport(key, *tally, grant.Control))
			}
		}
	}
	r.sort()
	return r
}

func (n *Node) keyReport(key suspect.Key, version suspect.Tally, control api.VersionID) suspect.Report {
	r := suspect.Report{Source: suspect.Reporter(n.opts.Incarnation), Key: key, Version: version}
	controlKey := key
	controlKey.Version = control
	if tally, ok := n.tallies[controlKey]; ok {
		r.Control = *tally
	}
	return r
}

func hasCandidate(config *fleet.Config) bool {
	for _, service := range config.Services {
		for _, model := range service.Models {
			for _, version := range model.Versions {
				if version.State == fleet.StateCandidate {
					return true
				}
			}
		}
	}
	return false
}

// Uses implements rollout.Results: the live nodes with what they have used, also those that have no grant yet, and the
// results over all nodes, gone ones too.
func (n *Node) Uses(id rollout.ID) (uses []rollout.Use, settled uint64) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, entry := range n.shared.reports {
		use := entry.report.useOf(id)
		settled += use.Settled
		if now.Sub(entry.heard) < lostAfter {
			uses = append(uses, use)
		}
	}
	return uses, settled
}

// Grant implements rollout.Results.
func (n *Node) Grant(grants []rollout.Grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, grant := range grants {
		n.takeGrant(grant)
	}
}

// takeGrant keeps a grant for the peers, and for this node if it is its own; it reports whether it is new.
func (n *Node) takeGrant(grant rollout.Grant) bool {
	if !n.shared.putGrant(grant) {
		return false
	}
	if grant.Node != n.opts.Node {
		return true
	}
	gate, ok := n.gates[grant.Service]
	if !ok {
		gate = new(rollout.Gate)
		n.gates[grant.Service] = gate
	}
	if gate.Grant().RollOut != grant.RollOut {
		n.clearCounts(grant.Service, grant.Version)
	}
	gate.SetGrant(grant, n.opts.Node, n.opts.Incarnation)
	return true
}

// clearCounts forgets what is known of a version, so that it starts anew.
func (n *Node) clearCounts(service api.Service, version api.VersionID) {
	for key := range n.tallies {
		if key.Service == service && key.Version == version {
			delete(n.tallies, key)
			delete(n.serving, key)
		}
	}
	n.shared.forgetHistories(service, version)
}

// clearWithdrawn forgets what is known of versions that the configuration withdraws: once an operator lets one serve
// again, only new evidence counts. What a roll-out under way needs stays.
func (n *Node) clearWithdrawn(config *fleet.Config, now time.Time) {
	for key := range n.tallies {
		scope := fleet.Scope{Service: key.Service, Version: key.Version}
		if !n.isCandidate(key) && config.StateOf(scope, now) == fleet.StateWithdrawn {
			delete(n.tallies, key)
			delete(n.serving, key)
			n.shared.forgetHistories(key.Service, key.Version)
		}
	}
}

// Overview returns what this node knows of every version that it has counted, ordered by service, version and class:
// candidates by the reports of all nodes, others by the node's own counts.
func (n *Node) Overview() []suspect.Finding {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []suspect.Finding
	for _, gate := range n.gates {
		grant := gate.Grant()
		found = append(found, n.findings(grant.RollOut, grant.Service, grant.Version, grant.Threshold)...)
	}
	for key, tally := range n.tallies {
		if past, ok := n.serving[key]; ok && !n.isCandidate(key) {
			finding := past.Finding(key)
			finding.Version = *tally
			found = append(found, finding)
		}
	}
	suspect.SortFindings(found)
	return found
}
