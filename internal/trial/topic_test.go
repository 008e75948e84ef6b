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

func carry(t testing.TB, from, to *Node, maxBytes int) int {
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

func TestGrantsComeInAnyOrderAndThroughOthers(t *testing.T) {
	holder, relay, node := newNode("n1"), newNode("n2"), newNode("n3")
	holder.Grant([]rollout.Grant{grant("n3", 2, 2)})
	carry(t, holder, relay, 1<<10)
	carry(t, relay, node, 1<<10)
	qt.Assert(t, node.Take("tutor-llm", v2, 0), qt.IsTrue)

	_, err := node.Merge(peer.Member{}, new(packer).pack(message{Grants: []rollout.Grant{grant("n3", 1, 100), grant("n4", 9, 100)}}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, node.Take("tutor-llm", v1, 0), qt.IsFalse)
	qt.Assert(t, node.Take("tutor-llm", v2, 0), qt.IsTrue)
	qt.Assert(t, node.Take("tutor-llm", v2, 0), qt.IsFalse, qt.Commentf("the older grant's cap is in force"))
	qt.Assert(t, relay.Take("tutor-llm", v2, 0), qt.IsFalse)
}

func TestReportsReachTheHolderInSmallParts(t *testing.T) {
	holder := newNode("n0")
	key := suspect.Key{Service: "tutor-llm", Version: v2, Class: "review"}
	for i := range 20 {
		node := newNode(api.NodeID(fmt.Sprintf("m%d", i)))
		node.Grant([]rollout.Grant{grant(node.opts.Node, 1, 1)})
		qt.Assert(t, node.Take(key.Service, v2, 0), qt.IsTrue)
		node.Dispatched("q", key)
		node.Answered("q", v2, time.Second)
		node.Rated("q", v2, 0.9)
		node.Tick(now)
		carry(t, node, holder, 1<<10)
	}
	through := newNode("n1")
	size := carry(t, holder, through, 1<<10)
	t.Logf("20 nodes' reports and grants take %d bytes", size)
	uses, settled := through.Uses("r1")
	qt.Assert(t, uses, qt.HasLen, 20)
	qt.Assert(t, settled, qt.Equals, uint64(20))
	plan := rollout.Plan{ID: "r1", Service: key.Service, Version: v2, Control: v1}.WithDefaults()
	qt.Assert(t, through.Findings(plan)[0].Version.Requests, qt.Equals, uint64(20))
}

func TestNodeWithAFaultOfItsOwnStopsNothing(t *testing.T) {
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

func TestLastServingVersionIsLeftToAnOperator(t *testing.T) {
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

func TestUnusedPartsOfTheBudgetComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newNode("n1")
		node.Grant([]rollout.Grant{grant("n1", 1, 3)})
		key := suspect.Key{Service: "tutor-llm", Version: v2, Class: "review"}
		for range 3 {
			qt.Assert(t, node.Take(key.Service, v2, 0), qt.IsTrue)
		}
		qt.Assert(t, node.Take(key.Service, v2, 0), qt.IsFalse)
		node.Dispatched("answered", key)
		node.Dispatched("dropped", key)
		node.Answered("answered", v2, time.Second)
		node.Dropped("dropped", v2)
		settled := func() uint64 { return node.gates[key.Service].Use("n1", "n1-1").Settled }
		node.Tick(time.Now())
		qt.Assert(t, settled(), qt.Equals, uint64(1), qt.Commentf("the answer may still be rated"))
		time.Sleep(ratingWait)
		node.Tick(time.Now())
		qt.Assert(t, settled(), qt.Equals, uint64(2))
		node.Rated("answered", v2, 0)
		time.Sleep(takeTimeout)
		node.Tick(time.Now())
		qt.Assert(t, settled(), qt.Equals, uint64(3))
		qt.Assert(t, node.tallies[key].Requests, qt.Equals, uint64(1))
		qt.Assert(t, node.tallies[key].Ratings(), qt.Equals, uint64(0))
	})
}

func FuzzMerge(f *testing.F) {
	f.Add(new(packer).pack(message{Grants: []rollout.Grant{grant("n1", 1, 1)}, Stops: []suspect.Stop{{ID: "auto-1", Sources: 2}}}))
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

func TestUnpackIsBounded(t *testing.T) {
	huge := new(packer).pack(message{Stops: []suspect.Stop{{Reason: string(bytes.Repeat([]byte("a"), 2*maxMessage))}}})
	_, err := newNode("n1").Merge(peer.Member{}, huge)
	qt.Assert(t, IsErrBadMessage(err), qt.IsTrue)
}

// BenchmarkRequest is what a request costs on its way: the draw, and the counting of its result.
func BenchmarkRequest(b *testing.B) {
	node := newNode("n1")
	node.Grant([]rollout.Grant{grant("n1", 1, 1<<62)})
	key := suspect.Key{Service: "tutor-llm", Version: v2, Class: "review"}
	b.ReportAllocs()
	for b.Loop() {
		node.Take(key.Service, v2, 0)
		node.Dispatched("q", key)
		node.Answered("q", v2, time.Second)
		node.Rated("q", v2, 0.9)
	}
}

// BenchmarkTick is a round of weighing and reporting, once a second, of a node that knows 63 others, with 17 versions in
// 3 classes counted and a roll-out under way.
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
		carry(b, other, node, 64<<10)
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
