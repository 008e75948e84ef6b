package tunnel

import (
	"slices"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// ownDomainHelpers and otherHelpers are the numbers of nodes, of the node's own failure domain and of others, through which a node opens connections.
	ownDomainHelpers = 2
	otherHelpers     = 4
	// helperAvoidance is how long a node that could not help is avoided.
	helperAvoidance = time.Second
)

// Helpers chooses the nodes through which a node opens connections. Each node has a few helpers of its own, chosen by rank, so that the helpers of many
// nodes spread over the fleet. It is safe for concurrent use.
type Helpers struct {
	self   api.NodeID
	domain api.FailureDomain
	// regions holds the regions of the failure domains.
	regions region.Map
	// nodes returns the list of nodes. The list is not modified; a change replaces it.
	nodes func() *[]nodelist.Node

	mu sync.Mutex
	// listed is the list for which chosen was made, and byID holds its nodes.
	listed *[]nodelist.Node
	chosen []nodelist.Node
	// chosenWithin holds the choices among the nodes of a restricted set of regions, by the set's key.
	chosenWithin map[string][]nodelist.Node
	byID         map[api.NodeID]string
	// round makes the choice another one when all chosen nodes are avoided, chosenAt is when it was made.
	round    int
	chosenAt time.Time
	// turn is the index in chosen at which the next search begins.
	turn         int
	avoidedUntil map[api.NodeID]time.Time
}

// NewHelpers returns the helpers of a node; regions may be nil if no request is restricted to some.
func NewHelpers(self api.NodeID, domain api.FailureDomain, regions region.Map, nodes func() *[]nodelist.Node) *Helpers {
	return &Helpers{self: self, domain: domain, regions: regions, nodes: nodes, avoidedUntil: make(map[api.NodeID]time.Time)}
}

// Next returns the next helper in a set of regions that isn't avoided and isn't among tried; ok is false if there is none.
func (h *Helpers) Next(tried []api.NodeID, within region.Set, now time.Time) (helper nodelist.Node, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(now)
	chosen := h.chosenIn(within)
	for i := range chosen {
		at := (h.turn + i) % len(chosen)
		if node := chosen[at]; !slices.Contains(tried, node.ID) && !h.isAvoided(node.ID, now) {
			h.turn = at + 1
			return node, true
		}
	}
	return nodelist.Node{}, false
}

// chosenIn returns the helpers in a set of regions; the caller holds h.mu.
func (h *Helpers) chosenIn(within region.Set) []nodelist.Node {
	if !within.IsRestricted() {
		return h.chosen
	}
	chosen, ok := h.chosenWithin[within.Key()]
	if !ok {
		nodes := slices.DeleteFunc(slices.Clone(*h.listed), func(node nodelist.Node) bool { return !within.Has(h.regions[node.FailureDomain]) })
		chosen = Choose(h.self, h.domain, nodes, h.round)
		h.chosenWithin[within.Key()] = chosen
	}
	return chosen
}

// Avoid records that a helper could not help.
func (h *Helpers) Avoid(id api.NodeID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoidedUntil[id] = now.Add(helperAvoidance)
}

// IsListed reports whether a node is on the list with the address through which a connection was opened.
func (h *Helpers) IsListed(node nodelist.Node) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(time.Now())
	return h.byID[node.ID] == node.Peers
}

func (h *Helpers) isAvoided(id api.NodeID, now time.Time) bool { return now.Before(h.avoidedUntil[id]) }

// update chooses helpers for a new list, and others when all of them are avoided; the caller holds h.mu.
func (h *Helpers) update(now time.Time) {
	listed := h.nodes()
	if listed != h.listed {
		h.listed, h.byID, h.round = listed, make(map[api.NodeID]string, len(*listed)), 0
		for _, node := range *listed {
			h.byID[node.ID] = node.Peers
		}
		clear(h.avoidedUntil)
	} else {
		isOver := !slices.ContainsFunc(h.chosen, func(node nodelist.Node) bool { return !h.isAvoided(node.ID, now) })
		if !isOver || len(h.chosen) < ownDomainHelpers+otherHelpers || now.Sub(h.chosenAt) < helperAvoidance {
			return
		}
		h.round++
	}
	h.chosen, h.chosenAt = Choose(h.self, h.domain, *listed, h.round), now
	h.chosenWithin = make(map[string][]nodelist.Node)
}

// Choose returns the helpers of a node, in an order in which those next to each other are of different failure domains where possible. Another round gives
// other helpers.
func Choose(self api.NodeID, domain api.FailureDomain, nodes []nodelist.Node, round int) []nodelist.Node {
	key := string(self) + "/" + string(rune('a'+round%26))
	var own, others, rest []nodelist.Node
	var domains []api.FailureDomain
	for _, node := range rendezvous.Rank(key, nodes, func(n nodelist.Node) string { return string(n.ID) }) {
		switch {
		case node.ID == self || node.Peers == "":
		case node.FailureDomain == domain:
			own = append(own, node)
		case slices.Contains(domains, node.FailureDomain):
			rest = append(rest, node)
		default:
			domains = append(domains, node.FailureDomain)
			others = append(others, node)
		}
	}
	own, others = own[:min(len(own), ownDomainHelpers)], append(others, rest...)
	others = others[:min(len(others), otherHelpers)]
	var chosen []nodelist.Node
	for i := range max(len(own), len(others)) {
		if i < len(others) {
			chosen = append(chosen, others[i])
		}
		if i < len(own) {
			chosen = append(chosen, own[i])
		}
	}
	return chosen
}
