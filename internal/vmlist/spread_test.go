package vmlist_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/fake/listnodes"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fake/vmlistfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	slowServers = 200
	// slowBytesPerSecond makes the list of slowServers be read about once a minute.
	slowBytesPerSecond = 20
	// ownReading is more than the time between two readings of one node.
	ownReading = 90 * time.Second
	// settle is the time in which the nodes find each other.
	settle = 30 * time.Second
	// spreadTime is the time in which a mark reaches every node that can be reached.
	spreadTime = 2 * time.Second
)

// readers are nodes that read a list slowly.
type readers struct {
	*qt.C
	*listnodes.Group
	network *memnet.Network
	list    *vmlistfake.Service
}

// withReaders runs f with eight nodes in two failure domains that have read the list and know each other.
func withReaders(t *testing.T, f func(r *readers)) {
	synctest.Test(t, func(t *testing.T) {
		r := &readers{C: qt.New(t), network: memnet.New(), list: vmlistfake.New()}
		for i := range slowServers {
			r.list.Put(server(fmt.Sprintf("server-%03d", i)))
		}
		group, err := listnodes.Start(listnodes.Options{
			Network: r.network, VMList: r.list, Nodes: 8, Domains: 2, BytesPerSecond: slowBytesPerSecond,
		})
		r.Assert(err, qt.IsNil)
		defer group.Close()
		r.Group = group
		time.Sleep(settle)
		f(r)
	})
}

func (r *readers) leave(number int) {
	r.list.SetState(fmt.Sprintf("server-%03d", number), vmlist.StateLeaving)
}

// showing counts the nodes that show a server as leaving.
func (r *readers) showing(number int) int {
	shown := 0
	for i := range r.Nodes {
		if r.isLeaving(i, number) {
			shown++
		}
	}
	return shown
}

func (r *readers) isLeaving(node, number int) bool {
	snapshot, _ := r.Nodes[node].Snapshot()
	i := slices.IndexFunc(snapshot.Servers, func(s fleet.Server) bool { return s.ID == api.ServerID(fmt.Sprintf("server-%03d", number)) })
	return i >= 0 && snapshot.Servers[i].Leaving
}

// waitFor waits until some nodes show a server as leaving.
func (r *readers) waitFor(number, nodes int, within time.Duration) {
	end := time.Now().Add(within)
	for r.showing(number) < nodes {
		r.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%d of %d nodes show that server %d leaves", r.showing(number), nodes, number))
		time.Sleep(10 * time.Millisecond)
	}
}

// isolate changes a node's links to all others.
func (r *readers) isolate(node int, change func(a, b string)) {
	for _, other := range r.Nodes {
		if other != r.Nodes[node] {
			change(r.Nodes[node].IP, other.IP)
		}
	}
}

// told sums how often nodes told of a server.
func (r *readers) told() int64 {
	told := int64(0)
	for _, node := range r.Nodes {
		told += node.Metrics.Get("vmlist.leaving_told").(metrics.Counter).Count()
	}
	return told
}

// TestLeavingIsPassedOn has servers leave one after the other: whoever reads it first tells the others, and nobody tells it anew.
func TestLeavingIsPassedOn(t *testing.T) {
	withReaders(t, func(r *readers) {
		for number := range 5 {
			r.leave(number)
			r.waitFor(number, 1, ownReading)
			r.waitFor(number, len(r.Nodes), spreadTime)
		}
		// Two nodes may read of a server at the same moment, but none tells of it once it knows.
		told := r.told()
		r.Assert(told >= 5, qt.IsTrue)
		time.Sleep(2 * ownReading)
		r.Assert(r.told(), qt.Equals, told)
	})
}

// TestCutOffNodeReadsItself cuts a node off from the others: it learns of a server by its own reading, and from its peers what
// happens once it is back.
func TestCutOffNodeReadsItself(t *testing.T) {
	withReaders(t, func(r *readers) {
		r.isolate(0, r.network.Cut)
		r.leave(1)
		r.waitFor(1, len(r.Nodes), ownReading)
		r.isolate(0, r.network.Heal)
		time.Sleep(3 * time.Minute)
		r.leave(2)
		r.waitFor(2, 1, ownReading)
		r.waitFor(2, len(r.Nodes), spreadTime)
	})
}

// TestReadersDie lets all but two nodes lose the platform: the others hear from those two.
func TestReadersDie(t *testing.T) {
	withReaders(t, func(r *readers) {
		for _, node := range r.Nodes[2:] {
			r.network.Cut(node.IP, listnodes.VMListIP)
		}
		r.leave(3)
		r.waitFor(3, 1, ownReading)
		r.waitFor(3, len(r.Nodes), spreadTime)
		// Nothing that they read takes the mark back.
		time.Sleep(3 * ownReading)
		r.Assert(r.showing(3), qt.Equals, len(r.Nodes))
	})
}

// TestPausedNodeCatchesUp holds a node's connections for longer than marks are told.
func TestPausedNodeCatchesUp(t *testing.T) {
	withReaders(t, func(r *readers) {
		r.network.Pause(r.Nodes[4].IP)
		r.leave(5)
		r.waitFor(5, len(r.Nodes)-1, ownReading)
		time.Sleep(time.Minute)
		r.network.Resume(r.Nodes[4].IP)
		r.waitFor(5, len(r.Nodes), ownReading)
	})
}

// TestOlderListsTakeNothingBack has the platform answer as it was before for a while, as a lagging replica of it does.
func TestOlderListsTakeNothingBack(t *testing.T) {
	withReaders(t, func(r *readers) {
		r.leave(6)
		r.waitFor(6, 1, ownReading)
		r.waitFor(6, len(r.Nodes), spreadTime)
		r.list.SetLag(4 * time.Minute)
		for range 3 {
			time.Sleep(time.Minute)
			r.Assert(r.showing(6), qt.Equals, len(r.Nodes))
		}
		r.list.SetLag(0)
		time.Sleep(2 * ownReading)
		r.Assert(r.showing(6), qt.Equals, len(r.Nodes))
	})
}

// TestReturnedServerIsUsedAgain has a server back at its address: each node believes its own newer reading.
func TestReturnedServerIsUsedAgain(t *testing.T) {
	withReaders(t, func(r *readers) {
		r.leave(7)
		r.waitFor(7, 1, ownReading)
		r.waitFor(7, len(r.Nodes), spreadTime)
		r.list.SetState("server-007", vmlist.StateLive)
		time.Sleep(ownReading)
		r.Assert(r.showing(7), qt.Equals, 0)
	})
}

// TestWrongListHarmsOneNode has one node alone read that most servers leave.
func TestWrongListHarmsOneNode(t *testing.T) {
	withReaders(t, func(r *readers) {
		for _, node := range r.Nodes[1:] {
			r.network.Cut(node.IP, listnodes.VMListIP)
		}
		for number := range slowServers/4 + 1 {
			r.leave(number)
		}
		r.waitFor(0, 1, 2*ownReading)
		time.Sleep(ownReading)
		r.Assert(r.showing(0), qt.Equals, 1)
	})
}
