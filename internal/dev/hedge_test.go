package dev_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// countedBills counts the bills of each request.
type countedBills struct {
	router.Biller

	mu    sync.Mutex
	bills map[api.RequestID]int
}

func (c *countedBills) Add(ctx context.Context, bill router.Bill) error {
	c.mu.Lock()
	c.bills[bill.RequestID]++
	c.mu.Unlock()
	return c.Biller.Add(ctx, bill)
}

// setHedge puts an exception about hedging before the others.
func setHedge(config *fleet.Config, allowed bool) *fleet.Config {
	changed := *config
	changed.Exceptions = append([]fleet.Exception{{
		ID: "a-hedge", Scope: fleet.Scope{Team: "lessons"}, Set: fleet.PolicyPatch{Hedge: &allowed}, Reason: "test", Author: "test",
	}}, changed.Exceptions...)
	return &changed
}

// TestHedge lets servers turn eight times slower under way. A hedged request has a second run and one bill; hedges are at most
// a tenth of the requests, and none where the policy doesn't allow them.
func TestHedge(t *testing.T) {
	const requests, before, fastest = 200, 80, 3
	// usualSlowest is the slowest answer without the fault.
	const usualSlowest = 336 * time.Millisecond
	for _, test := range []struct {
		name    string
		allowed bool
		// slow holds the servers that turn slow.
		slow []int
		// minHedges and maxHedges bound the second runs.
		minHedges, maxHedges int
		// limit bounds the slowest answer, if above 0.
		limit time.Duration
	}{
		{"the fastest server", true, []int{fastest}, 1, requests / 10, 2 * usualSlowest},
		{"the fastest server, not allowed", false, []int{fastest}, 0, 0, 0},
		{"every server", true, []int{0, 1, 2, 3, 4, 5}, 0, requests / 10, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bills := &countedBills{bills: map[api.RequestID]int{}}
				b := newBench(t, func(o *dev.Options) {
					o.Nodes = 1
					o.Config = setHedge(o.Config, test.allowed)
					o.Alter = func(r *router.Options) { bills.Biller, r.Bills = r.Bills, bills }
				})
				defer b.close()
				run := &slowRun{b: b, callers: 1, requests: requests, before: before, factor: 8, slow: test.slow}
				took := run.run()
				runs := 0
				for _, engine := range b.system.Engines() {
					runs += len(engine.Runs())
				}
				t.Logf("%s; %d hedges", took, runs-requests)
				qt.Check(t, runs-requests >= test.minHedges, qt.IsTrue)
				qt.Check(t, runs-requests <= test.maxHedges, qt.IsTrue)
				if test.limit > 0 {
					qt.Check(t, took.at(1) <= test.limit, qt.IsTrue)
				}
				qt.Check(t, bills.bills, qt.HasLen, requests)
				for request, count := range bills.bills {
					qt.Check(t, count, qt.Equals, 1, qt.Commentf("request %s", request))
				}
			})
		})
	}
}
