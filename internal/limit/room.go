package limit

import "math"

// MaxInFlightInput is what a node knows about the servers of a pool together.
type MaxInFlightInput struct {
	// Slots is the number of requests that the servers work on at a time.
	Slots float64
	// Own counts this node's unfinished requests on them, Others estimates those of other nodes.
	Own, Others float64
	// Nodes is the number of nodes that use the servers, at least 1.
	Nodes int
}

// overcommit is how many requests for each slot keep a server busy while the news of a free slot is on its way.
const overcommit = 1.55

// MaxInFlight returns how many requests a node may have on the servers, those that it has counted. MaxInFlight that all nodes see is
// taken in equal parts, so that they don't all fill it at once; a node below its equal part of the slots always may.
func MaxInFlight(in MaxInFlightInput) int {
	nodes := float64(max(in.Nodes, 1))
	slots := in.Slots * overcommit
	free := max(slots-in.Own-in.Others, 0)
	return int(max(slots/nodes, in.Own+math.Floor(free/nodes)))
}
