package holdtime

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestUpperBoundCoversMostRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var slotTime SlotTime
	qt.Assert(t, slotTime.UpperBound(), qt.Equals, defaultSlotTime)
	const count = 20_000
	within := 0
	for range count {
		took := time.Duration(random.ExpFloat64() * float64(time.Second))
		if took <= slotTime.UpperBound() {
			within++
		}
		slotTime.Add(took)
	}
	qt.Assert(t, within >= count*85/100, qt.IsTrue, qt.Commentf("%d of %d", within, count))
	qt.Assert(t, slotTime.Mean() > 500*time.Millisecond, qt.IsTrue)
	qt.Assert(t, slotTime.Mean() < 2*time.Second, qt.IsTrue)
}

func TestSlotTimeFollowsChange(t *testing.T) {
	var slotTime SlotTime
	for range 20 {
		slotTime.Add(20 * time.Second)
	}
	for range 40 {
		slotTime.Add(100 * time.Millisecond)
	}
	qt.Assert(t, slotTime.UpperBound() < time.Second, qt.IsTrue, qt.Commentf("%s", slotTime.UpperBound()))
}

// TestOneSlowRequestRejectsNoOther checks that a first request that takes its full timeout doesn't raise UpperBound to that timeout.
func TestOneSlowRequestRejectsNoOther(t *testing.T) {
	for _, deadline := range []time.Duration{4 * time.Second, 15 * time.Second, 2 * time.Minute} {
		var hold SlotTime
		hold.Add(deadline)
		qt.Check(t, hold.UpperBound() < deadline, qt.IsTrue, qt.Commentf("%s of %s", hold.UpperBound(), deadline))
	}
}
