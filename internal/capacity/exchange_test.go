package capacity_test

import (
	"testing"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
)

// TestMeasureExchange runs whole nodes without callers: over the nodes of one failure domain, and over failure domains of
// four nodes each.
func TestMeasureExchange(t *testing.T) {
	nodes, domains := sizes(4, 8, 16, 32, 59), sizes(1, 2, 5, 10)
	overNodes, overDomains := make([]idle, len(nodes)), make([]idle, len(domains))
	for i, n := range nodes {
		overNodes[i] = measureIdle(t, systemOptions{nodes: n, domains: 1, services: 1, engines: 2})
	}
	for i, d := range domains {
		overDomains[i] = measureIdle(t, systemOptions{nodes: 4 * d, domains: d, services: 1, engines: 2})
	}
	const (
		perDomain = "nodes of one failure domain"
		overFleet = "failure domains of 4 nodes"
		gossip    = "one random peer a second, deltas since the last acknowledged (internal/peer)"
	)
	bytes := capacity.Series{Quantity: "exchange of an idle node", Unit: "B/s", Budget: capacity.ControlBytes, Mechanism: gossip}
	core := capacity.Series{
		Quantity: "all duties of an idle node, with its share of the stand-ins", Unit: "of a core", Budget: capacity.ControlCore,
		Mechanism: "duties under one tree (internal/node, internal/supervisor)",
	}
	memory := capacity.Series{
		Quantity: "heap of an idle node, with its share of the stand-ins", Unit: "MB", Budget: capacity.ControlMemory / 1e6,
		Mechanism: "members of the own failure domain, 4 contacts of each other (internal/peer)",
	}
	over := func(s capacity.Series, dimension string, target float64) capacity.Series {
		s.Over, s.Target = dimension, target
		return s
	}
	finish(t, "peer-exchange", "TestMeasureExchange", []capacity.Series{
		series(over(bytes, perDomain, capacity.NodesPerDomain), nodes, func(i int) float64 { return overNodes[i].bytes[portPeer] }),
		series(over(bytes, overFleet, capacity.FailureDomains), domains, func(i int) float64 { return overDomains[i].bytes[portPeer] }),
		series(over(core, perDomain, capacity.NodesPerDomain), nodes, func(i int) float64 { return overNodes[i].core }),
		series(over(core, overFleet, capacity.FailureDomains), domains, func(i int) float64 { return overDomains[i].core }),
		series(over(memory, perDomain, capacity.NodesPerDomain), nodes, func(i int) float64 { return overNodes[i].heap / 1e6 }),
		series(over(memory, overFleet, capacity.FailureDomains), domains, func(i int) float64 { return overDomains[i].heap / 1e6 }),
	})
	reads := capacity.Series{Quantity: "reads of an idle fleet at the service", Unit: "1/s", Budget: capacity.ServiceReads, Mechanism: "two watchers a failure domain (internal/follower), three candidates a lease (internal/lease)"}
	watches := capacity.Series{Quantity: "watches open", Budget: capacity.ServiceReads, Mechanism: "two watchers a failure domain by rendezvous hashing (internal/follower)"}
	changes := capacity.Series{Quantity: "watches begun", Unit: "1/s", Budget: capacity.ServiceReads, Mechanism: "a new connection every 5 s (internal/kv)"}
	finish(t, "watchers", "TestMeasureExchange", []capacity.Series{
		series(over(reads, perDomain, capacity.NodesPerDomain), nodes, func(i int) float64 { return overNodes[i].reads }),
		series(over(reads, overFleet, capacity.FailureDomains), domains, func(i int) float64 { return overDomains[i].reads }),
		series(over(watches, perDomain, capacity.NodesPerDomain), nodes, func(i int) float64 { return overNodes[i].openWatches }),
		series(over(watches, overFleet, capacity.FailureDomains), domains, func(i int) float64 { return overDomains[i].openWatches }),
		series(over(changes, overFleet, capacity.FailureDomains), domains, func(i int) float64 { return overDomains[i].watches }),
	})
}
