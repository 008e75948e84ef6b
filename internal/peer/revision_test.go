package peer_test

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// config is a ConfigSource that holds only a revision.
type config struct{ revision atomic.Int64 }

func (c *config) Revision() api.Revision                                     { return api.Revision(c.revision.Load()) }
func (c *config) After(api.Revision, int) (snapshot []byte, deltas [][]byte) { return nil, nil }
func (c *config) ObservePeer(peer.Member)                                    {}

// TestRevisionsTravelWithHeartbeats advances half of the nodes to another revision and checks that each node learns
// every member's revision. The learned revision must never exceed the member's own and never decrease.
func TestRevisionsTravelWithHeartbeats(t *testing.T) {
	const size = 24
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, size, 2)
		defer g.close()
		configs := make(map[api.NodeID]*config)
		for i := range size {
			own := new(config)
			own.revision.Store(7)
			n := g.start(i, nodeOptions{config: own})
			configs[n.name] = own
		}
		time.Sleep(30 * time.Second)
		for i := range size / 2 {
			configs[g.nodes[i].name].revision.Store(9)
		}
		highest := make(map[[2]api.NodeID]api.Revision)
		for range 20 {
			time.Sleep(time.Second)
			for _, n := range g.nodes {
				for _, member := range n.Members() {
					pair := [2]api.NodeID{n.name, member.Node}
					qt.Assert(t, member.Revision >= max(7, highest[pair]), qt.IsTrue)
					qt.Assert(t, member.Revision <= configs[member.Node].Revision(), qt.IsTrue)
					highest[pair] = member.Revision
				}
			}
		}
		for pair, revision := range highest {
			qt.Check(t, revision, qt.Equals, configs[pair[1]].Revision(), qt.Commentf("of %s at %s", pair[1], pair[0]))
		}
	})
}

// TestEarlierRelease exchanges bundles as the previous release does, whose messages carry no revision but the sender's.
func TestEarlierRelease(t *testing.T) {
	own := new(config)
	own.revision.Store(5)
	exchange, err := peer.New(peer.Options{
		Self: peer.Member{Node: "n", Incarnation: "self", FailureDomain: "d"}, Keys: peer.Keys{[]byte("k")}, Config: own,
		Seeds: func() []peer.Seed { return nil }, Network: memnet.New().Host("10.0.0.1"), Log: &log.Logger{Handler: memory.New()},
		Metrics: metrics.NewRegistry(), Rand: rand.New(rand.NewPCG(1, 1)),
	})
	qt.Assert(t, err, qt.IsNil)
	earlier := &peerpb.Sender{Protocol: 1, MinProtocol: 1, Node: "a", Incarnation: "a-1", Revision: 4}
	record := func(node, incarnation string, revision int64) *peerpb.Member {
		return &peerpb.Member{Node: node, Incarnation: incarnation, FailureDomain: "d", Heartbeat: 1, Revision: revision}
	}
	// A peer of this release reports the third node, c.
	peer.Serve(exchange, &peerpb.Bundle{
		Sender: &peerpb.Sender{Protocol: 2, MinProtocol: 1, Node: "b", Incarnation: "b-1", Revision: 6}, Number: 1,
		Members: []*peerpb.Member{record("b", "b-1", 6), record("c", "c-1", 5)},
	})
	first := peer.Serve(exchange, &peerpb.Bundle{Sender: earlier, Number: 1, Members: []*peerpb.Member{record("a", "a-1", 0)}})
	qt.Assert(t, first, qt.Not(qt.IsNil))
	qt.Assert(t, revisionsOf(exchange), qt.DeepEquals, map[api.NodeID]api.Revision{"a": 4, "b": 6, "c": 5, "n": 5})

	// The earlier release forwards newer heartbeats of the other nodes, without revisions.
	ids := peer.PulseIDs("b-1", "c-1")
	pulses := &peerpb.Pulses{Ids: ids, Heartbeats: []uint64{9, 9}, Loads: []uint32{500, 500}}
	second := peer.Serve(exchange, &peerpb.Bundle{Sender: earlier, Number: 2, Ack: first.Number, Pulses: pulses})
	qt.Assert(t, second, qt.Not(qt.IsNil))
	qt.Assert(t, revisionsOf(exchange), qt.DeepEquals, map[api.NodeID]api.Revision{"a": 4, "b": 6, "c": 5, "n": 5})
	for _, member := range exchange.Members() {
		qt.Check(t, member.Load, qt.Equals, map[api.NodeID]float64{"b": 0.5, "c": 0.5}[member.Node])
	}
	// The fields of the responses that the earlier release reads are complete.
	for _, answer := range []*peerpb.Bundle{first, second} {
		qt.Check(t, answer.Pulses.GetHeartbeats(), qt.HasLen, len(answer.Pulses.GetIds()))
		qt.Check(t, answer.Pulses.GetLoads(), qt.HasLen, len(answer.Pulses.GetIds()))
	}
	var nodes []string
	for _, member := range first.Members {
		nodes = append(nodes, member.Node)
	}
	slices.Sort(nodes)
	qt.Check(t, nodes, qt.DeepEquals, []string{"b", "c", "n"})
	qt.Check(t, first.Sender.MinProtocol <= earlier.Protocol, qt.IsTrue)
}

// revisionsOf returns the revisions of an exchange's members by node.
func revisionsOf(e *peer.Exchange) map[api.NodeID]api.Revision {
	known := make(map[api.NodeID]api.Revision)
	for _, member := range e.Members() {
		known[member.Node] = member.Revision
	}
	return known
}
