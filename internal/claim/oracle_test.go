package claim_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
)

// step is one action of a random run.
type step struct {
	Node  int
	Key   string
	Wait  time.Duration
	Act   string
	Fault int
}

func drawSteps(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Node:  rapid.IntRange(0, 2).Draw(rt, "node"),
			Key:   rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(rt, "key"),
			Wait:  time.Duration(rapid.SampledFrom([]int{0, 0, 1, 30, 3000}).Draw(rt, "wait")) * time.Millisecond,
			Act:   rapid.SampledFrom([]string{"claim", "claim", "claim", "claim", "release", "restart", "pause", "resume", "fault"}).Draw(rt, "act"),
			Fault: rapid.IntRange(int(kvfake.FaultNone), int(kvfake.Faults)-1).Draw(rt, "fault"),
		}
	}), 1, 60).Draw(rt, "steps")
}

// grant is a key that only the given request may run.
type grant struct {
	claimer *claim.Claimer
	req     claim.Request
}

type outcome struct {
	grant
	claimed claim.Ownership
	err     error
}

// TestNeverTwoOwners lets three nodes claim a few keys while the key-value service and the calls between the nodes fail
// in every way and nodes restart. The oracle: a key that was granted and not released is never granted again.
func TestNeverTwoOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		inBubble(t, 3, claim.BatcherOptions{}, func(n *nodes) { runSteps(n, steps) })
	})
}

func runSteps(n *nodes, steps []step) {
	granted := map[string]grant{}
	outcomes := make(chan outcome, len(steps))
	waiting := 0
	record := func(o outcome) {
		waiting--
		if o.err != nil {
			n.Assert(o.err, qt.Satisfies, claim.IsErrUnavailable)
			return
		}
		key := string(o.req.Key)
		other, isTaken := granted[key]
		if o.claimed.IsNew {
			n.Assert(isTaken, qt.IsFalse, qt.Commentf("%s granted to %s and %s", key, other.req.RequestID, o.req.RequestID))
			granted[key] = o.grant
		}
	}
	var remote atomic.Int64
	n.nextFault = func() remoteFault {
		return remoteFault(steps[int(remote.Add(1))%len(steps)].Fault % 3)
	}
	for _, s := range steps {
		switch s.Act {
		case "claim":
			waiting++
			g := grant{claimer: n.claimers[s.Node], req: n.request(s.Key)}
			go func() {
				claimed, err := g.claimer.Claim(context.Background(), g.req)
				outcomes <- outcome{grant: g, claimed: claimed, err: err}
			}()
		case "release":
			if g, ok := granted[s.Key]; ok {
				delete(granted, s.Key)
				g.claimer.Release(g.req)
			}
		case "restart":
			n.restart(s.Node)
		case "pause":
			n.service.Pause()
		case "resume":
			n.service.Resume()
		case "fault":
			n.service.FailNext(kvfake.CallWrite, kvfake.Fault(s.Fault), 1)
		}
		time.Sleep(s.Wait)
		for len(outcomes) > 0 {
			record(<-outcomes)
		}
	}
	n.service.Resume()
	for waiting > 0 {
		record(<-outcomes)
	}
	checkSingleOwners(n)
}

// checkSingleOwners checks that each key has a single owner after all faults have ended.
func checkSingleOwners(n *nodes) {
	n.service.EndOutage()
	n.nextFault = func() remoteFault { return remoteWorks }
	time.Sleep(kvfake.EffectDelay + 2*claim.DefaultTimeout)
	for i := range 6 {
		key := fmt.Sprint(string(rune('a' + i)))
		owners := map[claim.Owner]bool{}
		for _, c := range n.claimers {
			claimed, err := c.Claim(context.Background(), n.request(key))
			n.Assert(err, qt.IsNil)
			owners[claimed.Owner] = true
		}
		n.Assert(owners, qt.HasLen, 1)
	}
}
