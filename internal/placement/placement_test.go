package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/placement"
)

func idle(slots int) placement.Candidate {
	return placement.Candidate{Slots: slots, IsSameDomain: true, View: backend.View{Slowness: 1}}
}

// TestChoose checks the effect of each property of a candidate on the choice.
func TestChoose(t *testing.T) {
	busy := func(own, running, waiting int) placement.Candidate {
		c := idle(8)
		c.View.InFlight, c.View.InFlightAtReport = own, own
		c.View.HasLoad, c.View.Load = true, backend.Load{Running: running, Waiting: waiting, Slots: 8}
		return c
	}
	with := func(c placement.Candidate, change func(c *placement.Candidate)) placement.Candidate {
		change(&c)
		return c
	}
	prompt := placement.Request{PromptTokens: 6000, TokensPerSlot: 1500, Bytes: 8000}
	short := placement.Request{PromptTokens: 300, TokensPerSlot: 1500, Bytes: 8000}
	for _, test := range []struct {
		name       string
		request    placement.Request
		candidates []placement.Candidate
		want       int
	}{
		{"no server", placement.Request{}, nil, -1},
		{"equal ones: the first by the request's rank", placement.Request{}, []placement.Candidate{idle(8), idle(8)}, 0},
		{"others' requests are known from the report", placement.Request{}, []placement.Candidate{busy(0, 8, 3), busy(2, 2, 0)}, 1},
		{"an old report no longer counts", placement.Request{}, []placement.Candidate{
			with(busy(0, 8, 9), func(c *placement.Candidate) { c.View.LoadAge = time.Minute }), busy(1, 1, 0),
		}, 0},
		{"a server of which nothing is known is no emptier than the rest", placement.Request{}, []placement.Candidate{
			idle(8), busy(1, 5, 0), busy(1, 6, 0), busy(1, 3, 0),
		}, 3},
		{"a report counts less with its age", placement.Request{}, []placement.Candidate{
			with(busy(0, 1, 0), func(c *placement.Candidate) { c.View.LoadAge = 900 * time.Millisecond }), busy(0, 3, 0), busy(0, 6, 0),
		}, 1},
		{"a long prompt goes where it is cached", prompt, []placement.Candidate{
			busy(1, 1, 0), with(busy(2, 2, 0), func(c *placement.Candidate) { c.CachedTokens = 5000 }),
		}, 1},
		{"but not behind a long queue", prompt, []placement.Candidate{
			busy(1, 1, 0), with(busy(2, 8, 6), func(c *placement.Candidate) { c.CachedTokens = 5000 }),
		}, 0},
		{"a short one isn't sent across domains for a few cached tokens", short, []placement.Candidate{
			with(idle(8), func(c *placement.Candidate) { c.IsSameDomain, c.CachedTokens = false, 200 }), idle(8),
		}, 1},
		{"a slow server gets less", placement.Request{}, []placement.Candidate{
			with(busy(2, 2, 0), func(c *placement.Candidate) { c.View.Slowness = 3 }), busy(3, 3, 0),
		}, 1},
		{"a server that fails often gets little", placement.Request{}, []placement.Candidate{
			with(idle(8), func(c *placement.Candidate) { c.View.FailureShare = 0.6 }), busy(4, 4, 0),
		}, 1},
		{"one that has just failed is passed over", placement.Request{}, []placement.Candidate{
			with(idle(8), func(c *placement.Candidate) { c.View.IsAvoided = true }), busy(8, 8, 8),
		}, 1},
		{"unless there is no other", placement.Request{}, []placement.Candidate{
			with(idle(8), func(c *placement.Candidate) { c.View.IsAvoided = true }),
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, placement.Choose(test.request, test.candidates), qt.Equals, test.want)
		})
	}
}

// TestPlacementIsEven places requests of many nodes, each of which counts its own at once and learns of the others' only from delayed
// reports. No server may get more than twice its share, which happens if each node considers only its own requests.
func TestPlacementIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes, servers, requests = 8, 6, 480
		seed := rapid.IntRange(0, 1000).Draw(t, "seed")
		own := [nodes][servers]int{}
		total, reported, ownAtReport := [servers]int{}, [servers]int{}, [nodes][servers]int{}
		for i := range requests {
			node := (i*7 + seed) % nodes
			if i%24 == 0 {
				reported, ownAtReport = total, own
			}
			candidates := make([]placement.Candidate, servers)
			for s := range candidates {
				rank := (s + i + seed) % servers
				candidates[s] = idle(64)
				candidates[s].View.InFlight, candidates[s].View.InFlightAtReport = own[node][rank], ownAtReport[node][rank]
				candidates[s].View.HasLoad, candidates[s].View.Load = true, backend.Load{Running: reported[rank]}
			}
			chosen := (placement.Choose(placement.Request{}, candidates) + i + seed) % servers
			own[node][chosen]++
			total[chosen]++
		}
		for _, n := range total {
			if n > 2*requests/servers {
				t.Fatalf("uneven: %v", total)
			}
		}
	})
}
