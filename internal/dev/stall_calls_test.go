package dev_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/plainfake"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// plainIP returns the address of the plain service's server with an index.
func plainIP(i int) string { return fmt.Sprintf("127.1.3.%d", i+1) }

// echoOf returns the request body that a successful answer echoes; empty if raw is no such answer.
func echoOf(raw []byte) string {
	var answer plainfake.Answer
	if json.Unmarshal(raw, &answer) != nil {
		return ""
	}
	return answer.Echo
}

// TestCallsSurviveStalls pauses servers of a plain service for seconds while calls arrive. A non-repeatable call runs at most once, no
// call that ran is rejected as not run, and every call is answered unless the stall exceeds its deadline.
func TestCallsSurviveStalls(t *testing.T) {
	const callers, plains = 24, 4
	const deadline = 8 * time.Second
	for _, test := range []struct {
		stalled int
		path    string
	}{{1, "push"}, {1, "status"}, {2, "push"}, {2, "status"}, {4, "push"}, {4, "status"}} {
		for _, during := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second} {
			t.Run(fmt.Sprintf("%d of %d for %s %s", test.stalled, plains, during, test.path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t, func(o *dev.Options) { o.PlainServers = plains })
					defer b.close()
					results := make([]streamResult, callers)
					var calling sync.WaitGroup
					for i := range callers {
						calling.Go(func() {
							time.Sleep(time.Duration(i) * 50 * time.Millisecond)
							began := time.Now()
							resp, raw := b.do(http.MethodPost, b.system.NodeURL(i%b.system.NodeCount())+"/v1/services/forge-app/"+test.path, nil, fmt.Sprint("call ", i))
							results[i] = streamResult{status: resp.StatusCode, body: string(raw), took: time.Since(began)}
						})
					}
					time.Sleep(midway)
					for i := range test.stalled {
						b.net.Pause(plainIP(i))
					}
					time.Sleep(during)
					for i := range test.stalled {
						b.net.Resume(plainIP(i))
					}
					calling.Wait()
					if test.stalled == 1 {
						qt.Check(t, len(b.system.PlainServers()[0].Runs()) < callers/2, qt.IsTrue)
					}
					runs := map[string]int{}
					for _, plain := range b.system.PlainServers() {
						for _, run := range plain.Runs() {
							runs[run.Body]++
						}
					}
					failed := 0
					for i, result := range results {
						body := fmt.Sprint("call ", i)
						name := qt.Commentf("%s ran %d times, after %s: %s", body, runs[body], result.took, tail(result.body))
						if result.status != http.StatusOK {
							failed++
							qt.Check(t, during > deadline, qt.IsTrue, name)
							var problem api.Problem
							qt.Check(t, json.Unmarshal([]byte(result.body), &problem), qt.IsNil, name)
							qt.Check(t, problem.Outcome != api.OutcomeNotRun || runs[body] == 0, qt.IsTrue, name)
							continue
						}
						qt.Check(t, echoOf([]byte(result.body)), qt.Equals, body, name)
						qt.Check(t, test.path != "push" || runs[body] == 1, qt.IsTrue, name)
					}
					t.Logf("%d failed, slowest answer after %s", failed, longest(results))
				})
			})
		}
	}
}
