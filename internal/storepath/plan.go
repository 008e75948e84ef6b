package storepath

import (
	"cmp"
	"slices"

	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// nodesPerWatcher is the number of nodes of a failure domain per node that watches the store directly.
	nodesPerWatcher = 64
	// deputies is the number of nodes of a failure domain that take the place of a lost watcher.
	deputies = 2
	// maxRemotePeers is the number of watchers in other failure domains that a node tries: some may have lost the store as well.
	maxRemotePeers = 3
	// readerBandwidth is the part of a node's link, in bits per second, that it has for each node that reads through it.
	readerBandwidth = 300_000
	// maxReadersOfUnknown is the number of nodes that may read through one whose link is unknown.
	maxReadersOfUnknown = 1 << 20
	// maxRelayPaths is the number of relays that a node tries before the watchers.
	maxRelayPaths = 2
)

// Path is one way to the store: the store itself, or another node's copy of it.
type Path struct {
	// Via is the node whose copy is read; nil for the store itself.
	Via *nodelist.Node
	// IsBudgeted marks a call to the store by a node that should read it through others. Such calls draw on the fleet's budget.
	IsBudgeted bool
}

// Plan returns the paths in the order in which a node tries them. In each failure domain the nodes with the most capacity watch the store,
// and the other nodes read it through one of them. Where the watchers' links are too small for that, the next nodes by capacity relay what they
// have read through a watcher. When a watcher is lost, its readers move to the next nodes by capacity, and only these read the store instead.
func Plan(self api.NodeID, domain api.FailureDomain, nodes []nodelist.Node) []Path {
	domains := make(map[api.FailureDomain][]nodelist.Node)
	for _, node := range nodes {
		if node.Peers != "" {
			domains[node.FailureDomain] = append(domains[node.FailureDomain], node)
		}
	}
	own := ByCapacity(string(domain), domains[domain])
	watchers := own[:watcherCount(len(own))]
	rank := slices.IndexFunc(own, func(n nodelist.Node) bool { return n.ID == self })
	remote := remoteWatchers(self, domain, domains)
	switch {
	case len(own) == 0 || rank >= 0 && rank < len(watchers):
		return append([]Path{{}}, remote...)
	case rank >= 0 && rank < len(watchers)+deputies:
		return append(append(viaEach(byHash(self, watchers)), Path{}), remote...)
	}
	relays := own[len(watchers) : len(watchers)+relayCount(watchers, own[len(watchers):])]
	var paths []Path
	if rank < 0 || rank >= len(watchers)+len(relays) {
		paths = viaEach(byHash(self, relays)[:min(len(relays), maxRelayPaths)])
	}
	paths = append(paths, viaEach(byHash(self, watchers))...)
	for _, path := range viaEach(own[len(watchers):min(len(own), len(watchers)+deputies)]) {
		if !slices.ContainsFunc(paths, func(p Path) bool { return p.Via.ID == path.Via.ID }) {
			paths = append(paths, path)
		}
	}
	firstRemote := min(len(remote), 1)
	paths = append(paths, remote[:firstRemote]...)
	paths = append(paths, Path{IsBudgeted: true})
	return append(paths, remote[firstRemote:]...)
}

func watcherCount(nodes int) int { return min(nodes, 1+nodes/nodesPerWatcher) }

// relayCount returns how many of the other nodes of a failure domain, those with the most capacity first, read through the watchers and relay what they
// have read to the rest: none if the watchers' links suffice for all, else the fewest whose links do.
func relayCount(watchers, others []nodelist.Node) int {
	capacity := 0
	for _, node := range watchers {
		capacity += maxReaders(node)
	}
	if len(others) <= capacity {
		return 0
	}
	relayed := 0
	for i, node := range others[:min(len(others), capacity)] {
		if relayed += maxReaders(node); relayed >= len(others)-i-1 {
			return i + 1
		}
	}
	return min(len(others), capacity)
}

// maxReaders returns the number of nodes that may read through a node.
func maxReaders(node nodelist.Node) int {
	if node.Bandwidth <= 0 {
		return maxReadersOfUnknown
	}
	return max(1, int(node.Bandwidth/readerBandwidth))
}

// ByCapacity returns the nodes in a new slice, those with the most capacity first and equal ones by rank for a key.
func ByCapacity(key string, nodes []nodelist.Node) []nodelist.Node {
	ranked := rendezvous.Rank(key, nodes, func(n nodelist.Node) string { return string(n.ID) })
	slices.SortStableFunc(ranked, func(a, b nodelist.Node) int {
		return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(b.Bandwidth, a.Bandwidth))
	})
	return ranked
}

// byHash returns the nodes in an order that distributes the nodes of a domain over its watchers.
func byHash(self api.NodeID, nodes []nodelist.Node) []nodelist.Node {
	return rendezvous.Rank(string(self), nodes, func(n nodelist.Node) string { return string(n.ID) })
}

// remoteWatchers returns the paths through some watchers of other failure domains.
func remoteWatchers(self api.NodeID, domain api.FailureDomain, domains map[api.FailureDomain][]nodelist.Node) []Path {
	var watchers []nodelist.Node
	for other, nodes := range domains {
		if other != domain {
			watchers = append(watchers, ByCapacity(string(other), nodes)[:watcherCount(len(nodes))]...)
		}
	}
	ranked := byHash(self, watchers)
	return viaEach(ranked[:min(len(ranked), maxRemotePeers)])
}

func viaEach(nodes []nodelist.Node) []Path {
	paths := make([]Path, len(nodes))
	for i := range nodes {
		paths[i].Via = &nodes[i]
	}
	return paths
}
