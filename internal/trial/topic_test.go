package trial

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var (
	now = time.Date(2026, 3, 1, 2, 0, 0, 0, time.UTC)
	v1  = api.VersionID{Model: "tutor", Version: "v1"}
	v2  = api.VersionID{Model: "tutor", Version: "v2"}
)

type staticConfig struct{ config *fleet.Config }

func (c staticConfig) Current() *fleet.Config { return c.config }

func newNode(id api.NodeID) *Node {
	config := &fleet.Config{Services: []fleet.Service{{Name: "tutor-llm", Models: []fleet.Model{{Name: "tutor", Versions: []fleet.Version{
		{Name: "v1", State: fleet.StateServing}, {Name: "v2", State: fleet.StateCandidate},
	}}}}}}
	return New(Options{
		Node: id, Incarnation: api.Incarnation(id) + "-1", Configs: staticConfig{config},
		Log: &log.Logger{Handler: discard.New()},
	})
}

func grant(node api.NodeID, seq, limit uint64) rollout.Grant {
	return rollout.Grant{
		RollOut: "r1", Service: "tutor-llm", Version: v2, Control: v1, Node: node, Incarnation: api.Incarnation(node) + "-1",
		Fencing: 1, Seq: seq, Threshold: 10, Share: 1, Cap: limit,
	}
}

func exchangeAll(t testing.TB, from, to *Node, maxBytes int) int {
	since, total := uint64(0), 0
	for {
		payload, upTo := from.Since(since, peer.Member{}, maxBytes)
		if len(payload) == 0 || upTo == since {
			return total
		}
		total += len(payload)
		_, err := to.Merge(peer.Member{}, payload)
		qt.Assert(t, err, qt.IsNil)
		since = upTo
	}
}

func TestGrantsArriveInAnyOrderThroughPeers(t *testing.T) {
	holder, relay, node := newNode("n1"), newNode("n2"), newNode("n3")
	holder.Grant([]rollout.Grant{grant("n3", 2, 2)})
	exchangeAll(t, holder, relay, 1<<10)
	exchangeAll(t, relay, node, 1<<10)
	qt.Assert(t, node.ReserveExposure("tutor-llm", v2, 0), qt.IsTrue)

	_, err := node.Merge(peer.Member{}, new(encoder).encode(message{Grants: []rollout.Grant{grant("n3", 1, 100), grant("n4", 9, 100)}}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, node.ReserveExposure("tutor-llm", v1, 0), qt.IsFalse)
	qt.Assert(t, node.ReserveExposure("tutor-llm", v2, 0), qt.IsTrue)
	qt.Assert(t, node.ReserveExposure("tutor-llm", v2, 0), qt.IsFalse, qt.Commentf("the older grant's cap is in force"))
	qt.Assert(t, relay.ReserveExposure("tutor-llm", v2, 0), qt.IsFalse)
}

func TestReportsReachHolderInSmallPayloads(t *testing.T) {
	holder := newNode("n0")
	key := suspect.Key{Service: "tutor-llm", Version: v2, Class: "review"}
	for i := range 20 {
		node := newNode(api.NodeID(fmt.Sprintf("m%d", i)))
		node.Grant([]rollout.Grant{grant(node.opts.Node, 1, 1)})
		qt.Assert(t, node.ReserveExposure(key.Service, v2, 0), qt.IsTrue)
		node.Dispatched("q", key)
		node.Answered("q", v2, time.Second)
		node.Rated("q", v2, 0.9)
		node.Tick(now)
		exchangeAll(t, node, holder, 1<<10)
	}
	relay := newNode("n1")
	size := exchangeAll(t, holder, relay, 1<<10)
	t.Logf("20 nodes' reports and grants take %d bytes", size)
	uses, completed := relay.Uses("r1")
	qt.Assert(t, uses, qt.HasLen, 20)
	qt.Assert(t, completed, qt.Equals, uint64(20))
	plan := rollout.Plan{ID: "r1", Service: key.Service, Version: v2, Control: v1}.WithDefaults()
	qt.Assert(t, relay.Findings(plan)[0].Version.Requests, qt.Equals, uint64(20))
}

func TestNodeWithLocalFaultStopsNothing(t *testing.T) {
	node := newNode("n1")
	for round := range 600 {
		for _, v := range []api.VersionID{v1, v2} {
			key := suspect.Key{Service: "tutor-llm", Version: v, Class: "review"}
			request := api.RequestID(fmt.Sprint(round))
			node.Dispatched(request, key)
			if round < 300 {
				node.Answered(request, v, time.Second)
				continue
			}
			node.Failed(request, v)
		}
		node.Tick(now.Add(time.Duration(round) * time.Second))
	}
	qt.Assert(t, node.Stops(), qt.HasLen, 0)
}

func TestLastServingVersionIsNotStopped(t *testing.T) {
	node := newNode("n1")
	key := suspect.Key{Service: "tutor-llm", Version: v1, Class: "review"}
	for round := range 600 {
		request := api.RequestID(fmt.Sprint(round))
		node.Dispatched(request, key)
		if round < 300 {
			node.Answered(request, v1, time.Second)
		} else {
			node.Failed(request, v1)
		}
		node.Tick(now.Add(time.Duration(round) * time.Second))
	}
	qt.Assert(t, node.Stops(), qt.HasLen, 0)
}

func TestUnusedExposureIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newNode("n1")
		node.Grant([]rollout.Grant{grant("n1", 1, 3)})
		key := suspect.Key{Service: "tutor-llm", Version: v2, Class: "review"}
		for range 3 {
			qt.Assert(t, node.ReserveExposure(key.Service, v2, 0), qt.IsTrue)
		}
		qt.Assert(t, node.ReserveExposure(key.Service, v2, 0), qt.IsFalse)
		node.Dispatched("answered", key)
		node.Dispatched("dropped", key)
		node.Answered("answered", v2, time.Second)
		node.Discarded("dropped", v2)
		completed := func() uint64 { return node.gates[key.Service].Use("n1", "n1-1").Settled }
		node.Tick(time.Now())
		qt.Assert(t, completed(), qt.Equals, uint64(1), qt.Commentf("the answer may still be rated"))
		time.Sleep(ratingTimeout)
		node.Tick(time.Now())
		qt.Assert(t, completed(), qt.Equals, uint64(2))
		node.Rated("answered", v2, 0)
		time.Sleep(reservationTimeout)
		node.Tick(time.Now())
		qt.Assert(t, completed(), qt.Equals, uint64(3))
		qt.Assert(t, node.tallies[key].Requests, qt.Equals, uint64(1))
		qt.Assert(t, node.tallies[key].Ratings(), qt.Equals, uint64(0))
	})
}

func FuzzMerge(f *testing.F) {
	f.Add(new(encoder).encode(message{Grants: []rollout.Grant{grant("n1", 1, 1)}, Stops: []suspect.Stop{{ID: "auto-1", Sources: 2}}}))
	f.Add([]byte("junk"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		node := newNode("n1")
		if _, err := node.Merge(peer.Member{}, payload); err != nil {
			qt.Assert(t, IsErrBadMessage(err), qt.IsTrue)
		}
		node.Tick(now)
		_, upTo := node.Since(0, peer.Member{}, 1<<10)
		_, again := node.Since(upTo, peer.Member{}, 1<<10)
		qt.Assert(t, again >= upTo, qt.IsTrue)
	})
}

func TestDecodeIsBounded(t *testing.T) {
	huge := new(encoder).encode(message{Stops: []suspect.Stop{{Reason: string(bytes.Repeat([]byte("a"), 2*maxMessageBytes))}}})
	_, err := newNode("n1").Merge(peer.Member{}, huge)
	qt.Assert(t, IsErrBadMessage(err), qt.IsTrue)
}

// BenchmarkRequest measures the cost per request: the reservation of exposure and the counting of the result.
func BenchmarkRequest(b *testing.B) {
	node := newNode("n1")
	node.Grant([]rollout.Grant{grant("n1", 1, 1<<62)})
	key := suspect.Key{Service: "tutor-llm", Version: v2, Class: "review"}
	b.ReportAllocs()
	for b.Loop() {
		node.ReserveExposure(key.Service, v2, 0)
		node.Dispatched("q", key)
		node.Answered("q", v2, time.Second)
		node.Rated("q", v2, 0.9)
	}
}

// BenchmarkTick measures a round of evaluation and reporting, which happens once per second, on a node with reports of 63 others,
// counts for 51 versions, which stand for 17 versions in 3 classes, and an active roll-out.
func BenchmarkTick(b *testing.B) {
	node := newNode("n0")
	node.Grant([]rollout.Grant{grant("n0", 1, 1<<62)})
	count := func(n *Node, v api.VersionID, request api.RequestID) {
		key := suspect.Key{Service: "tutor-llm", Version: v, Class: "review"}
		n.Dispatched(request, key)
		n.Answered(request, v, time.Second)
	}
	for i := range 63 {
		other := newNode(api.NodeID(fmt.Sprintf("m%d", i)))
		other.Grant([]rollout.Grant{grant(other.opts.Node, 1, 1)})
		count(other, v2, "q")
		other.Tick(now)
		exchangeAll(b, other, node, 64<<10)
	}
	for i := range 51 {
		count(node, api.VersionID{Model: "tutor", Version: fmt.Sprint(i)}, "q")
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		count(node, v2, api.RequestID(fmt.Sprint(i)))
		node.Tick(now)
		payload, _ := node.Since(node.shared.seq-1, peer.Member{}, 64<<10)
		_, _ = node.Merge(peer.Member{}, payload)
	}
}
