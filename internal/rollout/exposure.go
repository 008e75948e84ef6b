package rollout

import (
	"cmp"
	"slices"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Grant is a node's part of the exposure budget. It is absolute and idempotent, so that it may be lost, repeated and reordered.
type Grant struct {
	RollOut ID
	Service api.Service
	// Version is the candidate, Control the version that it is compared with.
	Version api.VersionID
	Control api.VersionID
	Node    api.NodeID
	// Incarnation is the incarnation of the node that the grant is for; other incarnations ignore it.
	Incarnation api.Incarnation
	// Fencing is the fencing number of the lease holder that issued the grant, Seq the holder's count of grants.
	Fencing int64
	Seq     uint64
	// Threshold is the evidence in nats at which a node stops the candidate on its own.
	Threshold float64
	// Share is the part of the new requests that the candidate receives.
	Share float64
	// Copies is set if callers' requests must not go to the candidate, only copies of requests that the control has
	// answered; the candidate's answers to copies are rated and dropped.
	Copies bool
	// Cap is how many requests and copies in all the node may send to the candidate during this roll-out and incarnation.
	Cap uint64
	// Ended is set if the roll-out has ended, so that its evidence no longer counts.
	Ended bool
}

// IsNewer reports whether g is newer than other and replaces it.
func (g Grant) IsNewer(other Grant) bool {
	return cmp.Or(cmp.Compare(g.Fencing, other.Fencing), cmp.Compare(g.Seq, other.Seq)) > 0
}

// Use counts the requests that a node has used of its grants for a roll-out. Both counts only grow during one incarnation.
type Use struct {
	RollOut     ID
	Node        api.NodeID
	Incarnation api.Incarnation
	// Used counts the requests and copies sent to the candidate.
	Used uint64
	// Settled counts those of Used whose result is in the node's tally, rated or past the time for ratings.
	Settled uint64
}

// Gate decides on one node which requests go to the candidate, within the newest grant. The zero value admits none.
// It is not safe for concurrent use.
type Gate struct {
	grant     Grant
	used      uint64
	completed uint64
}

// SetGrant replaces the grant; older grants and those for other nodes or incarnations are ignored.
func (g *Gate) SetGrant(grant Grant, node api.NodeID, incarnation api.Incarnation) {
	if grant.Node == node && grant.Incarnation == incarnation && grant.IsNewer(g.grant) {
		if grant.RollOut != g.grant.RollOut {
			g.used, g.completed = 0, 0
		}
		g.grant = grant
	}
}

// ReserveExposure reports whether a caller's request goes to the candidate, and counts it if so; draw is uniform in [0, 1).
// For each counted request, Complete must be called exactly once.
func (g *Gate) ReserveExposure(draw float64) bool { return !g.grant.Copies && g.reserve(draw) }

// ReserveCopy is ReserveExposure for a copy of a repeatable request that the control has answered.
func (g *Gate) ReserveCopy(draw float64) bool { return g.grant.Copies && g.reserve(draw) }

func (g *Gate) reserve(draw float64) bool {
	if g.used >= g.grant.Cap || draw >= g.grant.Share {
		return false
	}
	g.used++
	return true
}

// CountPinned counts a request of a session that is pinned to the candidate. The gate can't reject it, but it reduces the
// part of the grant that is left for other requests. For each call, Complete must be called exactly once.
func (g *Gate) CountPinned() { g.used++ }

// Complete records that the full result of a counted request is in the node's tally.
func (g *Gate) Complete() { g.completed = min(g.completed+1, g.used) }

// Grant returns the newest grant.
func (g *Gate) Grant() Grant { return g.grant }

// Close stops the candidate on this node until a newer grant arrives.
func (g *Gate) Close() { g.grant.Cap = 0 }

// Use returns the gate's counts, labelled with the node and its incarnation.
func (g *Gate) Use(node api.NodeID, incarnation api.Incarnation) Use {
	return Use{RollOut: g.grant.RollOut, Node: node, Incarnation: incarnation, Used: g.used, Settled: g.completed}
}

// SplitOptions configures Split.
type SplitOptions struct {
	Plan    Plan
	Fencing int64
	Seq     uint64
	Exposure
	// Ended is set if the roll-out has ended.
	Ended bool
	// Uses holds the newest use of each node that has reported within the last seconds.
	Uses []Use
}

// Split divides the window evenly between the nodes and returns a grant for each. A node's cap is its completed requests plus its part,
// so that a node that is cut off from the lease holder uses up its part and no more. If the window is smaller than the number of nodes,
// the first ones by name get a part of 1 and the others 0.
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
