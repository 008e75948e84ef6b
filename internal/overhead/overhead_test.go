package overhead

import (
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkRequest compares a request through a node with the same one straight to the stand-in.
func BenchmarkRequest(b *testing.B) {
	r, err := newRig(b.Context(), "")
	qt.Assert(b, err, qt.IsNil)
	defer r.close()
	request := body(fastModel, false, answerTokens)
	for _, way := range []Way{WayDirect, WayNode} {
		b.Run(string(way), func(b *testing.B) {
			b.ReportAllocs()
			id := 0
			for b.Loop() {
				id++
				if err := r.ask(b.Context(), way, id, request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestTargetsCanBeMissed(t *testing.T) {
	good := Result{AddedP50: MaxAddedP50, AddedP99: MaxAddedP99, AddedStreamBytes: MaxAddedStreamBytes}
	qt.Assert(t, good.Broken(), qt.HasLen, 0)
	bad := Result{
		AddedP50: MaxAddedP50 + 1, AddedP99: MaxAddedP99 + 1, AddedStreamBytes: MaxAddedStreamBytes + 1, Node: Side{Errors: 1},
	}
	qt.Assert(t, bad.Broken(), qt.HasLen, 4)
}

func TestMeasureCountsBothWays(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	result, err := Measure(t.Context(), Options{Rate: 50, Streams: 5, Duration: time.Second, Sequential: 20})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.Direct.Count, qt.Equals, int64(50))
	qt.Assert(t, result.Node.Count, qt.Equals, int64(50))
	qt.Assert(t, result.Direct.Errors+result.Node.Errors, qt.Equals, int64(0))
	// The node stands between caller and stand-in on one way only, and both ways' streams are open when memory is read.
	qt.Assert(t, result.Node.Allocations > result.Direct.Allocations, qt.IsTrue)
	qt.Assert(t, result.Direct.OpenStreams, qt.Equals, 5)
	qt.Assert(t, result.Node.OpenStreams, qt.Equals, 5)
	qt.Assert(t, result.AddedStreamBytes, qt.Equals, result.Node.StreamBytes-result.Direct.StreamBytes)
}

func TestInUseCountsWhatIsHeld(t *testing.T) {
	const held = 64 << 20
	before := inUse()
	block := make([]byte, held)
	during := inUse()
	runtime.KeepAlive(block)
	qt.Assert(t, during-before > held/2, qt.IsTrue)
	qt.Assert(t, inUse() < during-held/2, qt.IsTrue)
}
