package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Some versions of a server's software fail only while a server runs many requests. The load that Filled and HasFillRoom answer: a
// service at its usual load, spread over servers that are mostly idle, on which such a fault shows only after all requests were moved.

// FillTarget returns the index of the server that a node fills with requests, of servers in an order that all nodes share. Nodes fill
// the same one, or as many as it takes to give each node one request at least.
func FillTarget(slots []int, share float64, nodes int, node string) int {
	room := 0
	for i, n := range slots {
		room += fillBound(n, share)
		if room >= nodes {
			// The first i+1 servers take a request of every node.
			return int(xxhash.Sum64String(node) % uint64(i+1))
		}
	}
	return int(xxhash.Sum64String(node) % uint64(len(slots)))
}

// HasFillRoom reports whether a node may send one more request to the server that is filled.
func HasFillRoom(c Candidate, share float64, nodes int) bool {
	bound := fillBound(c.Slots, share)
	own := int(math.Ceil(fillUnevenness * float64(bound) / float64(nodes)))
	return c.View.InFlight < own && EstimateInFlight(c, reportedOthers(c)) < float64(bound)
}

// fillUnevenness is how much more than an even part a node may send to the server that is filled: some nodes get fewer requests.
const fillUnevenness = 2

// fillBound is how many requests fill a share of the slots, one at least.
func fillBound(slots int, share float64) int { return max(1, int(math.Ceil(share*float64(slots)))) }
