package node

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// MaxInFlight implements admission.Capacity. It returns how many requests this node may have in flight on the servers of its
// subset. The minimum is one, since servers without a load report may be idle.
func (n *Node) MaxInFlight(service api.Service) int {
	slots, own, others := n.serverChooser.Occupancy(service, time.Now())
	maxInFlight := limit.MaxInFlight(limit.MaxInFlightInput{Slots: slots, Own: own, Others: others, Nodes: n.serverChooser.NodeCount()})
	return max(maxInFlight, 1)
}
