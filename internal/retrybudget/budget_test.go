package retrybudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/retrybudget"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// TestBoundHoldsInEveryWindow draws requests and repeats on several nodes, and counts the repeats of the fleet in every span of a window's
// length against the requests of that span and of the one before it.
func TestBoundHoldsInEveryWindow(t *testing.T) {
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
			at       time.Duration
			isRepeat bool
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
			} else if budget.AllowRetry(service, now) {
				events = append(events, event{at, true})
			}
		}
		for _, end := range events {
			var requests, repeats float64
			for _, e := range events {
				switch {
				case e.at > end.at || e.at <= end.at-2*window:
				case !e.isRepeat:
					requests++
				case e.at > end.at-window:
					repeats++
				}
			}
			if repeats > ratio*requests+slack {
				t.Fatalf("%v repeats with %v requests until %v", repeats, requests, end.at)
			}
		}
	})
}
