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
	// slowBytesPerSecond limits the rate so that a list of slowServers is read about once a minute.
	slowBytesPerSecond = 20
	// maxReadInterval is longer than the time between two reads of one node.
	maxReadInterval = 90 * time.Second
	// startupTime is enough for the nodes to discover each other.
	startupTime = 30 * time.Second
	// propagationTime is enough for a mark to reach every reachable node.
	propagationTime = 2 * time.Second
)

// readerNodes is a group of nodes that read a list at a low rate.
type readerNodes struct {
	*qt.C
	*listnodes.Group
	network *memnet.Network
	list    *vmlistfake.Service
}

// withReaders runs f with eight nodes in two failure domains that have read the list and discovered each other.
func withReaders(t *testing.T, f func(r *readerNodes)) {
	synctest.Test(t, func(t *testing.T) {
		r := &readerNodes{C: qt.New(t), network: memnet.New(), list: vmlistfake.New()}
		for i := range slowServers {
			r.list.Put(server(fmt.Sprintf("server-%03d", i)))
		}
		group, err := listnodes.Start(listnodes.Options{
			Network: r.network, VMList: r.list, Nodes: 8, Domains: 2, BytesPerSecond: slowBytesPerSecond,
		})
		r.Assert(err, qt.IsNil)
		defer group.Close()
		r.Group = group
		time.Sleep(startupTime)
		f(r)
	})
}

func (r *readerNodes) leave(number int) {
	r.list.SetState(fmt.Sprintf("server-%03d", number), vmlist.StateLeaving)
}

// countLeaving returns the number of nodes that show a server as leaving.
func (r *readerNodes) countLeaving(number int) int {
	shown := 0
	for i := range r.Nodes {
		if r.isLeaving(i, number) {
			shown++
		}
	}
	return shown
}

func (r *readerNodes) isLeaving(node, number int) bool {
	snapshot, _ := r.Nodes[node].Snapshot()
	i := slices.IndexFunc(snapshot.Servers, func(s fleet.Server) bool { return s.ID == api.ServerID(fmt.Sprintf("server-%03d", number)) })
	return i >= 0 && snapshot.Servers[i].Leaving
}

// waitFor waits until at least the given number of nodes show a server as leaving.
func (r *readerNodes) waitFor(number, nodes int, within time.Duration) {
	end := time.Now().Add(within)
	for r.countLeaving(number) < nodes {
		r.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%d of %d nodes show that server %d leaves", r.countLeaving(number), nodes, number))
		time.Sleep(10 * time.Millisecond)
	}
}

// isolate applies change, such as cutting, to a node's links with all others.
func (r *readerNodes) isolate(node int, change func(a, b string)) {
	for _, other := range r.Nodes {
		if other != r.Nodes[node] {
			change(r.Nodes[node].IP, other.IP)
		}
	}
}

// reported returns how many leaving servers the nodes reported to their peers, summed over the nodes.
func (r *readerNodes) reported() int64 {
	sum := int64(0)
	for _, node := range r.Nodes {
		sum += node.Metrics.Get("vmlist.leaving_told").(metrics.Counter).Count()
	}
	return sum
}

// TestLeavingReachesAllNodes makes servers leave one after the other: the first node that reads the change reports it to the others,
// and no node reports it again.
func TestLeavingReachesAllNodes(t *testing.T) {
	withReaders(t, func(r *readerNodes) {
		for number := range 5 {
			r.leave(number)
			r.waitFor(number, 1, maxReadInterval)
			r.waitFor(number, len(r.Nodes), propagationTime)
		}
		// Two nodes may read the same change at the same moment, but no node reports a server that it already knows to be leaving.
		reported := r.reported()
		r.Assert(reported >= 5, qt.IsTrue)
		time.Sleep(2 * maxReadInterval)
		r.Assert(r.reported(), qt.Equals, reported)
	})
}

// TestIsolatedNodeReadsList cuts a node off from the others: it sees a server leave by reading the list itself, and receives later
// changes from its peers once the connection is restored.
func TestIsolatedNodeReadsList(t *testing.T) {
	withReaders(t, func(r *readerNodes) {
		r.isolate(0, r.network.Cut)
		r.leave(1)
		r.waitFor(1, len(r.Nodes), maxReadInterval)
		r.isolate(0, r.network.Heal)
		time.Sleep(3 * time.Minute)
		r.leave(2)
		r.waitFor(2, 1, maxReadInterval)
		r.waitFor(2, len(r.Nodes), propagationTime)
	})
}

// TestNodesWithoutPlatformReceiveMarks cuts all but two nodes off from the platform: the others receive the marks of those two.
func TestNodesWithoutPlatformReceiveMarks(t *testing.T) {
	withReaders(t, func(r *readerNodes) {
		for _, node := range r.Nodes[2:] {
			r.network.Cut(node.IP, listnodes.VMListIP)
		}
		r.leave(3)
		r.waitFor(3, 1, maxReadInterval)
		r.waitFor(3, len(r.Nodes), propagationTime)
		// Later reads don't clear the mark.
		time.Sleep(3 * maxReadInterval)
		r.Assert(r.countLeaving(3), qt.Equals, len(r.Nodes))
	})
}

// TestPausedNodeCatchesUp pauses a node's connections for longer than marks are offered to peers.
func TestPausedNodeCatchesUp(t *testing.T) {
	withReaders(t, func(r *readerNodes) {
		r.network.Pause(r.Nodes[4].IP)
		r.leave(5)
		r.waitFor(5, len(r.Nodes)-1, maxReadInterval)
		time.Sleep(time.Minute)
		r.network.Resume(r.Nodes[4].IP)
		r.waitFor(5, len(r.Nodes), maxReadInterval)
	})
}

// TestOlderListsClearNoMarks makes the platform return older lists for some minutes, as a lagging replica does.
func TestOlderListsClearNoMarks(t *testing.T) {
	withReaders(t, func(r *readerNodes) {
		r.leave(6)
		r.waitFor(6, 1, maxReadInterval)
		r.waitFor(6, len(r.Nodes), propagationTime)
		r.list.SetLag(4 * time.Minute)
		for range 3 {
			time.Sleep(time.Minute)
			r.Assert(r.countLeaving(6), qt.Equals, len(r.Nodes))
		}
		r.list.SetLag(0)
		time.Sleep(2 * maxReadInterval)
		r.Assert(r.countLeaving(6), qt.Equals, len(r.Nodes))
	})
}

// TestReturnedServerIsUsedAgain brings a server back at its address: on each node its own newer list overrides the mark.
func TestReturnedServerIsUsedAgain(t *testing.T) {
	withReaders(t, func(r *readerNodes) {
		r.leave(7)
		r.waitFor(7, 1, maxReadInterval)
		r.waitFor(7, len(r.Nodes), propagationTime)
		r.list.SetState("server-007", vmlist.StateLive)
		time.Sleep(maxReadInterval)
		r.Assert(r.countLeaving(7), qt.Equals, 0)
	})
}

// TestWrongListAffectsOneNode lets only one node read a list on which more than a quarter of the servers are leaving: it must not
// report them to its peers.
func TestWrongListAffectsOneNode(t *testing.T) {
	withReaders(t, func(r *readerNodes) {
		for _, node := range r.Nodes[1:] {
			r.network.Cut(node.IP, listnodes.VMListIP)
		}
		for number := range slowServers/4 + 1 {
			r.leave(number)
		}
		r.waitFor(0, 1, 2*maxReadInterval)
		time.Sleep(maxReadInterval)
		r.Assert(r.countLeaving(0), qt.Equals, 1)
	})
}
