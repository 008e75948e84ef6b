package capacity_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
)

// operate has changes accepted at a rate, one node after the other, for the length of a measurement. It returns the
// longest time until one was in force on all nodes, in seconds.
func operate(t *testing.T, system *dev.System, perDay int) float64 {
	worst := 0.0
	end := time.Now().Add(lasting())
	for i := 0; time.Now().Before(end); i++ {
		began := time.Now()
		node := system.Node(i % system.NodeCount())
		change := exceptionChange(i % 10)
		change.Base = node.Configs().Revision()
		revision, err := node.Acceptor().Accept(t.Context(), change)
		qt.Assert(t, err, qt.IsNil)
		for j := range system.NodeCount() {
			for system.Node(j).Configs().Revision() < revision {
				time.Sleep(5 * time.Millisecond)
			}
		}
		worst = max(worst, time.Since(began).Seconds())
		time.Sleep(time.Until(began.Add(24 * time.Hour / time.Duration(perDay))))
	}
	return worst
}

// exceptionChange is a change of one exception.
func exceptionChange(number int) fleet.Change {
	id := fmt.Sprint("exception-", number)
	value, err := json.Marshal(fleet.Exception{
		ID: id, Scope: fleet.Scope{Team: "any", Class: "any"}, Set: fleet.PolicyPatch{Hedge: new(bool)},
		Reason: "drafts are made overnight", Author: "a.operator",
	})
	if err != nil {
		panic(err)
	}
	return fleet.Change{
		ID: fleet.NewChangeID(), Rebase: true, Author: "a.operator", Reason: "drafts are made overnight", Time: time.Now(),
		Ops: []fleet.Op{{EntityID: fleet.EntityID{Kind: fleet.KindException, Name: id}, Value: value}},
	}
}

// TestMeasureRelay has changes accepted while whole nodes run without callers.
func TestMeasureRelay(t *testing.T) {
	const nodesOfDomain = 10
	nodes, rates, domains := sizes(4, 8, 16, 32, 59), sizes(5_000, 10_000, 20_000, 40_000), sizes(1, 2, 5, 10)
	overNodes, overRates, overDomains := make([]idle, len(nodes)), make([]idle, len(rates)), make([]idle, len(domains))
	for i, n := range nodes {
		overNodes[i] = measureIdle(t, systemOptions{nodes: n, domains: 1, services: 1, engines: 2, changes: capacity.ChangesPerDay})
	}
	for i, rate := range rates {
		overRates[i] = measureIdle(t, systemOptions{nodes: 16, domains: 4, services: 1, engines: 2, changes: rate})
	}
	for i, d := range domains {
		overDomains[i] = measureIdle(t, systemOptions{nodes: nodesOfDomain * d, domains: d, services: 1, engines: 2, changes: capacity.ChangesPerDay})
	}
	const (
		perFleet  = "failure domains of 10 nodes, 20,000 changes a day"
		perDomain = "nodes of one failure domain, 20,000 changes a day"
		perRate   = "changes a day, 16 nodes in 4 failure domains"
		relay     = "log of deltas, pushed to three peers and then exchanged (internal/follower, internal/peer)"
	)
	finish(t, "configuration-relay", "TestMeasureRelay", []capacity.Series{
		series(capacity.Series{
			Quantity: "exchange of a node", Unit: "B/s", Over: perDomain, Target: capacity.NodesPerDomain, Budget: capacity.ControlBytes, Mechanism: relay,
		}, nodes, func(i int) float64 { return overNodes[i].bytes[portPeer] }),
		series(capacity.Series{
			Quantity: "exchange of a node", Unit: "B/s", Over: perRate, Target: capacity.ChangesPerDay, Budget: capacity.ControlBytes, Mechanism: relay,
		}, rates, func(i int) float64 { return overRates[i].bytes[portPeer] }),
		series(capacity.Series{
			Quantity: "exchange of a node", Unit: "B/s", Over: perFleet, Target: capacity.FailureDomains, Budget: capacity.ControlBytes, Mechanism: relay,
		}, domains, func(i int) float64 { return overDomains[i].bytes[portPeer] }),
		series(capacity.Series{
			Quantity: "slowest change in force on all nodes", Unit: "s", Over: perFleet, Target: capacity.FailureDomains,
			Budget: capacity.InForceSeconds, Mechanism: relay,
		}, domains, func(i int) float64 { return overDomains[i].slowest }),
		series(capacity.Series{
			Quantity: "all duties of a node, with its share of the stand-ins", Unit: "of a core", Over: perDomain, Target: capacity.NodesPerDomain,
			Budget: capacity.ControlCore, Mechanism: relay,
		}, nodes, func(i int) float64 { return overNodes[i].core }),
		series(capacity.Series{
			Quantity: "slowest change in force on all nodes", Unit: "s", Over: perDomain, Target: capacity.NodesPerDomain,
			Budget: capacity.InForceSeconds, Mechanism: relay,
		}, nodes, func(i int) float64 { return overNodes[i].slowest }),
		series(capacity.Series{
			Quantity: "writes at the service", Unit: "1/s", Over: perRate, Target: capacity.ChangesPerDay, Budget: capacity.ServiceWrites,
			Mechanism: "one transaction a change (internal/acceptance, internal/configlog)",
		}, rates, func(i int) float64 { return overRates[i].writes }),
		series(capacity.Series{
			Quantity: "reads at the service", Unit: "1/s", Over: perRate, Target: capacity.ChangesPerDay, Budget: capacity.ServiceReads,
			Mechanism: "one read a change (internal/acceptance)",
		}, rates, func(i int) float64 { return overRates[i].reads }),
	})
}
