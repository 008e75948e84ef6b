package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/platform"
)

const (
	// maxListedAddresses bounds the addresses in one address response: callers use no more.
	maxListedAddresses = 64
	// addressTTL is how long callers may use the addresses: short compared with the grace period of a shutdown, since callers keep sending
	// requests to a stopping node until the TTL has expired.
	addressTTL = 2 * time.Second
	// maxCachedPlaces bounds the places of callers for which addresses are kept; callers name theirs themselves.
	maxCachedPlaces = 64
)

// callerPlace is what the addresses for a caller depend on.
type callerPlace struct {
	domain api.FailureDomain
	// region and allowed, the key of a set of regions, are only set for hosts with routes that are restricted to some.
	region  api.Region
	allowed string
}

// addressCache keeps the addresses for the callers of each place until the list of nodes or the node's own readiness changes.
type addressCache struct {
	mu      sync.Mutex
	nodes   *[]nodelist.Node
	isReady bool
	byPlace map[callerPlace][]string
}

// get returns the addresses for a place, found by choose unless they are known.
func (c *addressCache) get(place callerPlace, nodes *[]nodelist.Node, isReady bool, choose func() []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes != nodes || c.isReady != isReady || len(c.byPlace) >= maxCachedPlaces {
		c.nodes, c.isReady, c.byPlace = nodes, isReady, make(map[callerPlace][]string)
	}
	callers, ok := c.byPlace[place]
	if !ok {
		callers = choose()
		c.byPlace[place] = callers
	}
	return callers
}

// addressesFor returns the addresses of the nodes that a caller may use.
func (n *Node) addressesFor(query platform.AddressQuery) platform.Addresses {
	nodes, isReady := n.nodes.Load(), n.isReady()
	place, allowed := callerPlace{domain: query.FailureDomain}, region.Set{}
	if table := n.activeConfig.Current(); table != nil {
		allowed = table.HostRegions(query.Host)
	}
	if allowed.IsRestricted() {
		place.region, place.allowed = query.Region, allowed.Key()
		if place.region == "" {
			place.region = n.opts.Settings.Regions[query.FailureDomain]
		}
	}
	callers := n.addresses.get(place, nodes, isReady, func() []string {
		listed := slices.DeleteFunc(slices.Clone(*nodes), func(node nodelist.Node) bool {
			return node.ID == n.opts.Settings.Node && !isReady
		})
		listed = n.nodesWithin(allowed, place.region, listed)
		var callers []string
		for _, node := range nodelist.ForCaller(query.FailureDomain, listed, maxListedAddresses) {
			callers = append(callers, node.Callers)
		}
		if len(callers) == 0 && isReady {
			callers = append(callers, n.opts.Settings.Listen.Callers)
		}
		slices.Sort(callers)
		return callers
	})
	return platform.Addresses{Callers: callers, TTL: addressTTL}
}

// nodesWithin returns the nodes of the caller's region and of the regions that are allowed to its requests; all nodes if there is none of them, since a
// request that goes through another region is better than none.
func (n *Node) nodesWithin(allowed region.Set, callers api.Region, nodes []nodelist.Node) []nodelist.Node {
	if !allowed.IsRestricted() {
		return nodes
	}
	within := slices.DeleteFunc(slices.Clone(nodes), func(node nodelist.Node) bool {
		at := n.opts.Settings.Regions[node.FailureDomain]
		return !allowed.Has(at) && (at != callers || callers == "")
	})
	if len(within) == 0 {
		return nodes
	}
	return within
}
