package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
)

// TestOnlyTheLeaversKeysMove checks that a member's leaving moves no key that it did not rank first for.
func TestOnlyTheLeaversKeysMove(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching(`n[0-9]{1,3}`), 2, 20, rapid.ID).Draw(rt, "members")
		key := rapid.String().Draw(rt, "key")
		top := rendezvous.Top(key, members, 2)
		first, ok := rendezvous.First(key, members)
		if !ok || first != top[0] {
			rt.Fatalf("first is %q, top %q", first, top)
		}
		for i, leaver := range members {
			rest := slices.Delete(slices.Clone(members), i, i+1)
			want := top[0]
			if leaver == top[0] {
				want = top[1]
			}
			if got, _ := rendezvous.First(key, rest); got != want {
				rt.Fatalf("without %q first is %q, want %q", leaver, got, want)
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
