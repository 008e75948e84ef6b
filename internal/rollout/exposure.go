package rollout

import (
	"cmp"
	"slices"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Grant is a node's part of the exposure budget. It is absolute and idempotent: it may be lost, repeated and reordered.
type Grant struct {
	RollOut ID
	Service api.Service
	// Version is the candidate, Control the version that it is compared with.
	Version api.VersionID
	Control api.VersionID
	Node    api.NodeID
	// Incarnation is the run of the node that the grant is for; another run of it takes none of it.
	Incarnation api.Incarnation
	// Fencing is the fencing number of the holder that gave it, Seq the holder's count of grants.
	Fencing int64
	Seq     uint64
	// Threshold is the evidence in nats at which a node stops the candidate on its own.
	Threshold float64
	// Share is the part of the new requests that the candidate receives.
	Share float64
	// Copies tells that no caller's request may go to the candidate, but copies of requests that the control answered,
	// whose answers are rated and dropped.
	Copies bool
	// Cap is how many requests and copies the node may hand to the candidate since its start.
	Cap uint64
	// Ended tells that the roll-out is over: its evidence counts no more.
	Ended bool
}

// IsNewer reports whether g replaces other.
func (g Grant) IsNewer(other Grant) bool {
	return cmp.Or(cmp.Compare(g.Fencing, other.Fencing), cmp.Compare(g.Seq, other.Seq)) > 0
}

// Use is what a node has done of its grants; both counts only grow during one incarnation.
type Use struct {
	RollOut     ID
	Node        api.NodeID
	Incarnation api.Incarnation
	// Used counts requests handed to the candidate.
	Used uint64
	// Settled counts those whose result is in the node's tally, rated or past the time for ratings; it is at most Used.
	Settled uint64
}

// Gate decides at one node which requests the candidate may receive. The zero value grants nothing.
// It is not safe for concurrent use.
type Gate struct {
	grant   Grant
	used    uint64
	settled uint64
}

// SetGrant takes in a grant; old ones and those for others are ignored.
func (g *Gate) SetGrant(grant Grant, node api.NodeID, incarnation api.Incarnation) {
	if grant.Node == node && grant.Incarnation == incarnation && grant.IsNewer(g.grant) {
		if grant.RollOut != g.grant.RollOut {
			g.used, g.settled = 0, 0
		}
		g.grant = grant
	}
}

// Take reports whether a caller's request goes to the candidate and counts it; draw is uniform in [0, 1).
// A request that was taken is settled by exactly one call of Settle.
func (g *Gate) Take(draw float64) bool { return !g.grant.Copies && g.take(draw) }

// TakeCopy reports whether a copy of a repeatable request that the control has answered goes to the candidate, as Take.
func (g *Gate) TakeCopy(draw float64) bool { return g.grant.Copies && g.take(draw) }

func (g *Gate) take(draw float64) bool {
	if g.used >= g.grant.Cap || draw >= g.grant.Share {
		return false
	}
	g.used++
	return true
}

// CountPinned counts a request that goes to the candidate whatever the gate says, one of a session that is pinned to it, so that
// fewer others may. It is settled by exactly one call of Settle.
func (g *Gate) CountPinned() { g.used++ }

// Complete tells that the result of a taken request is known in full.
func (g *Gate) Complete() { g.settled = min(g.settled+1, g.used) }

// Grant returns the newest grant.
func (g *Gate) Grant() Grant { return g.grant }

// Close stops the candidate at this node until a holder with a higher fencing number, or a newer grant, opens it.
func (g *Gate) Close() { g.grant.Cap = 0 }

// Use returns what the gate has counted.
func (g *Gate) Use(node api.NodeID, incarnation api.Incarnation) Use {
	return Use{RollOut: g.grant.RollOut, Node: node, Incarnation: incarnation, Used: g.used, Settled: g.settled}
}

// SplitOptions is what grants are made from.
type SplitOptions struct {
	Plan    Plan
	Fencing int64
	Seq     uint64
	Exposure
	// Ended tells that the roll-out is over.
	Ended bool
	// Uses holds the newest use of each node heard from within a few seconds.
	Uses []Use
}

// Split divides the window evenly between the nodes. Each node's cap is what it has settled plus its part, so that a
// node that the holder does not hear of, or that does not hear the holder, hands out its part and no more. Where the
// window is smaller than the number of nodes, the first ones by name get a part of 1.
func Split(opts SplitOptions) []Grant {
	uses := slices.SortedFunc(slices.Values(opts.Uses), func(a, b Use) int { return cmp.Compare(a.Node, b.Node) })
	grants := make([]Grant, 0, len(uses))
	for i, use := range uses {
		part := opts.Window / len(uses)
		if i < opts.Window%len(uses) {
			part++
		}
		grants = append(grants, Grant{
			RollOut: opts.Plan.ID, Service: opts.Plan.Service, Version: opts.Plan.Version, Control: opts.Plan.Control,
			Node: use.Node, Incarnation: use.Incarnation, Fencing: opts.Fencing, Seq: opts.Seq,
			Threshold: opts.Plan.Threshold(), Share: opts.Share, Copies: opts.CopiesOnly,
			Cap: use.Settled + uint64(part), Ended: opts.Ended,
		})
	}
	return grants
}
