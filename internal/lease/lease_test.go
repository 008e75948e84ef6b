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

// contenders is a set of nodes that contend for the same duty.
type contenders struct {
	*qt.C
	service     *kvfake.Service
	leases      []*lease.Lease
	isCandidate []*atomic.Bool
	ctx         context.Context
	cancel      context.CancelFunc
	done        chan error
}

func start(c *qt.C, count int) *contenders {
	cs := &contenders{C: c, service: kvfake.New(), done: make(chan error, count)}
	cs.ctx, cs.cancel = context.WithCancel(context.Background())
	for i := range count {
		wanted := new(atomic.Bool)
		wanted.Store(true)
		l := lease.New(lease.Options{
			Store:       cs.service.Store(),
			Service:     "despacho",
			Duty:        "fold",
			Node:        api.NodeID(fmt.Sprintf("n%d", i)),
			IsCandidate: wanted.Load,
			Rand:        rand.New(rand.NewPCG(uint64(i), 1)),
			Log:         &log.Logger{Handler: discard.New()},
		})
		cs.leases, cs.isCandidate = append(cs.leases, l), append(cs.isCandidate, wanted)
		go func() { cs.done <- l.Run(cs.ctx) }()
	}
	return cs
}

func (cs *contenders) stop() {
	cs.cancel()
	for range cs.leases {
		<-cs.done
	}
	cs.service.Wait()
}

// holder returns the index and the fencing number of the holder, or -1 if there is none; it fails the test if there are two.
func (cs *contenders) holder() (int, lease.Fencing) {
	holder, number := -1, lease.Fencing(0)
	for i, l := range cs.leases {
		fencing, remaining, ok := l.Held(time.Now())
		if !ok {
			continue
		}
		cs.Assert(holder, qt.Equals, -1, qt.Commentf("two holders"))
		cs.Assert(remaining > 0 && remaining <= lease.DefaultTTL, qt.IsTrue)
		holder, number = i, fencing
	}
	return holder, number
}

// awaitHolder waits for a node to acquire the duty.
func (cs *contenders) awaitHolder(limit time.Duration) (int, lease.Fencing) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		time.Sleep(100 * time.Millisecond)
		if holder, fencing := cs.holder(); holder >= 0 {
			return holder, fencing
		}
	}
	cs.Fatalf("no holder within %s", limit)
	return -1, 0
}

func withContenders(t *testing.T, count int, f func(cs *contenders)) {
	synctest.Test(t, func(t *testing.T) {
		cs := start(qt.New(t), count)
		defer cs.stop()
		f(cs)
	})
}

// TestDutyMovesToAnotherNode closes the holder's lease, and then ends the candidacy of the next holder: each time another node must
// acquire the duty with a higher fencing number.
func TestDutyMovesToAnotherNode(t *testing.T) {
	withContenders(t, 3, func(cs *contenders) {
		first, fencing := cs.awaitHolder(2 * time.Second)
		time.Sleep(5 * time.Minute)
		same, unchanged := cs.holder()
		cs.Assert(same, qt.Equals, first)
		cs.Assert(unchanged, qt.Equals, fencing)
		cs.Assert(cs.leases[first].Close(cs.ctx), qt.IsNil)
		second, higher := cs.awaitHolder(lease.DefaultTTL)
		cs.Assert(second, qt.Not(qt.Equals), first)
		cs.Assert(higher > fencing, qt.IsTrue)
		cs.isCandidate[second].Store(false)
		time.Sleep(lease.DefaultTTL)
		third, highest := cs.awaitHolder(lease.DefaultTTL)
		cs.Assert(third, qt.Not(qt.Equals), second)
		cs.Assert(highest > higher, qt.IsTrue)
	})
}

// TestHolderStopsDuringOutage makes the service unreachable: the holder must consider the lease as lost by its own clock.
func TestHolderStopsDuringOutage(t *testing.T) {
	withContenders(t, 2, func(cs *contenders) {
		first, fencing := cs.awaitHolder(2 * time.Second)
		cs.Assert(cs.leases[first].Guard().Version > 0, qt.IsTrue)
		cs.service.StartOutage(kvfake.FaultLoseRequest)
		time.Sleep(lease.DefaultTTL)
		holder, _ := cs.holder()
		cs.Assert(holder, qt.Equals, -1)
		cs.service.EndOutage()
		_, higher := cs.awaitHolder(2 * lease.DefaultTTL)
		cs.Assert(higher > fencing, qt.IsTrue)
	})
}

// TestLostAnswerIsReadBack loses the response to the write that acquires the lease: the node must find out that the write took effect.
func TestLostAnswerIsReadBack(t *testing.T) {
	withContenders(t, 1, func(cs *contenders) {
		cs.service.FailNext(kvfake.CallWrite, kvfake.FaultLoseResponse, 1)
		cs.awaitHolder(2 * time.Second)
		cs.Assert(cs.service.Counts().Writes, qt.Equals, int64(1))
	})
}

// TestRemainingTimeExcludesCallLatency slows the service down: the latency of its calls must not count as time for which the lease is held.
func TestRemainingTimeExcludesCallLatency(t *testing.T) {
	withContenders(t, 1, func(cs *contenders) {
		const latency = 600 * time.Millisecond
		cs.service.SetLatency(latency)
		<-cs.leases[0].Changed()
		_, remaining, ok := cs.leases[0].Held(time.Now())
		cs.Assert(ok, qt.IsTrue)
		// Two calls: the grant and the write of the holder.
		cs.Assert(remaining < lease.DefaultTTL-2*latency, qt.IsTrue, qt.Commentf("%s", remaining))
		sent := cs.service.Counts().Leases
		for cs.service.Counts().Leases == sent {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(latency)
		_, remaining, _ = cs.leases[0].Held(time.Now())
		cs.Assert(remaining < lease.DefaultTTL-latency, qt.IsTrue, qt.Commentf("%s", remaining))
	})
}

// TestOlderServiceRaisesFencing restores the service to a state that lacks the holder's fencing number: the next holder must still get a
// higher one.
func TestOlderServiceRaisesFencing(t *testing.T) {
	withContenders(t, 2, func(cs *contenders) {
		snapshot := cs.service.Snapshot()
		first, fencing := cs.awaitHolder(2 * time.Second)
		cs.service.Restore(snapshot)
		cs.Assert(cs.leases[first].Close(cs.ctx), qt.IsNil)
		_, higher := cs.awaitHolder(2 * lease.DefaultTTL)
		cs.Assert(higher > fencing, qt.IsTrue)
	})
}

// TestNeverTwoHolders runs four nodes under random faults of the service: at most one may hold the duty at any time.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(int(kvfake.FaultNone), int(kvfake.Faults)-1), 1, 60).Draw(rt, "faults")
		pauses := rapid.SliceOfN(rapid.IntRange(1, 40), 2, 4).Draw(rt, "pauses")
		latency := time.Duration(rapid.SampledFrom([]int{0, 1, 3}).Draw(rt, "latency")) * time.Second
		withContenders(t, 4, func(cs *contenders) {
			cs.service.SetLatency(latency)
			var next atomic.Int64
			cs.service.SetFault(func(kvfake.CallKind) kvfake.Fault {
				return kvfake.Fault(faults[int(next.Add(1))%len(faults)])
			})
			highest, last := lease.Fencing(0), -1
			for _, seconds := range pauses {
				cs.service.Pause()
				last, highest = cs.observe(time.Duration(seconds)*time.Second, last, highest)
				cs.service.Resume()
				last, highest = cs.observe(20*time.Second, last, highest)
			}
			cs.service.EndOutage()
			cs.service.SetLatency(0)
			cs.awaitHolder(kvfake.EffectDelay + 3*lease.DefaultTTL)
		})
	})
}

// observe checks for the duration d that there is at most one holder and that a new holder has a higher fencing number.
func (cs *contenders) observe(d time.Duration, last int, highest lease.Fencing) (int, lease.Fencing) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(250 * time.Millisecond)
		holder, fencing := cs.holder()
		if holder < 0 {
			continue
		}
		if holder == last {
			cs.Assert(fencing >= highest, qt.IsTrue)
		} else {
			cs.Assert(fencing > highest, qt.IsTrue)
		}
		last, highest = holder, fencing
	}
	return last, highest
}
