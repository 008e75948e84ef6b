package limit

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMaxInFlightDoesNotExceedFreeCapacity guards against nodes that fill the same free slots: if all nodes see the same load and go to
// their limit at once, the requests above their equal parts must not exceed the free capacity.
func TestMaxInFlightDoesNotExceedFreeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 20).Draw(t, "nodes")
		slots := rapid.IntRange(0, 400).Draw(t, "slots")
		own := rapid.SliceOfN(rapid.IntRange(0, 40), nodes, nodes).Draw(t, "own")
		total := 0
		for _, n := range own {
			total += n
		}
		allowed := float64(slots) * overcommit
		equalPart := int(allowed / float64(nodes))
		beyond := 0
		for _, n := range own {
			nodeLimit := MaxInFlight(MaxInFlightInput{Slots: float64(slots), Own: float64(n), Others: float64(total - n), Nodes: nodes})
			if nodeLimit < equalPart {
				t.Fatalf("a node may have %d requests, less than its equal part %d", nodeLimit, equalPart)
			}
			beyond += max(nodeLimit-max(equalPart, n), 0)
		}
		if free := max(allowed-float64(total), 0); float64(beyond) > free {
			t.Fatalf("%d requests above equal parts, while %.1f slots are free", beyond, free)
		}
	})
}

func TestMaxInFlightValues(t *testing.T) {
	qt.Assert(t, MaxInFlight(MaxInFlightInput{Slots: 10, Nodes: 1}), qt.Equals, 15)
	qt.Assert(t, MaxInFlight(MaxInFlightInput{Slots: 10, Own: 15, Nodes: 1}), qt.Equals, 15)
	qt.Assert(t, MaxInFlight(MaxInFlightInput{Slots: 10, Others: 15, Nodes: 2}), qt.Equals, 7)
	qt.Assert(t, MaxInFlight(MaxInFlightInput{Slots: 10, Own: 9, Others: 0, Nodes: 2}), qt.Equals, 12)
}
