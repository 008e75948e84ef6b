package capacity_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/internal/trial"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var (
	control   = api.VersionID{Model: "a-model", Version: "v1"}
	candidate = api.VersionID{Model: "a-model", Version: "v2"}
)

type fixedConfig struct{ config *fleet.Config }

func (c fixedConfig) Current() *fleet.Config { return c.config }

func newTrial(i int) *trial.Node {
	config := &fleet.Config{Services: []fleet.Service{{Name: "a-service", Models: []fleet.Model{{Name: "a-model", Versions: []fleet.Version{
		{Name: "v1", State: fleet.StateServing}, {Name: "v2", State: fleet.StateCandidate},
	}}}}}}
	return trial.New(trial.Options{
		Node: nodeName(i), Incarnation: api.Incarnation(fmt.Sprint("run-", i)), Configs: fixedConfig{config}, Log: quiet,
	})
}

func grantFor(i int) rollout.Grant {
	return rollout.Grant{
		RollOut: "r1", Service: "a-service", Version: candidate, Control: control, Node: nodeName(i),
		Incarnation: api.Incarnation(fmt.Sprint("run-", i)), Fencing: 1, Seq: 1, Threshold: 10, Share: 1, Cap: 1 << 40,
	}
}

// work has a node answer some requests of both versions.
func work(n *trial.Node, round int, now time.Time) {
	for _, v := range []api.VersionID{control, candidate} {
		request := api.RequestID(fmt.Sprint(v.Version, "-", round))
		n.ReserveExposure("a-service", v, 0)
		n.Dispatched(request, suspect.Key{Service: "a-service", Version: v, Class: "review"})
		n.Answered(request, v, time.Second)
		n.Rated(request, v, 0.9)
	}
	n.Tick(now)
}

// trialCost is what a roll-out costs the exchange and a node's processor.
type trialCost struct{ payload, core float64 }

// measureTrial lets all nodes answer and report, and carries the reports and grants to one of them.
func measureTrial(t *testing.T, nodes int) trialCost {
	holder := newTrial(0)
	holder.Grant([]rollout.Grant{grantFor(0)})
	now := time.Now()
	for i := 1; i <= nodes; i++ {
		other := newTrial(i)
		other.Grant([]rollout.Grant{grantFor(i)})
		work(other, 0, now)
		carryAll(t, other, holder)
	}
	cost := trialCost{payload: carryAll(t, holder, newTrial(nodes+1))}
	round := 0
	cost.core = timed(t, repeat(200), func() {
		round++
		work(holder, round, now.Add(time.Duration(round)*time.Second))
	}) / 1e6
	return cost
}

// carryAll hands on all that one node knows and returns its bytes.
func carryAll(t *testing.T, from, to *trial.Node) float64 {
	since, bytes := uint64(0), 0
	for {
		payload, upTo := from.Since(since, peer.Member{}, 1<<20)
		if len(payload) == 0 || upTo == since {
			return float64(bytes)
		}
		bytes += len(payload)
		_, err := to.Merge(peer.Member{}, payload)
		qt.Assert(t, err, qt.IsNil)
		since = upTo
	}
}

// TestMeasureRollOuts varies the nodes that take part in a roll-out, and the services that may have one.
func TestMeasureRollOuts(t *testing.T) {
	nodes, services := sizes(16, 64, 256, 590), sizes(1, 2, 4, 8, 17)
	trials, fleets := make([]trialCost, len(nodes)), make([]idle, len(services))
	for i, n := range nodes {
		trials[i] = measureTrial(t, n)
	}
	for i, n := range services {
		fleets[i] = measureIdle(t, systemOptions{nodes: 6, domains: 2, services: n, engines: 1})
	}
	const (
		parts  = "nodes that take part"
		topic  = "reports and grants of all nodes as one topic, packed by flate (internal/trial)"
		leases = "a lease a service, three candidates each (internal/rollout, internal/lease)"
		per    = "engine services, 6 nodes in 2 failure domains"
	)
	finish(t, "roll-out-holder", "TestMeasureRollOuts", []capacity.Series{
		series(capacity.Series{Quantity: "state of one roll-out, as it travels", Unit: "B", Over: parts, Target: capacity.Nodes, Mechanism: topic},
			nodes, func(i int) float64 { return trials[i].payload }),
		series(capacity.Series{Quantity: "weighing of one roll-out once a second", Unit: "of a core", Over: parts, Target: capacity.Nodes, Budget: capacity.ControlCore, Mechanism: topic},
			nodes, func(i int) float64 { return trials[i].core }),
		series(capacity.Series{Quantity: "reads at the service", Unit: "1/s", Over: per, Target: capacity.Versions, Budget: capacity.ServiceReads, Mechanism: leases},
			services, func(i int) float64 { return fleets[i].reads }),
		series(capacity.Series{Quantity: "keep-alives of leases", Unit: "1/s", Over: per, Target: capacity.Versions, Budget: capacity.ServiceWrites, Mechanism: leases},
			services, func(i int) float64 { return fleets[i].leases }),
		series(capacity.Series{Quantity: "duties of a node, with its share of the stand-ins", Unit: "of a core", Over: per, Target: capacity.Versions, Budget: capacity.ControlCore, Mechanism: leases},
			services, func(i int) float64 { return fleets[i].core }),
	})
}
