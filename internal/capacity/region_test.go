package capacity_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// regionsOfCut is how many regions lose each other; the service is in the first.
	regionsOfCut = 3
	// platformIP is the address of the platform's stand-ins.
	platformIP = "10.0.0.1"
	// healStep is how often the nodes are looked at after the cut.
	healStep = 100 * time.Millisecond
	// metAgain is the part of the members known before the cut that the nodes must list again. It is not all of them: with few nodes
	// in each of ten failure domains some node is always unheard of somewhere.
	metAgain = 0.95
	// healTimeout is how long the nodes have to be level again.
	healTimeout = 10 * time.Minute
)

// cutCost is what a cut between the regions costs.
type cutCost struct {
	// during and after are the bytes a second of a node in the cut, and in the minute after it.
	during, after float64
	// config and members are the seconds until all nodes held the newest revision, and until they listed the members as before.
	config, members float64
}

// cut makes the regions lose each other, and all but the first the platform, for a time in which changes are accepted.
func cut(t *testing.T, opts systemOptions, lasting time.Duration) cutCost {
	var cost cutCost
	synctest.Test(t, func(t *testing.T) {
		system, network := startSystem(t, opts)
		defer system.Close()
		time.Sleep(meeting)
		members := membersOf(system)
		acrossRegions(opts, network.Blackhole)
		// A connection that was being opened at that moment is caught by the second time.
		time.Sleep(time.Second)
		acrossRegions(opts, network.Blackhole)
		bytes, began := network.counts()[portPeer], time.Now()
		var newest api.Revision
		for i := 0; time.Since(began) < lasting; i++ {
			newest = accept(t, system, i)
			time.Sleep(time.Until(began.Add(time.Duration(i+1) * 24 * time.Hour / capacity.ChangesPerDay)))
		}
		perNode := func(bytes int64, seconds float64) float64 { return float64(bytes) / seconds / float64(opts.nodes) }
		cost.during = perNode(network.counts()[portPeer]-bytes, time.Since(began).Seconds())
		for i := range system.NodeCount() {
			isCut := i%opts.domains%opts.regions != 0
			qt.Check(t, system.Node(i).Configs().Revision() < newest, qt.Equals, isCut)
		}

		acrossRegions(opts, network.Heal)
		bytes, healed := network.counts()[portPeer], time.Now()
		cost.config = secondsUntil(t, func() bool {
			return !slices.ContainsFunc(revisionsOf(system), func(r api.Revision) bool { return r < newest })
		})
		cost.members = time.Since(healed).Seconds() + secondsUntil(t, func() bool { return membersOf(system) >= metAgain*members })
		time.Sleep(time.Until(healed.Add(time.Minute)))
		cost.after = perNode(network.counts()[portPeer]-bytes, time.Since(healed).Seconds())
	})
	return cost
}

// acrossRegions changes the links between nodes of unlike regions, and those of all but the first to the platform.
func acrossRegions(opts systemOptions, change func(a, b string)) {
	region := func(node int) int { return node % opts.domains % opts.regions }
	ip := func(node int) string { return fmt.Sprintf("10.0.1.%d", node+1) }
	for i := range opts.nodes {
		if region(i) != 0 {
			change(ip(i), platformIP)
		}
		for j := range i {
			if region(i) != region(j) {
				change(ip(i), ip(j))
			}
		}
	}
}

// accept has the first node, whose region keeps the service, accept a change.
func accept(t *testing.T, system *dev.System, number int) api.Revision {
	node := system.Node(0)
	change := exceptionChange(number % 10)
	change.Base = node.Configs().Revision()
	revision, err := node.Acceptor().Accept(t.Context(), change)
	qt.Assert(t, err, qt.IsNil)
	return revision
}

func revisionsOf(system *dev.System) []api.Revision {
	revisions := make([]api.Revision, system.NodeCount())
	for i := range revisions {
		revisions[i] = system.Node(i).Configs().Revision()
	}
	return revisions
}

// membersOf sums how many members the nodes list.
func membersOf(system *dev.System) float64 {
	sum := int64(0)
	for i := range system.NodeCount() {
		sum += system.Node(i).Metrics().Get("peer.members").(metrics.Gauge).Value()
	}
	return float64(sum)
}

// secondsUntil waits for a condition.
func secondsUntil(t *testing.T, isMet func() bool) float64 {
	began := time.Now()
	for !isMet() {
		if time.Since(began) > healTimeout {
			t.Error("the nodes are not level again")
			break
		}
		time.Sleep(healStep)
	}
	return time.Since(began).Seconds()
}

// TestMeasureRegions varies how long three regions with ten failure domains are cut from each other.
func TestMeasureRegions(t *testing.T) {
	minutes, unit, nodes := sizes(5, 20, 60), time.Minute, 30
	if *out == "" {
		unit, nodes = time.Second, capacity.FailureDomains
	}
	opts := systemOptions{nodes: nodes, domains: capacity.FailureDomains, regions: regionsOfCut, services: 1, engines: 2}
	all := make([]cutCost, len(minutes))
	for i, m := range minutes {
		all[i] = cut(t, opts, time.Duration(m)*unit)
	}
	const (
		over   = "minutes of the cut, 30 nodes in 10 failure domains and 3 regions, 20,000 changes a day"
		hour   = 60
		gossip = "seeds called anew, deltas fetched (internal/peer, internal/follower)"
	)
	finish(t, "regions", "TestMeasureRegions", []capacity.Series{
		series(capacity.Series{Quantity: "exchange of a node in the cut", Unit: "B/s", Over: over, Target: hour, Budget: capacity.ControlBytes, Mechanism: gossip},
			minutes, func(i int) float64 { return all[i].during }),
		series(capacity.Series{Quantity: "exchange of a node in the minute after", Unit: "B/s", Over: over, Target: hour, Budget: capacity.ControlBytes, Mechanism: gossip},
			minutes, func(i int) float64 { return all[i].after }),
		series(capacity.Series{Quantity: "newest change in force on all nodes after the cut", Unit: "s", Over: over, Target: hour, Budget: capacity.InForceSeconds, Mechanism: gossip},
			minutes, func(i int) float64 { return all[i].config }),
		series(capacity.Series{Quantity: "nodes list 95 in 100 of the members that they listed before", Unit: "s", Over: over, Target: hour, Mechanism: gossip},
			minutes, func(i int) float64 { return all[i].members }),
	})
}
