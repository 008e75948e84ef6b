package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Some versions of a server's software fail only while a server runs many requests. At a service's usual load, with requests spread over
// mostly idle servers, such a fault would show only after all requests were moved to the version. FillTarget and HasFillRoom therefore
// concentrate the requests of a candidate version on a few servers.

// FillTarget returns the index of the server that a node fills with requests. slots lists the servers' slots in an order that all nodes
// share, share is the fraction of the slots to fill, and nodes is the number of nodes. All nodes fill the first server, or the first few
// if one can't take at least one request of each node.
func FillTarget(slots []int, share float64, nodes int, node string) int {
	capacity := 0
	for i, n := range slots {
		capacity += fillLimit(n, share)
		if capacity >= nodes {
			// The first i+1 servers can together take one request of every node.
			return int(xxhash.Sum64String(node) % uint64(i+1))
		}
	}
	return int(xxhash.Sum64String(node) % uint64(len(slots)))
}

// HasFillRoom reports whether a node may send one more request to its fill target.
func HasFillRoom(c Candidate, share float64, nodes int) bool {
	limit := fillLimit(c.Slots, share)
	ownLimit := int(math.Ceil(fillImbalance * float64(limit) / float64(nodes)))
	return c.View.InFlight < ownLimit && EstimateInFlight(c, reportedPeerInFlight(&c)) < float64(limit)
}

// fillImbalance is the multiple of an even share that a node may send to its fill target, since other nodes may get fewer requests.
const fillImbalance = 2

// fillLimit returns the number of requests that fill the given share of the slots, at least 1.
func fillLimit(slots int, share float64) int { return max(1, int(math.Ceil(share*float64(slots)))) }
