package capacity_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
)

const (
	// restartGap is the time between two restarts, and restartsMeasured how many there are.
	restartGap       = 10 * time.Second
	restartsMeasured = 12
	// meeting is how long all nodes of a failure domain take to have talked with each other.
	meeting = 3 * time.Minute
)

// restartCost is what the restart of a node adds to all nodes together.
type restartCost struct{ bytes, reads float64 }

// measureRestarts stops one node after the other gracefully, starts each anew, and takes off what an idle time as long costs.
func measureRestarts(t *testing.T, nodes int) restartCost {
	var cost restartCost
	synctest.Test(t, func(t *testing.T) {
		system, network := startSystem(t, systemOptions{nodes: nodes, domains: 1, services: 1, engines: 2})
		defer system.Close()
		time.Sleep(meeting)
		count := func(during func()) restartCost {
			bytes, calls := network.counts()[portPeer], system.KV.Counts()
			during()
			return restartCost{bytes: float64(network.counts()[portPeer] - bytes), reads: float64(system.KV.Counts().Reads - calls.Reads)}
		}
		number := min(restartsMeasured, nodes-1)
		still := count(func() { time.Sleep(time.Duration(number+1) * restartGap) })
		restarting := count(func() {
			began := time.Now()
			for i := range number {
				system.DrainNode(i)
				qt.Assert(t, system.StartNode(t.Context(), i), qt.IsNil)
				time.Sleep(time.Until(began.Add(time.Duration(i+1) * restartGap)))
			}
			// The last ones meet the others.
			time.Sleep(restartGap)
		})
		cost.bytes = (restarting.bytes - still.bytes) / float64(number)
		cost.reads = (restarting.reads - still.reads) / float64(number)
	})
	return cost
}

// TestMeasureRestarts varies the nodes of the failure domain in which nodes are restarted.
func TestMeasureRestarts(t *testing.T) {
	nodes := sizes(4, 8, 16, 32, 59)
	all := make([]restartCost, len(nodes))
	for i, n := range nodes {
		all[i] = measureRestarts(t, n)
	}
	const (
		over      = "nodes of one failure domain"
		mechanism = "first talk of two nodes, new record of the node to all (internal/peer), first reads of a node (internal/kv)"
	)
	finish(t, "restarts", "TestMeasureRestarts", []capacity.Series{
		series(capacity.Series{Quantity: "exchange of all nodes for a restart", Unit: "B", Over: over, Target: capacity.NodesPerDomain, Mechanism: mechanism},
			nodes, func(i int) float64 { return all[i].bytes }),
		series(capacity.Series{
			Quantity: "exchange of a node for 1,560 restarts a day in the fleet", Unit: "B/s", Over: over, Target: capacity.NodesPerDomain,
			Times: capacity.RestartsPerSecond / capacity.Nodes, Budget: capacity.ControlBytes, Mechanism: mechanism,
		}, nodes, func(i int) float64 { return all[i].bytes }),
		series(capacity.Series{
			Quantity: "reads at the service for 1,560 restarts a day", Unit: "1/s", Over: over, Target: capacity.NodesPerDomain,
			Times: capacity.RestartsPerSecond, Budget: capacity.ServiceReads, Mechanism: mechanism,
		}, nodes, func(i int) float64 { return all[i].reads }),
	})
}
