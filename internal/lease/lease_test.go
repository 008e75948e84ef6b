package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/lease"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// nodes are several nodes that want the same duty.
type nodes struct {
	*qt.C
	service *kvfake.Service
	leases  []*lease.Lease
	wanted  []*atomic.Bool
	ctx     context.Context
	cancel  context.CancelFunc
	ended   chan error
}

func start(c *qt.C, count int) *nodes {
	n := &nodes{C: c, service: kvfake.New(), ended: make(chan error, count)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for i := range count {
		wanted := new(atomic.Bool)
		wanted.Store(true)
		l := lease.New(lease.Options{
			Store:       n.service.Store(),
			Service:     "despacho",
			Duty:        "fold",
			Node:        api.NodeID(fmt.Sprintf("n%d", i)),
			IsCandidate: wanted.Load,
			Rand:        rand.New(rand.NewPCG(uint64(i), 1)),
			Log:         &log.Logger{Handler: discard.New()},
		})
		n.leases, n.wanted = append(n.leases, l), append(n.wanted, wanted)
		go func() { n.ended <- l.Run(n.ctx) }()
	}
	return n
}

func (n *nodes) stop() {
	n.cancel()
	for range n.leases {
		<-n.ended
	}
	n.service.Wait()
}

// holder returns the index and the fencing number of the only holder, or -1.
func (n *nodes) holder() (int, lease.Fencing) {
	holder, number := -1, lease.Fencing(0)
	for i, l := range n.leases {
		fencing, remaining, ok := l.Held(time.Now())
		if !ok {
			continue
		}
		n.Assert(holder, qt.Equals, -1, qt.Commentf("two holders"))
		n.Assert(remaining > 0 && remaining <= lease.DefaultTTL, qt.IsTrue)
		holder, number = i, fencing
	}
	return holder, number
}

func (n *nodes) awaitHolder(limit time.Duration) (int, lease.Fencing) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		time.Sleep(100 * time.Millisecond)
		if holder, fencing := n.holder(); holder >= 0 {
			return holder, fencing
		}
	}
	n.Fatalf("no holder within %s", limit)
	return -1, 0
}

func inBubble(t *testing.T, count int, f func(n *nodes)) {
	synctest.Test(t, func(t *testing.T) {
		n := start(qt.New(t), count)
		defer n.stop()
		f(n)
	})
}

func TestHandOver(t *testing.T) {
	inBubble(t, 3, func(n *nodes) {
		first, fencing := n.awaitHolder(2 * time.Second)
		time.Sleep(5 * time.Minute)
		same, unchanged := n.holder()
		n.Assert(same, qt.Equals, first)
		n.Assert(unchanged, qt.Equals, fencing)
		n.Assert(n.leases[first].Close(n.ctx), qt.IsNil)
		second, higher := n.awaitHolder(lease.DefaultTTL)
		n.Assert(second, qt.Not(qt.Equals), first)
		n.Assert(higher > fencing, qt.IsTrue)
		n.wanted[second].Store(false)
		time.Sleep(lease.DefaultTTL)
		third, highest := n.awaitHolder(lease.DefaultTTL)
		n.Assert(third, qt.Not(qt.Equals), second)
		n.Assert(highest > higher, qt.IsTrue)
	})
}

// TestOutageEndsTheLease has the holder stop by its own clock before the service ends its lease.
func TestOutageEndsTheLease(t *testing.T) {
	inBubble(t, 2, func(n *nodes) {
		first, fencing := n.awaitHolder(2 * time.Second)
		n.Assert(n.leases[first].Guard().Version > 0, qt.IsTrue)
		n.service.StartOutage(kvfake.FaultLoseRequest)
		time.Sleep(lease.DefaultTTL)
		holder, _ := n.holder()
		n.Assert(holder, qt.Equals, -1)
		n.service.EndOutage()
		_, higher := n.awaitHolder(2 * lease.DefaultTTL)
		n.Assert(higher > fencing, qt.IsTrue)
	})
}

// TestLostAnswerIsReadBack loses the answer to the write that takes the lease.
func TestLostAnswerIsReadBack(t *testing.T) {
	inBubble(t, 1, func(n *nodes) {
		n.service.FailNext(kvfake.CallWrite, kvfake.FaultLoseAnswer, 1)
		n.awaitHolder(2 * time.Second)
		n.Assert(n.service.Counts().Writes, qt.Equals, int64(1))
	})
}

// TestTimeCountsFromBeforeTheRequest has a slow service: what its calls take is not time that the lease is held.
func TestTimeCountsFromBeforeTheRequest(t *testing.T) {
	inBubble(t, 1, func(n *nodes) {
		const latency = 600 * time.Millisecond
		n.service.SetLatency(latency)
		<-n.leases[0].Changed()
		_, remaining, ok := n.leases[0].Held(time.Now())
		n.Assert(ok, qt.IsTrue)
		// The grant and the write of the holder.
		n.Assert(remaining < lease.DefaultTTL-2*latency, qt.IsTrue, qt.Commentf("%s", remaining))
		sent := n.service.Counts().Leases
		for n.service.Counts().Leases == sent {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(latency)
		_, remaining, _ = n.leases[0].Held(time.Now())
		n.Assert(remaining < lease.DefaultTTL-latency, qt.IsTrue, qt.Commentf("%s", remaining))
	})
}

// TestOlderServiceRaisesFencing restores the service to a state from before the holder's number.
func TestOlderServiceRaisesFencing(t *testing.T) {
	inBubble(t, 2, func(n *nodes) {
		snapshot := n.service.Snapshot()
		first, fencing := n.awaitHolder(2 * time.Second)
		n.service.Restore(snapshot)
		n.Assert(n.leases[first].Close(n.ctx), qt.IsNil)
		_, higher := n.awaitHolder(2 * lease.DefaultTTL)
		n.Assert(higher > fencing, qt.IsTrue)
	})
}

// TestNeverTwoHolders runs four nodes under random faults of the service.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(int(kvfake.FaultNone), int(kvfake.Faults)-1), 1, 60).Draw(rt, "faults")
		pauses := rapid.SliceOfN(rapid.IntRange(1, 40), 2, 4).Draw(rt, "pauses")
		latency := time.Duration(rapid.SampledFrom([]int{0, 1, 3}).Draw(rt, "latency")) * time.Second
		inBubble(t, 4, func(n *nodes) {
			n.service.SetLatency(latency)
			var next atomic.Int64
			n.service.SetFault(func(kvfake.CallKind) kvfake.Fault {
				return kvfake.Fault(faults[int(next.Add(1))%len(faults)])
			})
			highest, last := lease.Fencing(0), -1
			for _, seconds := range pauses {
				n.service.Pause()
				last, highest = n.observe(time.Duration(seconds)*time.Second, last, highest)
				n.service.Resume()
				last, highest = n.observe(20*time.Second, last, highest)
			}
			n.service.EndOutage()
			n.service.SetLatency(0)
			n.awaitHolder(kvfake.LateEffect + 3*lease.DefaultTTL)
		})
	})
}

// observe checks for a time that there is one holder at most and that another one's number is higher.
func (n *nodes) observe(d time.Duration, last int, highest lease.Fencing) (int, lease.Fencing) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(250 * time.Millisecond)
		holder, fencing := n.holder()
		if holder < 0 {
			continue
		}
		if holder == last {
			n.Assert(fencing >= highest, qt.IsTrue)
		} else {
			n.Assert(fencing > highest, qt.IsTrue)
		}
		last, highest = holder, fencing
	}
	return last, highest
}
