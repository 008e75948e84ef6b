package node

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxAddresses bounds the nodes that a caller is told.
	maxAddresses = 8
	// minWeight keeps a full node from being told with no weight at all.
	minWeight = 0.05
	// liveWithin is how long ago a member must have been heard of to be told to callers.
	liveWithin = 10 * time.Second
	// hearInterval is how often the guard is told how old the peers' news are.
	hearInterval = 500 * time.Millisecond
)

// AddressesFor implements caller.Addresses.
func (n *Node) AddressesFor(domain api.FailureDomain) api.Addresses {
	if domain == "" {
		domain = api.FailureDomain(n.opts.Settings.Node.FailureDomain)
	}
	now := time.Now()
	var usable []peer.Member
	for _, member := range n.cluster.exchange.Members() {
		if !member.Draining && (member.Node == n.opts.Settings.Node.NodeID() || now.Sub(member.LastHeard) < liveWithin) {
			usable = append(usable, member)
		}
	}
	slices.SortStableFunc(usable, func(a, b peer.Member) int {
		return cmp.Or(cmp.Compare(farness(a, domain), farness(b, domain)), cmp.Compare(a.Load, b.Load))
	})
	answer := api.Addresses{KeepSeconds: int(n.opts.Settings.Node.AddressKeep / time.Second)}
	for _, member := range usable[:min(len(usable), maxAddresses)] {
		answer.Addresses = append(answer.Addresses, api.Address{
			Node: member.Node, URL: "http://" + member.Address, FailureDomain: member.FailureDomain,
			Weight: math.Max(1-member.Load, minWeight),
		})
	}
	return answer
}

// farness orders failure domains by their distance from a caller's.
func farness(member peer.Member, domain api.FailureDomain) int {
	if member.FailureDomain == domain {
		return 0
	}
	return 1
}

// FindURL implements caller.Members. A member that is not heard of here may still be on the VM list; the node found
// there checks the incarnation itself.
func (n *Node) FindURL(node api.NodeID, incarnation api.Incarnation) (string, bool) {
	for _, member := range n.cluster.exchange.Members() {
		if member.Node == node {
			return "http://" + member.Address, member.Incarnation == incarnation
		}
	}
	snapshot, _ := n.parts.vms.Snapshot()
	for _, entry := range snapshot.Nodes {
		if entry.ID == node {
			return "http://" + entry.Address, true
		}
	}
	return "", false
}

// liveNodes lists the nodes among which duties are spread. All nodes see the same list, that of the VMs; of the own failure
// domain, whose members are all known, those that are not heard of or drain are left out.
func (n *Node) liveNodes() []api.NodeID {
	members := make(map[api.NodeID]peer.Member)
	for _, member := range n.cluster.exchange.Members() {
		members[member.Node] = member
	}
	own := n.opts.Settings.Node
	snapshot, _ := n.parts.vms.Snapshot()
	live := []api.NodeID{own.NodeID()}
	for _, entry := range snapshot.Nodes {
		member, heard := members[entry.ID]
		isNear := entry.FailureDomain == api.FailureDomain(own.FailureDomain)
		if entry.ID == own.NodeID() || entry.Leaving || heard && member.Draining || isNear && !heard {
			continue
		}
		live = append(live, entry.ID)
	}
	return live
}

// nodeCount counts the nodes that may be running, those that can't be reached too.
func (n *Node) nodeCount() int {
	snapshot, _ := n.parts.vms.Snapshot()
	return max(len(snapshot.Nodes), len(n.cluster.exchange.Members()), 1)
}

// hear is a duty: it tells the guard since when the news of all live peers are known.
func (n *Node) hear(ctx context.Context) error {
	for sleep.For(ctx, hearInterval) {
		now := time.Now()
		asOf := now
		for _, member := range n.cluster.exchange.Members() {
			if member.Node != n.opts.Settings.Node.NodeID() && member.LastHeard.Before(asOf) {
				asOf = member.LastHeard
			}
		}
		n.guard.RecordPeerReports(asOf)
	}
	return ctx.Err()
}
