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
	// drawnServers is the number of servers whose state changes; stableServers others stay, so that the changing ones are a small
	// fraction of all.
	drawnServers  = 3
	stableServers = 12
)

var quiet = &log.Logger{Handler: discard.New()}

// history is the state of every changing server at the platform, for each second.
type history [][]State

func (h history) list(second int) Fetched {
	list := List{AsOf: time.Unix(int64(second), 0)}
	for i, state := range h[second] {
		if state != "" {
			list.VMs = append(list.VMs, VM{ID: fmt.Sprint(i), Address: "a:1", Role: RoleServer, State: state})
		}
	}
	for i := range stableServers {
		list.VMs = append(list.VMs, VM{ID: fmt.Sprint("staying-", i), Address: "a:1", Role: RoleServer, State: StateLive})
	}
	return Fetched{List: list, ETag: fmt.Sprint(second)}
}

// modelNode is a poller with a model of the lists and marks that it has seen.
type modelNode struct {
	*Poller
	// read is the newest second whose list the node itself read, -1 before the first.
	read int
	// leavingAt holds, for each server, the newest second of a received mark, or -1.
	leavingAt [drawnServers]int
}

// TestMarksMatchModel draws lists of lagging platform replicas and lost, repeated and reordered messages. A node must show a
// server as leaving exactly if the newest list that it read does so, or if it received a mark that is not older than this list.
func TestMarksMatchModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		nodes := make([]*modelNode, 3)
		for i := range nodes {
			nodes[i] = &modelNode{Poller: NewPoller(PollerOptions{Rand: rand.New(rand.NewPCG(1, 2)), Log: quiet}), read: -1, leavingAt: [drawnServers]int{-1, -1, -1}}
		}
		var sent [][]byte
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(rt, "node")]
			switch rapid.IntRange(0, 2).Draw(rt, "action") {
			case 0:
				second := rapid.IntRange(0, len(h)-1).Draw(rt, "replica's second")
				n.apply(h.list(second))
				n.read = max(n.read, second)
			case 1:
				payload, _ := n.Topic().Since(0, peer.Member{}, maxShared*markBytes)
				if len(payload) > 0 {
					sent = append(sent, payload)
				}
			default:
				if len(sent) == 0 {
					continue
				}
				payload := rapid.SampledFrom(sent).Draw(rt, "message")
				n.noteReceived(rt, payload)
				if _, err := n.Topic().Merge(peer.Member{}, payload); err != nil {
					rt.Fatal(err)
				}
				if again, _ := n.Topic().Merge(peer.Member{}, payload); again {
					rt.Fatal("a repeated message was reported as news")
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

func (n *modelNode) noteReceived(rt *rapid.T, payload []byte) {
	received, err := decodeMarks(payload)
	if err != nil {
		rt.Fatal(err)
	}
	for _, m := range received {
		for i := range n.leavingAt {
			if m.instance == instanceOf(serverOf(VM{ID: fmt.Sprint(i), Address: "a:1"})) {
				n.leavingAt[i] = max(n.leavingAt[i], int(m.asOf.Unix()))
			}
		}
	}
}

// check compares the node's snapshot with the newest list that it read and the marks that it received.
func (n *modelNode) check(rt *rapid.T, h history) {
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
		want := listed == StateLeaving || n.leavingAt[i] >= n.read
		if at < 0 || snapshot.Servers[at].Leaving != want {
			rt.Fatalf("server %d at second %d: want leaving %v, marked at %d", i, n.read, want, n.leavingAt[i])
		}
	}
}

// TestMarksFromFutureAreIgnored guards against a peer whose clock is ahead: its marks would override all later lists.
func TestMarksFromFutureAreIgnored(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	poller := NewPoller(PollerOptions{})
	c.Check(poller.receive([]mark{{instance: 1, asOf: now.Add(2 * maxClockSkew)}}, now), qt.IsFalse)
	c.Check(poller.receive([]mark{{instance: 1, asOf: now}}, now), qt.IsTrue)
}

// TestNewestMarkCounts receives marks of a server out of order and then reads a list that is newer than some of them: the newest
// mark must still apply, until a list is newer than that.
func TestNewestMarkCounts(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	vm := VM{ID: "0", Address: "a:1", Role: RoleServer, State: StateLive}
	poller := NewPoller(PollerOptions{})
	for _, second := range []time.Duration{0, 2, 1} {
		poller.receive([]mark{newMark(serverOf(vm), at.Add(second*time.Second))}, at)
	}
	poller.apply(Fetched{List: List{AsOf: at.Add(time.Second), VMs: []VM{vm}}})
	snapshot, _ := poller.Snapshot()
	c.Assert(snapshot.Servers[0].Leaving, qt.IsTrue)
	poller.apply(Fetched{List: List{AsOf: at.Add(3 * time.Second), VMs: []VM{vm}}})
	snapshot, _ = poller.Snapshot()
	c.Assert(snapshot.Servers[0].Leaving, qt.IsFalse)
}

func TestSharedMarksAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := marks{newer: make(map[instance]time.Time)}
	for i := range maxShared + 10 {
		m.share(mark{instance: instance(i), asOf: now}, now)
	}
	payload, version := m.since(0, 5*markBytes+3, now)
	c.Assert(payload, qt.HasLen, 5*markBytes)
	rest, last := m.since(version, maxShared*markBytes, now)
	c.Assert(rest, qt.HasLen, (maxShared-5)*markBytes)
	c.Assert(last, qt.Equals, uint64(maxShared+10))
	first, err := decodeMarks(payload)
	c.Assert(err, qt.IsNil)
	c.Assert(first[0].instance, qt.Equals, instance(10))
	later, _ := m.since(0, maxShared*markBytes, now.Add(shareFor))
	c.Assert(later, qt.HasLen, 0)
}

func FuzzMarks(f *testing.F) {
	f.Add([]byte("0123456789abcdef"))
	f.Add([]byte("0123"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		poller := NewPoller(PollerOptions{})
		news, err := poller.Topic().Merge(peer.Member{}, payload)
		if err != nil && (news || len(poller.marks.newer) > 0) {
			t.Fatal("marks of a bad payload were applied")
		}
	})
}
