package limit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func request(team api.Team, n int, weight float64) Request {
	return Request{
		ID: api.RequestID(fmt.Sprintf("%s-%d", team, n)), Team: team, Weight: weight,
		Cost: time.Second, ServiceTime: time.Second, Priority: api.PriorityNormal,
	}
}

func TestQueueSharesByWeight(t *testing.T) {
	queue := NewQueue(QueueOptions{MaxRequests: 1000}, NewUsage())
	for i := range 200 {
		qt.Assert(t, queue.Enqueue(request("large", i, 3), start), qt.HasLen, 0)
		qt.Assert(t, queue.Enqueue(request("small", i, 1), start), qt.HasLen, 0)
	}
	served := map[api.Team]int{}
	for i := range 120 {
		r, rejections, ok := queue.Next(start.Add(time.Duration(i) * 100 * time.Millisecond))
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, rejections, qt.HasLen, 0)
		served[r.Team]++
	}
	qt.Assert(t, served["large"] >= 88 && served["large"] <= 92, qt.IsTrue, qt.Commentf("%v", served))
}

func TestQueuePrefersHighPriorityAndEvictsFromLargestBacklog(t *testing.T) {
	queue := NewQueue(QueueOptions{MaxRequests: 3}, NewUsage())
	urgent := request("flood", 3, 1)
	urgent.Priority = api.PriorityHigh
	for i := range 2 {
		qt.Assert(t, queue.Enqueue(request("flood", i, 1), start), qt.HasLen, 0)
	}
	qt.Assert(t, queue.Enqueue(urgent, start), qt.HasLen, 0)
	rejections := queue.Enqueue(request("small", 0, 1), start)
	qt.Assert(t, rejections, qt.HasLen, 1)
	qt.Assert(t, rejections[0].ID, qt.Equals, api.RequestID("flood-1"))
	qt.Assert(t, rejections[0].Reason, qt.Equals, api.ReasonOverloaded)
	qt.Assert(t, rejections[0].RetryAfter >= time.Second, qt.IsTrue)
	r, _, _ := queue.Next(start)
	qt.Assert(t, r.ID, qt.Equals, urgent.ID)
}

func TestQueueRejectsRequestsPastDeadline(t *testing.T) {
	queue := NewQueue(QueueOptions{MaxRequests: 10}, NewUsage())
	r := request("team", 0, 1)
	r.Deadline = start.Add(900 * time.Millisecond)
	rejections := queue.Enqueue(r, start)
	qt.Assert(t, rejections, qt.HasLen, 1)
	qt.Assert(t, rejections[0].Reason, qt.Equals, api.ReasonDeadline)
	r.Deadline = start.Add(2 * time.Second)
	qt.Assert(t, queue.Enqueue(r, start), qt.HasLen, 0)
	_, rejections, ok := queue.Next(start.Add(1100 * time.Millisecond))
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, rejections, qt.HasLen, 1)
	qt.Assert(t, queue.Len(), qt.Equals, 0)
}

// TestRetriesStayWithinRatio checks the bound after every step of any sequence of first attempts and retries.
func TestRetriesStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budget RetryBudget
		firstAttempts, retries := 0, 0
		for _, isRetry := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "tries") {
			switch {
			case !isRetry:
				budget.AddFirstAttempt()
				firstAttempts++
			case budget.Spend():
				retries++
			}
			if float64(retries) > RetryRatio*float64(firstAttempts) {
				t.Fatalf("%d retries of %d first attempts", retries, firstAttempts)
			}
		}
	})
}

// TestRatesHoldWithLostExchanges guards against nodes that together exceed the fleet rate while answers to loan requests are lost or
// delayed.
func TestRatesHoldWithLostExchanges(t *testing.T) {
	const nodes, fleetRate, seconds = 5, 20.0, 60
	opts := RateOptions{Team: "team", FleetRate: fleetRate, Nodes: nodes}
	rapid.Check(t, func(t *rapid.T) {
		var all [nodes]*RateLimiter
		for i := range all {
			all[i] = NewRateLimiter()
		}
		now := start
		allowed := 0
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			// Nearly all callers use one node; one other gets a single request per step.
			for i := range all {
				for range []int{6, 1, 0, 0, 0}[i] {
					if _, ok := all[i].Allow(opts, now); ok {
						allowed++
					}
				}
			}
			if !rapid.Bool().Draw(t, "exchange") {
				continue
			}
			lender := rapid.IntRange(1, nodes-1).Draw(t, "lender")
			delay := time.Duration(rapid.IntRange(0, 6000).Draw(t, "delay")) * time.Millisecond
			requestedAt := now.Add(-delay)
			loans := all[lender].Lend("0", all[0].Demands(now), func(api.Team) RateOptions { return opts }, now)
			if rapid.Bool().Draw(t, "arrives") {
				all[0].Borrow("x", loans, requestedAt, now)
			}
		}
		if bound := int(fleetRate*seconds + fleetRate + 1); allowed > bound {
			t.Fatalf("%d requests admitted, the bound is %d", allowed, bound)
		}
	})
}

// TestRatesLendToTheBusyNode checks that a single busy node gets most of the fleet rate while its peers answer, and is limited to its
// own share when they don't.
func TestRatesLendToTheBusyNode(t *testing.T) {
	const nodes, fleetRate = 4, 40.0
	opts := RateOptions{Team: "team", FleetRate: fleetRate, Nodes: nodes}
	var all [nodes]*RateLimiter
	for i := range all {
		all[i] = NewRateLimiter()
	}
	now := start
	run := func(d time.Duration, exchange bool) float64 {
		allowed := 0
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			if _, ok := all[0].Allow(opts, now); ok {
				allowed++
			}
			if exchange && now.UnixMilli()%250 == 0 {
				for i := 1; i < nodes; i++ {
					loans := all[i].Lend("0", all[0].Demands(now), func(api.Team) RateOptions { return opts }, now)
					all[0].Borrow("x", loans, now, now)
				}
			}
		}
		return float64(allowed) / d.Seconds()
	}
	run(20*time.Second, true)
	shared := run(20*time.Second, true)
	qt.Assert(t, shared > 0.8*fleetRate && shared <= fleetRate, qt.IsTrue, qt.Commentf("%.1f a second", shared))
	run(LoanDuration, false)
	alone := run(20*time.Second, false)
	qt.Assert(t, alone <= fleetRate/nodes+0.1, qt.IsTrue, qt.Commentf("%.1f a second", alone))
}
