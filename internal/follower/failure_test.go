package follower_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/follower"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var small = clusterOptions{nodes: 8, domains: 4}

// inCluster runs a test on a small cluster whose nodes have discovered each other.
func inCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, small)
		defer c.close()
		time.Sleep(settleTime)
		test(t, c)
		c.checkNoRevert()
	})
}

// countServiceState returns the number of nodes that report a service state.
func (c *cluster) countServiceState(state follower.ServiceState) int {
	count := 0
	for _, n := range c.nodes {
		if n.follower.Status().Service == state {
			count++
		}
	}
	return count
}

func TestServiceRestoredToOlderRevision(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.accept(c.nodes[0], "a")
		old := c.service.Snapshot()
		var newest api.Revision
		for i := range 200 {
			newest, _ = c.accept(c.nodes[0], fmt.Sprint("x", i%10))
		}
		c.waitInForce(newest, maxPropagation)

		c.service.Restore(old)
		c.service.SetFault(func(kind kvfake.CallKind) kvfake.Fault {
			if kind == kvfake.CallWrite {
				return kvfake.FaultNoLeader
			}
			return kvfake.FaultNone
		})
		time.Sleep(5 * time.Second)
		qt.Assert(t, c.inForce(newest), qt.IsTrue)
		qt.Assert(t, c.countServiceState(follower.ServiceOlder) > 0, qt.IsTrue)

		c.service.EndOutage()
		time.Sleep(20 * time.Second)
		qt.Assert(t, c.countServiceState(follower.ServiceOlder), qt.Equals, 0)
		head, err := c.changes.Head(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, head.Revision, qt.Equals, newest)
		next, _ := c.accept(c.nodes[3], "after")
		qt.Assert(t, next, qt.Equals, newest+1)
		c.waitInForce(next, maxPropagation)
	})
}

func TestServiceRestoredEmpty(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		empty := kvfake.New().Snapshot()
		var newest api.Revision
		for i := range 20 {
			newest, _ = c.accept(c.nodes[0], fmt.Sprint("x", i))
		}
		// A restarted node has the newest state but not the deltas that led to it.
		for i := range c.nodes {
			c.restart(i, 1)
			time.Sleep(3 * time.Second)
		}
		c.waitInForce(newest, 10*time.Second)
		c.service.Restore(empty)
		time.Sleep(20 * time.Second)
		next, _ := c.accept(c.nodes[3], "after")
		qt.Assert(t, next, qt.Equals, newest+1)
		c.waitInForce(next, maxPropagation)
		anew, err := acceptance.New(c.changes, nil, quiet).State(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, anew.Config, qt.DeepEquals, c.nodes[0].follower.Current())
	})
}

// TestServiceForked checks that nodes report a fork and keep their configuration when a service restored to an older
// revision accepts another change under a revision in force. Only a client that bypasses the nodes can cause this.
func TestServiceForked(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		old := c.service.Snapshot()
		newest, _ := c.accept(c.nodes[0], "a")
		c.waitInForce(newest, maxPropagation)
		for _, n := range c.nodes {
			n.gate.close()
		}
		c.service.Restore(old)
		_, err := acceptance.New(c.changes, nil, quiet).Accept(t.Context(), newChange(1, "b"))
		qt.Assert(t, err, qt.IsNil)
		for _, n := range c.nodes {
			n.gate.open()
		}
		time.Sleep(settleTime)
		qt.Assert(t, c.countServiceState(follower.ServiceForked) > 0, qt.IsTrue)
		for _, n := range c.nodes {
			qt.Assert(t, n.follower.State().ChangeID, qt.Equals, c.nodes[0].follower.State().ChangeID)
		}

		// The operator keeps the nodes' history and deletes the log in the service.
		store := c.service.Store()
		keys, err := store.List(t.Context(), kv.ListOptions{Prefix: configlog.DefaultPrefix})
		qt.Assert(t, err, qt.IsNil)
		var deletes []kv.Op
		for _, pair := range keys.Pairs {
			deletes = append(deletes, kv.Op{Kind: kv.OpDelete, Key: pair.Key})
		}
		_, err = store.Commit(t.Context(), kv.Txn{Then: deletes})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(settleTime)
		qt.Assert(t, c.countServiceState(follower.ServiceForked), qt.Equals, 0)
		next, _ := c.accept(c.nodes[3], "c")
		qt.Assert(t, next, qt.Equals, newest+1)
		c.waitInForce(next, maxPropagation)
	})
}

func TestWatchGaps(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		random := rand.New(rand.NewPCG(1, 1))
		var newest api.Revision
		for i := range 50 {
			if random.IntN(3) == 0 {
				c.service.SkipWatchBatches(1)
			}
			// The acceptor has no local node, so that no follower receives the delta directly.
			change := newChange(api.Revision(i+1), fmt.Sprint("x", i))
			revision, err := acceptance.New(c.changes, nil, quiet).Accept(t.Context(), change)
			qt.Assert(t, err, qt.IsNil)
			newest = revision
			time.Sleep(100 * time.Millisecond)
		}
		c.waitInForce(newest, 15*time.Second)
	})
}

func TestCompactionWhileNodeIsDown(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		down := c.nodes[1]
		c.kill(down)
		for i := range 600 {
			c.accept(c.nodes[0], fmt.Sprint("x", i%10))
		}
		head, err := c.changes.Head(t.Context())
		qt.Assert(t, err, qt.IsNil)
		state := c.nodes[0].follower.State()
		_, err = c.changes.WriteSnapshot(t.Context(), head, state, 5)
		qt.Assert(t, err, qt.IsNil)
		c.service.Compact(c.service.Revision())
		c.service.DropWatches()
		c.nodes[1] = c.start(1, 1)
		c.waitInForce(state.Revision(), 10*time.Second)
		next, _ := c.accept(c.nodes[1], "after")
		c.waitInForce(next, maxPropagation)
	})
}

func TestStartDuringServiceOutage(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		newest, _ := c.accept(c.nodes[0], "a")
		c.waitInForce(newest, maxPropagation)
		c.service.StartOutage(kvfake.FaultHang)
		for i := range 4 {
			c.restart(i, 1)
		}
		c.waitInForce(newest, 5*time.Second)
		// After the outage, a later change reaches the restarted nodes too.
		c.service.EndOutage()
		time.Sleep(10 * time.Second)
		next, _ := c.accept(c.nodes[0], "b")
		c.waitInForce(next, maxPropagation)
	})
}

// TestRegionPartition cuts half of the nodes from the service and from the other half for an hour.
func TestRegionPartition(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		for i := range 4 {
			c.nodes[i].gate.close()
			for j := 4; j < 8; j++ {
				c.network.Cut(ipOf(i), ipOf(j))
			}
		}
		minutes := 60
		if testing.Short() {
			minutes = 10
		}
		var newest api.Revision
		for i := range minutes {
			newest, _ = c.accept(c.nodes[5], fmt.Sprint("x", i))
			time.Sleep(time.Minute)
		}
		qt.Assert(t, c.nodes[0].follower.Revision(), qt.Equals, api.Revision(1))
		_, err := c.nodes[0].acceptor.Accept(t.Context(), newChange(1, "y"))
		qt.Assert(t, acceptance.IsErrUnavailable(err), qt.IsTrue)
		for i := range 4 {
			c.nodes[i].gate.open()
			for j := 4; j < 8; j++ {
				c.network.Heal(ipOf(i), ipOf(j))
			}
		}
		c.waitInForce(newest, maxPropagationInOutage)
	})
}

// TestSilentConnections makes every open connection between nodes drop all data without closing, during a service outage.
func TestSilentConnections(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		for i := range c.nodes {
			for j := range i {
				c.network.Silence(ipOf(i), ipOf(j))
			}
		}
		newest, _ := c.accept(c.nodes[0], "a")
		c.service.StartOutage(kvfake.FaultNoLeader)
		c.waitInForce(newest, maxPropagationInOutage)
	})
}

// TestRacingOperatorsOnNodes submits changes on several nodes at once while nodes restart and answers of the service are
// lost, and checks that each revision was reported as accepted for exactly one change.
func TestRacingOperatorsOnNodes(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		random := rand.New(rand.NewPCG(7, 7))
		faults := rand.New(rand.NewPCG(8, 8))
		c.service.SetFault(func(kind kvfake.CallKind) kvfake.Fault {
			if kind == kvfake.CallWrite && faults.IntN(5) == 0 {
				return kvfake.FaultLoseResponse
			}
			return kvfake.FaultNone
		})
		acceptedBy := make(map[api.Revision]int)
		for round := range 40 {
			results := make(chan api.Revision, 3)
			for operator := range 3 {
				n := c.nodes[random.IntN(len(c.nodes))]
				go func() {
					revision, _ := n.acceptor.Accept(t.Context(), newChange(n.follower.Revision(), fmt.Sprint("x", operator)))
					results <- revision
				}()
			}
			for range 3 {
				if revision := <-results; revision > 0 {
					acceptedBy[revision]++
				}
			}
			if round%10 == 9 {
				c.restart(random.IntN(len(c.nodes)), round)
			}
			time.Sleep(500 * time.Millisecond)
		}
		c.service.EndOutage()
		head, err := c.changes.Head(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(acceptedBy), qt.Equals, int(head.Revision)-1)
		for revision, n := range acceptedBy {
			qt.Assert(t, n, qt.Equals, 1, qt.Commentf("revision %d", revision))
		}
		c.waitInForce(head.Revision, 5*time.Second)
	})
}
