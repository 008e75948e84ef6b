package node

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// MaxInFlight implements admission.Capacity: how many requests this node may have on the subset's servers, at least one,
// since servers of which nothing is known yet may be idle.
func (n *Node) MaxInFlight(service api.Service) int {
	slots, own, others := n.choice.Occupancy(service, time.Now())
	room := limit.MaxInFlight(limit.MaxInFlightInput{Slots: slots, Own: own, Others: others, Nodes: n.choice.NodeCount()})
	return max(room, 1)
}
