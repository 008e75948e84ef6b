package tunnel_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/tunnel"
)

var start = time.Unix(1_700_000_000, 0)

// TestOneLostPathLeavesTheOthers checks that other servers are still reached directly, and that the lost path is tried again at intervals.
func TestOneLostPathLeavesTheOthers(t *testing.T) {
	var paths tunnel.Paths
	qt.Assert(t, paths.Plan("a", start), qt.Equals, tunnel.Plan{})
	qt.Assert(t, paths.Lost("a", tunnel.Refused, start), qt.IsTrue)
	qt.Assert(t, paths.Lost("a", tunnel.Refused, start), qt.IsFalse)
	qt.Assert(t, paths.Plan("a", start), qt.Equals, tunnel.Plan{IsLost: true})
	qt.Assert(t, paths.Plan("b", start), qt.Equals, tunnel.Plan{})
	qt.Assert(t, paths.IsLost("b"), qt.IsFalse)
	later := start.Add(time.Second)
	qt.Assert(t, paths.Plan("a", later), qt.Equals, tunnel.Plan{IsLost: true, IsProbe: true})
	qt.Assert(t, paths.Plan("a", later), qt.Equals, tunnel.Plan{IsLost: true})
	qt.Assert(t, paths.Opened("a"), qt.IsTrue)
	qt.Assert(t, paths.Plan("a", later), qt.Equals, tunnel.Plan{})
}

// TestLossOfAllPaths checks that all paths count as lost after several losses in a row, until a connection is opened, and that one path at a time is tried
// meanwhile.
func TestLossOfAllPaths(t *testing.T) {
	var paths tunnel.Paths
	paths.Lost("a", tunnel.Silent, start)
	paths.Opened("c")
	paths.Lost("b", tunnel.Silent, start)
	qt.Assert(t, paths.AreAllLost(), qt.IsFalse, qt.Commentf("a connection was opened in between"))
	paths.Lost("d", tunnel.Silent, start)
	qt.Assert(t, paths.AreAllLost(), qt.IsTrue)
	qt.Assert(t, paths.IsSilent("e"), qt.IsTrue)
	probes := 0
	for i := range 100 {
		plan := paths.Plan(fmt.Sprint("server-", i), start.Add(time.Second+time.Duration(i)*time.Millisecond))
		qt.Assert(t, plan.IsLost, qt.IsTrue)
		if plan.IsProbe {
			probes++
		}
	}
	qt.Assert(t, probes, qt.Equals, 1)
	qt.Assert(t, paths.Opened("e"), qt.IsTrue)
	qt.Assert(t, paths.AreAllLost(), qt.IsFalse)
	qt.Assert(t, paths.Plan("e", start.Add(time.Second)), qt.Equals, tunnel.Plan{})
}

// TestOpenConnectionsOutliveRefusals checks that open connections are still used where only new ones are refused.
func TestOpenConnectionsOutliveRefusals(t *testing.T) {
	var paths tunnel.Paths
	for _, address := range []string{"a", "b", "c"} {
		paths.Lost(address, tunnel.Refused, start)
		qt.Assert(t, paths.IsSilent(address), qt.IsFalse)
	}
	qt.Assert(t, paths.AreAllLost(), qt.IsTrue)
	qt.Assert(t, paths.IsSilent("d"), qt.IsFalse)
	paths.Lost("c", tunnel.Silent, start)
	qt.Assert(t, paths.IsSilent("c"), qt.IsTrue)
}

// TestPathsThatOpenAreNeverLost draws losses and opened connections of a few servers: a path over which a connection was opened last isn't lost, and no path is
// unless there was a loss.
func TestPathsThatOpenAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var paths tunnel.Paths
		now, hasLoss := start, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			address := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "wait")) * time.Millisecond)
			if rapid.Bool().Draw(t, "is lost") {
				paths.Lost(address, rapid.SampledFrom([]tunnel.Loss{tunnel.Refused, tunnel.Silent}).Draw(t, "loss"), now)
				hasLoss = true
				continue
			}
			paths.Opened(address)
			if paths.IsLost(address) || paths.IsSilent(address) || paths.AreAllLost() {
				t.Fatalf("%s counts as lost after a connection was opened", address)
			}
			if plan := paths.Plan(address, now); plan.IsLost {
				t.Fatalf("plan %+v", plan)
			}
		}
		if !hasLoss && paths.Plan("a", now).IsLost {
			t.Fatal("path lost without a loss")
		}
	})
}
