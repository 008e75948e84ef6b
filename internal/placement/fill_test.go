package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/placement"
)

// TestFillLoadsOneServer simulates a service at its usual load: 50 requests a second, which take 1 s or longer beside others, on 12
// servers of 64 slots behind 8 nodes, one of which gets half of the requests. Within 3 s a filled server has at least half of its slots
// in use but never all of them; with requests spread evenly no server has more than an eighth in use.
func TestFillLoadsOneServer(t *testing.T) {
	const nodes, servers, slots, share, step, rate = 8, 12, 64, 0.75, 0.01, 50
	type request struct {
		node, server int
		left         float64
	}
	simulate := func(useFill bool) (most int) {
		var running []request
		var total, reported [servers]int
		var own, ownAtReport [nodes][servers]int
		next := 0.0
		for now := 0.0; now < 3; now += step {
			kept := running[:0]
			for _, r := range running {
				// A request takes longer the more others the server runs.
				if r.left -= step / (1 + float64(total[r.server])/slots); r.left > 0 {
					kept = append(kept, r)
					continue
				}
				total[r.server]--
				own[r.node][r.server]--
			}
			running = kept
			if int(now/step)%25 == 0 {
				reported, ownAtReport = total, own
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
					candidates[s].View.InFlight, candidates[s].View.InFlightAtReport = own[node][s], ownAtReport[node][s]
					candidates[s].View.HasLoad, candidates[s].View.Load = true, backend.Load{Running: reported[s]}
				}
				chosen := placement.Choose(placement.Request{PerRequest: 1}, candidates)
				if target := placement.FillTarget(repeat(slots, servers), share, nodes, fmt.Sprint(node)); useFill && placement.HasFillRoom(candidates[target], share, nodes) {
					chosen = target
				}
				running = append(running, request{node, chosen, 1})
				total[chosen]++
				own[node][chosen]++
				most = max(most, total[chosen])
			}
		}
		return most
	}
	qt.Check(t, simulate(false) <= slots/8, qt.IsTrue, qt.Commentf("spread: %d", simulate(false)))
	got := simulate(true)
	qt.Check(t, got >= slots/2 && got < slots, qt.IsTrue, qt.Commentf("filled: %d", got))
}

// TestFillTargetSpreadsNodes checks that, with more nodes than one server has slots, no server is the target of more nodes than it has
// slots.
func TestFillTargetSpreadsNodes(t *testing.T) {
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
