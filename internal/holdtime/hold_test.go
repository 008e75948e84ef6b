package holdtime

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestHoldLearnsWhatSlowOnesTake(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var hold SlotTime
	qt.Assert(t, hold.UpperBound(), qt.Equals, defaultHold)
	const count = 20_000
	within := 0
	for range count {
		took := time.Duration(random.ExpFloat64() * float64(time.Second))
		if took <= hold.UpperBound() {
			within++
		}
		hold.Add(took)
	}
	qt.Assert(t, within >= count*85/100, qt.IsTrue, qt.Commentf("%d of %d", within, count))
	qt.Assert(t, hold.Mean() > 500*time.Millisecond, qt.IsTrue)
	qt.Assert(t, hold.Mean() < 2*time.Second, qt.IsTrue)
}

func TestHoldFollowsAChange(t *testing.T) {
	var hold SlotTime
	for range 20 {
		hold.Add(20 * time.Second)
	}
	for range 40 {
		hold.Add(100 * time.Millisecond)
	}
	qt.Assert(t, hold.UpperBound() < time.Second, qt.IsTrue, qt.Commentf("%s", hold.UpperBound()))
}

// TestOneSlowRequestRefusesNoOther lets the first request last for its whole deadline.
func TestOneSlowRequestRefusesNoOther(t *testing.T) {
	for _, deadline := range []time.Duration{4 * time.Second, 15 * time.Second, 2 * time.Minute} {
		var hold SlotTime
		hold.Add(deadline)
		qt.Check(t, hold.UpperBound() < deadline, qt.IsTrue, qt.Commentf("%s of %s", hold.UpperBound(), deadline))
	}
}
