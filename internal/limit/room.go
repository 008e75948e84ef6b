package limit

import "math"

// MaxInFlightInput describes the load of all servers of a pool as one node sees it.
type MaxInFlightInput struct {
	// Slots is the number of requests that the servers process concurrently.
	Slots float64
	// Own is the number of this node's in-flight requests on the servers, Others an estimate of those of other nodes.
	Own, Others float64
	// Nodes is the number of nodes that dispatch to the servers, at least 1.
	Nodes int
}

// overcommit is the number of in-flight requests per slot that keeps a server busy until nodes detect a free slot.
const overcommit = 1.55

// MaxInFlight returns the number of in-flight requests that a node may have on the servers, including its current ones. Each node
// takes only an equal part of the free slots, since all nodes see the same ones and would otherwise fill them all at once. The result
// is never below an equal part of all slots.
func MaxInFlight(in MaxInFlightInput) int {
	nodes := float64(max(in.Nodes, 1))
	slots := in.Slots * overcommit
	free := max(slots-in.Own-in.Others, 0)
	return int(max(slots/nodes, in.Own+math.Floor(free/nodes)))
}
