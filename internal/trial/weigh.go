package trial

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxPools bounds the number of roll-outs whose evidence is kept. Dropped evidence is computed again from the stored reports.
const maxPools = 64

func (n *Node) isCandidate(key suspect.Key) bool {
	gate, ok := n.gates[key.Service]
	return ok && gate.Grant().Version == key.Version && !gate.Grant().Ended
}

// evaluateCandidates returns findings on the candidates that are unhealthy by the counts of all nodes whose reports are stored here.
func (n *Node) evaluateCandidates() []suspect.Finding {
	var unhealthy []suspect.Finding
	for _, gate := range n.gates {
		grant := gate.Grant()
		if grant.Ended {
			continue
		}
		for _, found := range n.poolFindings(grant.RollOut, grant.Service, grant.Version, grant.Threshold) {
			if found.Stop {
				unhealthy = append(unhealthy, found)
			}
		}
	}
	return unhealthy
}

// poolFindings adds the newest reports on a candidate to its pool and returns the pool's findings. Only reports of nodes that
// participate in the roll-out count, and reports that were added before have no effect.
func (n *Node) poolFindings(id rollout.ID, service api.Service, version api.VersionID, threshold float64) []suspect.Finding {
	pool, ok := n.pools[id]
	if !ok {
		n.dropPools()
		pool = suspect.NewPool(suspect.PoolOptions{Threshold: threshold, MaxReporters: maxReports})
		n.pools[id] = pool
	}
	for _, entry := range n.shared.reports {
		if !entry.report.participatesIn(id) {
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

// dropPools drops all pools once there are maxPools, most of which belong to ended roll-outs.
func (n *Node) dropPools() {
	if len(n.pools) >= maxPools {
		clear(n.pools)
	}
}

// Findings implements rollout.Results.
func (n *Node) Findings(plan rollout.Plan) []suspect.Finding {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.poolFindings(plan.ID, plan.Service, plan.Version, plan.Threshold())
}

// updateOwnReport publishes a new report of this node if there is a candidate version or a suspicion against a version in service,
// and the report changed or maxUnchangedRounds have passed. A suspicion is retracted by a report without it.
func (n *Node) updateOwnReport(config *fleet.Config, now time.Time) {
	last, ok := n.shared.reports[n.opts.Incarnation]
	if !hasCandidate(config) && len(n.suspicions) == 0 && (!ok || len(last.report.Suspicions) == 0) {
		return
	}
	next := n.newOwnReport()
	n.unchangedRounds++
	if ok && last.report.hasSameContent(next) && n.unchangedRounds < maxUnchangedRounds {
		return
	}
	n.unchangedRounds = 0
	n.reportNumber++
	next.Number = n.reportNumber
	n.shared.putReport(next, now)
}

func (n *Node) newOwnReport() NodeReport {
	r := NodeReport{Node: n.opts.Node, Incarnation: n.opts.Incarnation, Suspicions: n.suspicions}
	for service, gate := range n.gates {
		grant := gate.Grant()
		r.Uses = append(r.Uses, gate.Use(n.opts.Node, n.opts.Incarnation))
		for key, tally := range n.tallies {
			if key.Service == service && key.Version == grant.Version {
				r.Reports = append(r.Reports, n.newKeyReport(key, *tally, grant.Control))
			}
		}
	}
	r.sort()
	return r
}

func (n *Node) newKeyReport(key suspect.Key, version suspect.Tally, control api.VersionID) suspect.Report {
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

// Uses implements rollout.Results. It returns the exposure used by each live node, including nodes without a grant, and the
// number of completed requests of all nodes, including those that are no longer live.
func (n *Node) Uses(id rollout.ID) (uses []rollout.Use, completed uint64) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, entry := range n.shared.reports {
		use := entry.report.useOf(id)
		completed += use.Settled
		if now.Sub(entry.receivedAt) < reportTimeout {
			uses = append(uses, use)
		}
	}
	return uses, completed
}

// Grant implements rollout.Results.
func (n *Node) Grant(grants []rollout.Grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, grant := range grants {
		n.mergeGrant(grant)
	}
}

// mergeGrant stores a grant to be sent to peers, and applies it if it is for this node. It reports whether the grant is new.
func (n *Node) mergeGrant(grant rollout.Grant) bool {
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
		n.resetVersion(grant.Service, grant.Version)
	}
	gate.SetGrant(grant, n.opts.Node, n.opts.Incarnation)
	return true
}

// resetVersion drops the counts and histories of a version, so that its evaluation starts anew.
func (n *Node) resetVersion(service api.Service, version api.VersionID) {
	for key := range n.tallies {
		if key.Service == service && key.Version == version {
			delete(n.tallies, key)
			delete(n.servingHistories, key)
		}
	}
	n.shared.forgetHistories(service, version)
}

// resetWithdrawn drops the counts and histories of versions that the configuration withdraws, so that only new evidence counts
// once an operator lets such a version serve again. Candidates of active roll-outs keep theirs.
func (n *Node) resetWithdrawn(config *fleet.Config, now time.Time) {
	for key := range n.tallies {
		scope := fleet.Scope{Service: key.Service, Version: key.Version}
		if !n.isCandidate(key) && config.StateOf(scope, now) == fleet.StateWithdrawn {
			delete(n.tallies, key)
			delete(n.servingHistories, key)
			n.shared.forgetHistories(key.Service, key.Version)
		}
	}
}

// Overview returns the findings on every version that this node has counted, ordered by service, version and class. Findings on
// candidates are based on the reports of all nodes, those on other versions on the node's own counts.
func (n *Node) Overview() []suspect.Finding {
	n.mu.Lock()
	defer n.mu.Unlock()
	var findings []suspect.Finding
	for _, gate := range n.gates {
		grant := gate.Grant()
		findings = append(findings, n.poolFindings(grant.RollOut, grant.Service, grant.Version, grant.Threshold)...)
	}
	for key, tally := range n.tallies {
		if history, ok := n.servingHistories[key]; ok && !n.isCandidate(key) {
			finding := history.Finding(key)
			finding.Version = *tally
			findings = append(findings, finding)
		}
	}
	suspect.SortFindings(findings)
	return findings
}
