package billing_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// billStep is one action of a random run.
type billStep struct {
	Act   string
	Node  int
	Count int
	Wait  time.Duration
}

// TestEachLineIsBilledOnce adds lines while nodes crash, stop and are wrongly considered failed, calls to peers fail and
// the key-value service fails in every way. A line that a peer held must be billed exactly once whatever happens to its
// node, and no line may be billed twice.
func TestEachLineIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) billStep {
			return billStep{
				Act:   rapid.SampledFrom([]string{"add", "add", "add", "crash", "stop", "suspect", "clear", "peer", "fault", "pause"}).Draw(rt, "act"),
				Node:  rapid.IntRange(0, 2).Draw(rt, "node"),
				Count: rapid.IntRange(1, 6).Draw(rt, "count"),
				Wait:  time.Duration(rapid.SampledFrom([]int{0, 1, 6, 12}).Draw(rt, "wait")) * time.Second,
			}
		}), 1, 40).Draw(rt, "steps")
		fault := ""
		inBubble(t, 3, func(s *system) { fault = runBillSteps(s, steps) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// runBillSteps returns a description of a line that was billed wrongly, or an empty string.
func runBillSteps(s *system, steps []billStep) string {
	ctx := context.Background()
	added, protected := 0, map[api.Service]bool{}
	for _, step := range steps {
		n := s.nodes[step.Node]
		switch step.Act {
		case "add":
			for range step.Count {
				added++
				before := n.biller.Stats().Unprotected
				l := line(added)
				s.Assert(n.biller.Add(ctx, l), qt.IsNil)
				protected[l.Service] = n.biller.Stats().Unprotected == before
			}
		case "crash":
			s.restart(step.Node)
			// A second crash before the peer has written the lines would lose them; the guarantee covers one crash at a time.
			s.service.Resume()
			s.service.EndOutage()
			s.mu.Lock()
			s.suspects, s.failingHolds = map[api.NodeID]bool{}, 0
			s.mu.Unlock()
			time.Sleep(40 * time.Second)
		case "stop":
			s.service.Resume()
			s.service.EndOutage()
			s.Assert(n.biller.Close(ctx), qt.IsNil)
			s.restart(step.Node)
			time.Sleep(40 * time.Second)
		case "suspect", "clear":
			s.mu.Lock()
			s.suspects[n.name] = step.Act == "suspect"
			s.mu.Unlock()
		case "peer":
			s.mu.Lock()
			s.failingHolds = step.Count
			s.mu.Unlock()
		case "fault":
			s.service.FailNext(kvfake.CallWrite, kvfake.Fault(step.Count%int(kvfake.Faults)), step.Count)
		case "pause":
			s.service.Pause()
			time.Sleep(step.Wait)
			s.service.Resume()
		}
		time.Sleep(step.Wait)
	}
	s.service.EndOutage()
	s.mu.Lock()
	s.suspects, s.failingHolds = map[api.NodeID]bool{}, 0
	s.mu.Unlock()
	time.Sleep(time.Minute)
	counts := s.billed()
	for service, isProtected := range protected {
		if counts[service] > 1 || isProtected && counts[service] == 0 {
			return fmt.Sprintf("%s billed %d times", service, counts[service])
		}
	}
	return ""
}
