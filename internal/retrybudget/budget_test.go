package retrybudget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/retrybudget"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// TestLimitHoldsInEveryWindow draws requests and retries on several nodes. It checks the fleet's retries in every span of a window's length
// against the requests in that span and in the one before it.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, ratio, slack = 10 * time.Second, 0.9, 56.0
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		budgets := make([]*retrybudget.Budget, nodes)
		for i := range budgets {
			budgets[i] = retrybudget.New(retrybudget.Options{
				Ratio: ratio, Slack: slack, Window: window, NodeCount: func() int { return nodes },
			})
		}
		const service = route.Service("s")
		type event struct {
			at      time.Duration
			isRetry bool
		}
		var events []event
		at := time.Duration(0)
		for range rapid.IntRange(0, 600).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			budget := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			now := time.Unix(1_700_000_000, 0).Add(at)
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest(service, now)
				events = append(events, event{at, false})
			} else if rapid.Bool().Draw(t, "optional") && budget.AllowOptionalRetry(service, now) || budget.AllowRetry(service, now) {
				events = append(events, event{at, true})
			}
		}
		for _, end := range events {
			var requests, retries float64
			for _, e := range events {
				switch {
				case e.at > end.at || e.at <= end.at-2*window:
				case !e.isRetry:
					requests++
				case e.at > end.at-window:
					retries++
				}
			}
			if retries > ratio*requests+slack {
				t.Fatalf("%v repeats with %v requests until %v", retries, requests, end.at)
			}
		}
	})
}

// TestOptionalRetriesLeaveBudget asks for more optional retries than the budget allows: retries of failed requests must still be allowed.
func TestOptionalRetriesLeaveBudget(t *testing.T) {
	const service = route.Service("s")
	budget := retrybudget.New(retrybudget.Options{Ratio: 1, Window: 10 * time.Second, NodeCount: func() int { return 1 }})
	now := time.Unix(1_700_000_000, 0)
	var optional, needed int
	for range 100 {
		budget.RecordRequest(service, now)
	}
	for range 100 {
		if budget.AllowOptionalRetry(service, now) {
			optional++
		}
	}
	for range 100 {
		if budget.AllowRetry(service, now) {
			needed++
		}
	}
	qt.Check(t, optional, qt.Equals, 8)
	qt.Check(t, needed, qt.Equals, 72)
}

// TestReturnedRetriesAreAllowedAgain gives retries back at once, after some buckets, and when their bucket has left the window.
func TestReturnedRetriesAreAllowedAgain(t *testing.T) {
	const service, window = route.Service("s"), 10 * time.Second
	budget := retrybudget.New(retrybudget.Options{Slack: 10, Window: window, NodeCount: func() int { return 1 }})
	begin := time.Unix(1_700_000_000, 0)
	useUp := func(now time.Time) (allowed int) {
		for budget.AllowRetry(service, now) {
			allowed++
		}
		return allowed
	}
	all := useUp(begin)
	qt.Assert(t, all > 0, qt.IsTrue)
	budget.ReturnRetry(service, begin, begin)
	qt.Assert(t, useUp(begin), qt.Equals, 1)
	later := begin.Add(window / 2)
	budget.ReturnRetry(service, begin, later)
	budget.ReturnRetry(service, begin, later)
	qt.Assert(t, useUp(later), qt.Equals, 2)
	budget.ReturnRetry(service, later.Add(-window), later)
	qt.Assert(t, useUp(later), qt.Equals, 0, qt.Commentf("a retry that was never counted"))
	muchLater := begin.Add(2 * window)
	budget.ReturnRetry(service, begin, muchLater)
	qt.Assert(t, useUp(muchLater), qt.Equals, all, qt.Commentf("the bucket is used again"))
}
