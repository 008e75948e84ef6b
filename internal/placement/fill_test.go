package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/placement"
)

// TestFillShowsAServerUnderLoad plays a service at its usual load, 50 requests a second that take 1 s and longer beside others, on 12
// servers of 64 slots behind 8 nodes, one of which gets half of the requests: within 3 s a filled server runs more than half of its
// slots and never as many as it has, while none of the servers gets a quarter of that if the requests are spread.
func TestFillShowsAServerUnderLoad(t *testing.T) {
	const nodes, servers, slots, share, step, rate = 8, 12, 64, 0.75, 0.01, 50
	type request struct {
		node, server int
		left         float64
	}
	play := func(fills bool) (most int) {
		var running []request
		var total, reported [servers]int
		var own, then [nodes][servers]int
		next := 0.0
		for now := 0.0; now < 3; now += step {
			kept := running[:0]
			for _, r := range running {
				// A request takes longer beside others.
				if r.left -= step / (1 + float64(total[r.server])/slots); r.left > 0 {
					kept = append(kept, r)
					continue
				}
				total[r.server]--
				own[r.node][r.server]--
			}
			running = kept
			if int(now/step)%25 == 0 {
				reported, then = total, own
			}
			for ; next <= now; next += 1.0 / rate {
				n := len(running) * 7
				node := n % (2 * nodes)
				if node >= nodes {
					node = 0
				}
				candidates := make([]placement.Candidate, servers)
				for s := range candidates {
					candidates[s] = idle(slots)
					candidates[s].View.InFlight, candidates[s].View.InFlightAtReport = own[node][s], then[node][s]
					candidates[s].View.HasLoad, candidates[s].View.Load = true, backend.Load{Running: reported[s]}
				}
				chosen := placement.Choose(placement.Request{}, candidates)
				if filled := placement.FillTarget(repeat(slots, servers), share, nodes, fmt.Sprint(node)); fills && placement.HasFillRoom(candidates[filled], share, nodes) {
					chosen = filled
				}
				running = append(running, request{node, chosen, 1})
				total[chosen]++
				own[node][chosen]++
				most = max(most, total[chosen])
			}
		}
		return most
	}
	qt.Check(t, play(false) <= slots/8, qt.IsTrue, qt.Commentf("spread: %d", play(false)))
	got := play(true)
	qt.Check(t, got >= slots/2 && got < slots, qt.IsTrue, qt.Commentf("filled: %d", got))
}

// TestFilledGivesEveryNodeRoom lets many nodes fill servers with few slots: no server takes a request of more nodes than fit.
func TestFilledGivesEveryNodeRoom(t *testing.T) {
	const nodes, slots, share = 590, 64, 0.75
	counts := make(map[int]int)
	for node := range nodes {
		counts[placement.FillTarget(repeat(slots, 40), share, nodes, fmt.Sprint("node-", node))]++
	}
	for server, n := range counts {
		qt.Check(t, n <= slots, qt.IsTrue, qt.Commentf("server %d: %d nodes", server, n))
	}
	qt.Assert(t, placement.FillTarget([]int{2, 2}, share, nodes, "a") < 2, qt.IsTrue)
	qt.Assert(t, placement.FillTarget([]int{6}, share, 1, "a"), qt.Equals, 0)
}

func repeat(n, times int) []int {
	list := make([]int, times)
	for i := range list {
		list[i] = n
	}
	return list
}
