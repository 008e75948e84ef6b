package selfreport

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestSlotsKeepRejectionsWithinTheLimit draws fleets in which every node is rejected by one server as often as it may be while the server reports no room: in no
// second may the server reject more requests than it stands.
func TestSlotsKeepRejectionsWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, limit := rapid.IntRange(1, 300).Draw(t, "nodes"), rapid.IntRange(1, 20).Draw(t, "limit")
		offset := rapid.Float64Range(0, 1).Draw(t, "offset")
		begin := time.Unix(1_700_000_000, rapid.Int64Range(0, int64(time.Minute)).Draw(t, "begin"))
		brittle := make([]Brittleness, nodes)
		states := make([]State, nodes)
		for i := range nodes {
			brittle[i].Record(Report{HasBrittle: true, Brittle: Rate(limit)}, begin)
			// Each node was rejected before, so that it is careful.
			brittle[i].Rejected(begin)
		}
		var rejected []time.Time
		for at := begin; at.Sub(begin) < carefulTime; at = at.Add(10 * time.Millisecond) {
			for i := range nodes {
				turn := Turn{Rank: i, Nodes: nodes, Offset: offset}
				if states[i].CheckRoom(&brittle[i], 0, turn, at).Verdict != Admitted {
					continue
				}
				states[i].TakeRoom(0, at)
				states[i].Rejected(at)
				brittle[i].Rejected(at)
				rejected = append(rejected, at)
			}
		}
		first := 0
		for i, at := range rejected {
			for at.Sub(rejected[first]) >= time.Second {
				first++
			}
			if i-first+1 > limit {
				t.Fatalf("%d rejections in a second", i-first+1)
			}
		}
	})
}

// TestEveryNodeHasASlot checks that a careful node may ask each server again and again.
func TestEveryNodeHasASlot(t *testing.T) {
	var b Brittleness
	b.Record(Report{HasBrittle: true, Brittle: 4}, shareStart)
	const nodes = 8
	for rank := range nodes {
		turn := Turn{Rank: rank, Nodes: nodes, Offset: 0.3}
		at := shareStart
		for range 5 {
			begin, end := b.ownSlot(turn, at)
			qt.Assert(t, end.After(at), qt.IsTrue)
			qt.Assert(t, begin.Sub(at) < nodes*b.slot(), qt.IsTrue)
			qt.Assert(t, end.Sub(begin), qt.Equals, b.slot()/2)
			at = end
		}
	}
}

var shareStart = time.Unix(1_700_000_000, 0)

// TestRoomOfABrittleServer checks which requests a brittle server gets.
func TestRoomOfABrittleServer(t *testing.T) {
	at := func(d time.Duration) time.Time { return shareStart.Add(d) }
	var b Brittleness
	b.Record(Report{HasBrittle: true, Brittle: 2}, at(0))
	qt.Assert(t, b.IsSet(at(time.Second)), qt.IsTrue)
	qt.Assert(t, b.IsSet(at(brittleTTL)), qt.IsFalse)
	// The node's slots last a second of eight, from a time that is a multiple of eight seconds on.
	turn := Turn{Rank: 1, Nodes: 8}
	begin, _ := b.ownSlot(turn, at(0))
	other := begin.Add(2 * time.Second)
	report := func(s *State, load Load, now time.Time) {
		s.Record(Report{HasLoad: true, Load: load}, Share{Nodes: 8}, now, now)
	}
	var free State
	report(&free, Load{Running: 3, Slots: 4}, other)
	qt.Check(t, free.CheckRoom(&b, 3, turn, other).Verdict, qt.Equals, Admitted, qt.Commentf("a slot is free"))
	var queued State
	report(&queued, Load{Running: 4, Waiting: 1, Slots: 4}, other)
	qt.Check(t, queued.CheckRoom(&b, 5, turn, other).Verdict, qt.Equals, Full, qt.Commentf("it would have to wait"))
	qt.Check(t, queued.CheckRoom(&b, 5, turn, begin.Add(8*time.Second)).Verdict, qt.Equals, Admitted, qt.Commentf("the next slot"))
	var unknown State
	qt.Check(t, unknown.CheckRoom(&b, 0, turn, other).Verdict, qt.Equals, Admitted, qt.Commentf("never rejected"))
	free.Rejected(other.Add(time.Millisecond))
	b.Rejected(other.Add(time.Millisecond))
	qt.Check(t, free.CheckRoom(&b, 3, turn, other.Add(time.Second/2)).Verdict, qt.Equals, Full, qt.Commentf("rejected since its report"))
	qt.Check(t, unknown.CheckRoom(&b, 0, turn, other.Add(time.Second)), qt.Equals, Decision{Verdict: Full, Until: begin.Add(8 * time.Second)}, qt.Commentf("careful"))
	qt.Check(t, unknown.CheckRoom(&b, 0, turn, other.Add(3*carefulTime)).Verdict, qt.Equals, Admitted, qt.Commentf("not rejected for long"))
}

// TestServersThatAreNotBrittleHaveNoSlots records rejections without a report of brittleness.
func TestServersThatAreNotBrittleHaveNoSlots(t *testing.T) {
	var b Brittleness
	b.Rejected(shareStart)
	b.Record(Report{HasLoad: true}, shareStart)
	qt.Assert(t, b.IsSet(shareStart), qt.IsFalse)
}
