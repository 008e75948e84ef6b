package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
)

// TestRemovalMovesOnlyKeysOfRemovedMember checks that the removal of a member moves only the keys for which it ranked
// first.
func TestRemovalMovesOnlyKeysOfRemovedMember(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching(`n[0-9]{1,3}`), 2, 20, rapid.ID).Draw(rt, "members")
		key := rapid.String().Draw(rt, "key")
		top := rendezvous.Top(key, members, 2)
		first, ok := rendezvous.First(key, members)
		if !ok || first != top[0] {
			rt.Fatalf("first is %q, top %q", first, top)
		}
		for i, removed := range members {
			rest := slices.Delete(slices.Clone(members), i, i+1)
			want := top[0]
			if removed == top[0] {
				want = top[1]
			}
			if got, _ := rendezvous.First(key, rest); got != want {
				rt.Fatalf("without %q first is %q, want %q", removed, got, want)
			}
		}
	})
}

func TestKeysAreSpread(t *testing.T) {
	members := make([]string, 8)
	for i := range members {
		members[i] = fmt.Sprintf("node-%d", i)
	}
	counts := map[string]int{}
	for i := range 8000 {
		member, _ := rendezvous.First(fmt.Sprint(i), members)
		counts[member]++
	}
	for _, member := range members {
		qt.Check(t, counts[member] > 800 && counts[member] < 1200, qt.IsTrue, qt.Commentf("%s: %d", member, counts[member]))
	}
}

func BenchmarkFirst590(b *testing.B) {
	members := make([]string, 590)
	for i := range members {
		members[i] = fmt.Sprintf("node-%03d", i)
	}
	b.ReportAllocs()
	for b.Loop() {
		rendezvous.First("team/key", members)
	}
}
