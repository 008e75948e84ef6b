package limit

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRoomIsNotOverfilled lets nodes that all see the same take all of their room at once: beyond equal parts of the
// slots, they take no more together than what is free.
func TestRoomIsNotOverfilled(t *testing.T) {
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
			room := MaxInFlight(MaxInFlightInput{Slots: float64(slots), Own: float64(n), Others: float64(total - n), Nodes: nodes})
			if room < equalPart {
				t.Fatalf("a node has room for %d, less than its equal part %d", room, equalPart)
			}
			beyond += max(room-max(equalPart, n), 0)
		}
		if free := max(allowed-float64(total), 0); float64(beyond) > free {
			t.Fatalf("%d requests beyond equal parts, while %.1f are free", beyond, free)
		}
	})
}

func TestRoomOfOneNode(t *testing.T) {
	qt.Assert(t, MaxInFlight(MaxInFlightInput{Slots: 10, Nodes: 1}), qt.Equals, 15)
	qt.Assert(t, MaxInFlight(MaxInFlightInput{Slots: 10, Own: 15, Nodes: 1}), qt.Equals, 15)
	qt.Assert(t, MaxInFlight(MaxInFlightInput{Slots: 10, Others: 15, Nodes: 2}), qt.Equals, 7)
	qt.Assert(t, MaxInFlight(MaxInFlightInput{Slots: 10, Own: 9, Others: 0, Nodes: 2}), qt.Equals, 12)
}
