package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// SubsetOptions describes the nodes and servers from which the subset of a node is computed.
type SubsetOptions struct {
	// Node is the node whose subset is computed; it is also in Nodes.
	Node  api.NodeID
	Nodes []api.NodeID
	// Servers are the servers of one pool, that is servers that can do the same work.
	Servers []api.ServerID
	// Size is the mean size of a subset; 0 means DefaultSubsetSize. It must be far enough below MaxSubsetSize that no node's
	// subset exceeds MaxSubsetSize.
	Size int
}

// Subset returns the subset of a node, ordered by ID, at most MaxSubsetSize servers.
//
// Each server picks the same number of nodes by rendezvous hashing, so that every server is covered equally.
// Adding or removing a server changes only the subsets of the nodes that it picks, by that one server. When a node is
// removed, each of its servers is added to the subset of one other node.
func Subset(opts SubsetOptions) []api.ServerID {
	nodes := hashAll(opts.Nodes)
	coverCount := coverage(opts)
	nodeHash := xxhash.Sum64String(string(opts.Node))
	var subset []ranked
	for _, server := range opts.Servers {
		salt := xxhash.Sum64String(string(server))
		score := mix(nodeHash ^ salt)
		if isInTop(nodes, salt, score, coverCount) {
			subset = append(subset, ranked{server, score})
		}
	}
	if len(subset) > MaxSubsetSize {
		slices.SortFunc(subset, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
		subset = subset[:MaxSubsetSize]
	}
	ids := make([]api.ServerID, len(subset))
	for i := range subset {
		ids[i] = subset[i].server
	}
	slices.Sort(ids)
	return ids
}

// DefaultSubsetSize is the mean size of a subset of a large pool.
const DefaultSubsetSize = 40

type ranked struct {
	server api.ServerID
	score  uint64
}

// coverage returns the number of nodes that have a given server in their subset; it is the same for all servers.
func coverage(opts SubsetOptions) int {
	size := cmp.Or(opts.Size, DefaultSubsetSize)
	if len(opts.Servers) <= MaxSubsetSize {
		return len(opts.Nodes)
	}
	return min(max((len(opts.Nodes)*size)/len(opts.Servers), minCoverage), len(opts.Nodes))
}

// minCoverage is the least number of nodes per server, so that each server stays in use when a node fails.
const minCoverage = 2

// isInTop reports whether fewer than limit nodes have a higher score for the server with the given hash.
func isInTop(nodes []uint64, salt, score uint64, limit int) bool {
	before := 0
	for _, node := range nodes {
		if mix(node^salt) > score {
			before++
			if before >= limit {
				return false
			}
		}
	}
	return true
}

func hashAll(nodes []api.NodeID) []uint64 {
	hashes := make([]uint64, len(nodes))
	for i, node := range nodes {
		hashes[i] = xxhash.Sum64String(string(node))
	}
	return hashes
}
