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

// billCounter is a router.Biller that counts the bills of each request.
type billCounter struct {
	router.Biller

	mu    sync.Mutex
	bills map[api.RequestID]int
}

func (c *billCounter) Add(ctx context.Context, bill router.Bill) error {
	c.mu.Lock()
	c.bills[bill.RequestID]++
	c.mu.Unlock()
	return c.Biller.Add(ctx, bill)
}

// setHedge returns the configuration with an exception that allows or forbids hedging, ahead of all other exceptions.
func setHedge(config *fleet.Config, allowed bool) *fleet.Config {
	changed := *config
	changed.Exceptions = append([]fleet.Exception{{
		ID: "a-hedge", Scope: fleet.Scope{Team: "lessons"}, Set: fleet.PolicyPatch{Hedge: &allowed}, Reason: "test", Author: "test",
	}}, changed.Exceptions...)
	return &changed
}

// TestHedge slows servers down by a factor of 8 after some requests. A hedged request has a second run and one bill; hedges are at most
// a tenth of the requests, and there are none if the policy forbids them.
func TestHedge(t *testing.T) {
	const requests, before, fastest = 200, 80, 3
	// usualSlowest is the latency of the slowest answer without the fault.
	const usualSlowest = 336 * time.Millisecond
	for _, test := range []struct {
		name    string
		allowed bool
		// slow holds the indexes of the servers that slow down.
		slow []int
		// minHedges and maxHedges bound the number of second runs.
		minHedges, maxHedges int
		// limit bounds the latency of the slowest answer; 0 means no bound.
		limit time.Duration
	}{
		{"the fastest server", true, []int{fastest}, 1, requests / 10, 2 * usualSlowest},
		{"the fastest server, not allowed", false, []int{fastest}, 0, 0, 0},
		{"every server", true, []int{0, 1, 2, 3, 4, 5}, 0, requests / 10, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bills := &billCounter{bills: map[api.RequestID]int{}}
				b := newBench(t, func(o *dev.Options) {
					o.Nodes = 1
					o.Config = setHedge(o.Config, test.allowed)
					o.Alter = func(r *router.Options) { bills.Biller, r.Bills = r.Bills, bills }
				})
				defer b.close()
				run := &slowRun{b: b, callers: 1, requests: requests, slowAfter: before, factor: 8, slowEngines: test.slow}
				took := run.run()
				runs := 0
				for _, engine := range b.system.Engines() {
					runs += len(engine.Runs())
				}
				t.Logf("%s; %d hedges", took, runs-requests)
				qt.Check(t, runs-requests >= test.minHedges, qt.IsTrue)
				qt.Check(t, runs-requests <= test.maxHedges, qt.IsTrue)
				if test.limit > 0 {
					qt.Check(t, took.quantile(1) <= test.limit, qt.IsTrue)
				}
				qt.Check(t, bills.bills, qt.HasLen, requests)
				for request, count := range bills.bills {
					qt.Check(t, count, qt.Equals, 1, qt.Commentf("request %s", request))
				}
			})
		})
	}
}
