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
	// maxAddresses bounds the node addresses in an answer to a caller.
	maxAddresses = 8
	// minWeight is the weight of a fully loaded node, so that callers still send it some requests.
	minWeight = 0.05
	// maxMemberAge is the longest time since a member was last heard from at which callers still get its address.
	maxMemberAge = 10 * time.Second
	// peerFreshnessInterval is how often the guard gets the age of the peers' reports.
	peerFreshnessInterval = 500 * time.Millisecond
)

// AddressesFor implements caller.Addresses.
func (n *Node) AddressesFor(domain api.FailureDomain) api.Addresses {
	if domain == "" {
		domain = api.FailureDomain(n.opts.Settings.Node.FailureDomain)
	}
	now := time.Now()
	var usable []peer.Member
	for _, member := range n.cluster.exchange.Members() {
		if !member.Draining && (member.Node == n.opts.Settings.Node.NodeID() || now.Sub(member.LastHeard) < maxMemberAge) {
			usable = append(usable, member)
		}
	}
	slices.SortStableFunc(usable, func(a, b peer.Member) int {
		return cmp.Or(cmp.Compare(domainDistance(a, domain), domainDistance(b, domain)), cmp.Compare(a.Load, b.Load))
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

// domainDistance orders members by the distance of their failure domain from a caller's.
func domainDistance(member peer.Member, domain api.FailureDomain) int {
	if member.FailureDomain == domain {
		return 0
	}
	return 1
}

// FindURL implements caller.Members. A node that is missing from the membership list may still be on the VM list; it checks the
// incarnation itself when it gets the request.
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

// liveNodes lists the nodes that share the duties. It is based on the VM list, which all nodes see alike. Nodes that drain are
// left out, and so are nodes of this failure domain that are missing from the membership list, which is complete for it.
func (n *Node) liveNodes() []api.NodeID {
	members := make(map[api.NodeID]peer.Member)
	for _, member := range n.cluster.exchange.Members() {
		members[member.Node] = member
	}
	own := n.opts.Settings.Node
	snapshot, _ := n.parts.vms.Snapshot()
	live := []api.NodeID{own.NodeID()}
	for _, entry := range snapshot.Nodes {
		member, isListed := members[entry.ID]
		inOwnDomain := entry.FailureDomain == api.FailureDomain(own.FailureDomain)
		if entry.ID == own.NodeID() || entry.Leaving || isListed && member.Draining || inOwnDomain && !isListed {
			continue
		}
		live = append(live, entry.ID)
	}
	return live
}

// nodeCount counts the nodes that may be running, including unreachable ones.
func (n *Node) nodeCount() int {
	snapshot, _ := n.parts.vms.Snapshot()
	return max(len(snapshot.Nodes), len(n.cluster.exchange.Members()), 1)
}

// reportPeerFreshness is a duty that passes the guard the time up to which the reports of all live peers have arrived.
func (n *Node) reportPeerFreshness(ctx context.Context) error {
	for sleep.For(ctx, peerFreshnessInterval) {
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
