package vmlist

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// drawnServers come and go among others that stay, so that they are a small part of all.
	drawnServers = 3
	staying      = 12
)

var quiet = &log.Logger{Handler: discard.New()}

// history is what was true at the platform, a state of every server for each second.
type history [][]State

func (h history) list(second int) Fetched {
	list := List{AsOf: time.Unix(int64(second), 0)}
	for i, state := range h[second] {
		if state != "" {
			list.VMs = append(list.VMs, VM{ID: fmt.Sprint(i), Address: "a:1", Role: RoleServer, State: state})
		}
	}
	for i := range staying {
		list.VMs = append(list.VMs, VM{ID: fmt.Sprint("staying-", i), Address: "a:1", Role: RoleServer, State: StateLive})
	}
	return Fetched{List: list, ETag: fmt.Sprint(second)}
}

// drawnNode is a poller and the most that it may know.
type drawnNode struct {
	*Poller
	// read is the newest second whose list the node itself read, -1 before the first.
	read int
	// left holds, for each server, the newest second at which the node saw or heard it as leaving, or -1.
	left [drawnServers]int
}

// TestMarksAreKept draws lists that lagging replicas of the platform answer, lost and repeated messages in any order: a node
// has a server as leaving exactly if the newest list that it read says so, or a mark that is not older than this list.
func TestMarksAreKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		nodes := make([]*drawnNode, 3)
		for i := range nodes {
			nodes[i] = &drawnNode{Poller: NewPoller(PollerOptions{Rand: rand.New(rand.NewPCG(1, 2)), Log: quiet}), read: -1, left: [drawnServers]int{-1, -1, -1}}
		}
		var sent [][]byte
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(rt, "node")]
			switch rapid.IntRange(0, 2).Draw(rt, "action") {
			case 0:
				second := rapid.IntRange(0, len(h)-1).Draw(rt, "replica's second")
				n.take(h.list(second))
				n.read = max(n.read, second)
			case 1:
				payload, _ := n.Topic().Since(0, peer.Member{}, maxTold*markBytes)
				if len(payload) > 0 {
					sent = append(sent, payload)
				}
			default:
				if len(sent) == 0 {
					continue
				}
				payload := rapid.SampledFrom(sent).Draw(rt, "message")
				n.noteHeard(rt, payload)
				if _, err := n.Topic().Merge(peer.Member{}, payload); err != nil {
					rt.Fatal(err)
				}
				if again, _ := n.Topic().Merge(peer.Member{}, payload); again {
					rt.Fatal("the same news twice")
				}
			}
			n.check(rt, h)
		}
	})
}

func drawHistory(rt *rapid.T) history {
	states := []State{StateLive, StateLive, StateLeaving, ""}
	return rapid.SliceOfN(rapid.SliceOfN(rapid.SampledFrom(states), drawnServers, drawnServers), 2, 12).Draw(rt, "history")
}

func (n *drawnNode) noteHeard(rt *rapid.T, payload []byte) {
	heard, err := decodeMarks(payload)
	if err != nil {
		rt.Fatal(err)
	}
	for _, m := range heard {
		for i := range n.left {
			if m.instance == instanceOf(serverOf(VM{ID: fmt.Sprint(i), Address: "a:1"})) {
				n.left[i] = max(n.left[i], int(m.asOf.Unix()))
			}
		}
	}
}

// check compares what the node shows with the newest list that it read and the marks that it heard.
func (n *drawnNode) check(rt *rapid.T, h history) {
	if n.read < 0 {
		return
	}
	snapshot, _ := n.Snapshot()
	for i, listed := range h[n.read] {
		at := slices.IndexFunc(snapshot.Servers, func(s fleet.Server) bool { return s.ID == api.ServerID(fmt.Sprint(i)) })
		if listed == "" {
			if at >= 0 {
				rt.Fatalf("server %d is not on the list of second %d", i, n.read)
			}
			continue
		}
		want := listed == StateLeaving || n.left[i] >= n.read
		if at < 0 || snapshot.Servers[at].Leaving != want {
			rt.Fatalf("server %d at second %d: want leaving %v, marked at %d", i, n.read, want, n.left[i])
		}
	}
}

// TestMarksOfAClockAheadAreIgnored keeps a node whose clock is wrong from overruling all lists to come.
func TestMarksOfAClockAheadAreIgnored(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	poller := NewPoller(PollerOptions{})
	c.Check(poller.hear([]mark{{instance: 1, asOf: now.Add(2 * maxAhead)}}, now), qt.IsFalse)
	c.Check(poller.hear([]mark{{instance: 1, asOf: now}}, now), qt.IsTrue)
}

// TestNewestMarkCounts hears of a server twice, and then reads a list from between the two.
func TestNewestMarkCounts(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	vm := VM{ID: "0", Address: "a:1", Role: RoleServer, State: StateLive}
	poller := NewPoller(PollerOptions{})
	for _, second := range []time.Duration{0, 2, 1} {
		poller.hear([]mark{newMark(serverOf(vm), at.Add(second*time.Second))}, at)
	}
	poller.take(Fetched{List: List{AsOf: at.Add(time.Second), VMs: []VM{vm}}})
	snapshot, _ := poller.Snapshot()
	c.Assert(snapshot.Servers[0].Leaving, qt.IsTrue)
	poller.take(Fetched{List: List{AsOf: at.Add(3 * time.Second), VMs: []VM{vm}}})
	snapshot, _ = poller.Snapshot()
	c.Assert(snapshot.Servers[0].Leaving, qt.IsFalse)
}

func TestToldMarksAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := marks{newer: make(map[instance]time.Time)}
	for i := range maxTold + 10 {
		m.tell(mark{instance: instance(i), asOf: now}, now)
	}
	payload, version := m.since(0, 5*markBytes+3, now)
	c.Assert(payload, qt.HasLen, 5*markBytes)
	rest, last := m.since(version, maxTold*markBytes, now)
	c.Assert(rest, qt.HasLen, (maxTold-5)*markBytes)
	c.Assert(last, qt.Equals, uint64(maxTold+10))
	first, err := decodeMarks(payload)
	c.Assert(err, qt.IsNil)
	c.Assert(first[0].instance, qt.Equals, instance(10))
	later, _ := m.since(0, maxTold*markBytes, now.Add(tellFor))
	c.Assert(later, qt.HasLen, 0)
}

func FuzzMarks(f *testing.F) {
	f.Add([]byte("0123456789abcdef"))
	f.Add([]byte("0123"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		poller := NewPoller(PollerOptions{})
		news, err := poller.Topic().Merge(peer.Member{}, payload)
		if err != nil && (news || len(poller.marks.newer) > 0) {
			t.Fatal("a bad payload was taken in")
		}
	})
}
