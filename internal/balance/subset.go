package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// SubsetOptions describes the fleet of which a node takes a subset.
type SubsetOptions struct {
	// Node is the node whose subset is wanted; Nodes holds it too.
	Node  api.NodeID
	Nodes []api.NodeID
	// Servers are those of one pool: servers that can do the same work.
	Servers []api.ServerID
	// Size is the mean size of a subset, so far below MaxSubset that no node's goes over it; 0 means DefaultSubset.
	Size int
}

// Subset returns the servers of a node, ordered by id, at most MaxSubset.
//
// Each server picks the same number of nodes by rendezvous hashing, so that every server is covered equally.
// A server that comes or goes changes the subsets of the nodes that it picks, by that one server; a node that goes
// hands each of its servers to one other node.
func Subset(opts SubsetOptions) []api.ServerID {
	nodes := hashAll(opts.Nodes)
	cover := coverage(opts)
	own := xxhash.Sum64String(string(opts.Node))
	var subset []ranked
	for _, server := range opts.Servers {
		salt := xxhash.Sum64String(string(server))
		mine := mix(own ^ salt)
		if isAmong(nodes, salt, mine, cover) {
			subset = append(subset, ranked{server, mine})
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

// coverage is the number of nodes that have each server in their subsets.
func coverage(opts SubsetOptions) int {
	size := cmp.Or(opts.Size, DefaultSubsetSize)
	if len(opts.Servers) <= MaxSubsetSize {
		return len(opts.Nodes)
	}
	return min(max((len(opts.Nodes)*size)/len(opts.Servers), minCoverage), len(opts.Nodes))
}

// minCoverage keeps a server in use when a node is gone.
const minCoverage = 2

// isAmong reports whether fewer than cover nodes rank before the score.
func isAmong(nodes []uint64, salt, score uint64, cover int) bool {
	before := 0
	for _, node := range nodes {
		if mix(node^salt) > score {
			before++
			if before >= cover {
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
