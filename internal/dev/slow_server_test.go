package dev_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
)

// latencies holds the sorted latencies of a set of answers.
type latencies []time.Duration

func (l latencies) quantile(q float64) time.Duration { return l[int(q*float64(len(l)-1))] }

// countOver returns the number of latencies above a limit.
func (l latencies) countOver(limit time.Duration) int {
	i, _ := slices.BinarySearch(l, limit+1)
	return len(l) - i
}

func (l latencies) String() string {
	return fmt.Sprintf("p50 %s, p95 %s, p99 %s, slowest %s", l.quantile(0.5), l.quantile(0.95), l.quantile(0.99), l.quantile(1))
}

// slowRun sends requests through one node and slows engines down after the first slowAfter requests.
type slowRun struct {
	b                   *bench
	callers             int
	requests, slowAfter int
	factor              float64
	// slowEngines holds the indexes of the engines that slow down by factor.
	slowEngines []int

	mu   sync.Mutex
	sent int
	took latencies
}

// run sends all requests and returns the latencies of the answers.
func (r *slowRun) run() latencies {
	var callers sync.WaitGroup
	for range r.callers {
		callers.Go(func() {
			for i, ok := r.next(); ok; i, ok = r.next() {
				r.ask(i)
			}
		})
	}
	callers.Wait()
	slices.Sort(r.took)
	return r.took
}

func (r *slowRun) next() (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent == r.slowAfter {
		for _, i := range r.slowEngines {
			r.b.system.Engines()[i].SetSlowdown(r.factor)
		}
	}
	r.sent++
	return r.sent, r.sent <= r.requests
}

func (r *slowRun) ask(i int) {
	body := fmt.Sprintf(`{"model":"scholar@2.0","stream":true,"messages":[{"role":"user","content":"%s %d"}]}`,
		strings.Repeat("Explain this commit ", 50), i)
	began := time.Now()
	resp, raw := r.b.do(http.MethodPost, r.b.system.NodeURL(0)+chatPath, nil, body)
	qt.Check(r.b.t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took = append(r.took, time.Since(began))
}

// TestServerSlowsDown slows the fastest of six engines down by a factor of 8 after some requests: only answers in progress on it at that
// moment may be slow, not those of later requests.
func TestServerSlowsDown(t *testing.T) {
	const fastest = 3
	for _, callers := range []int{1, 4, 16} {
		t.Run(fmt.Sprintf("%d callers", callers), func(t *testing.T) {
			measure := func(factor float64) (took latencies) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t, func(o *dev.Options) { o.Nodes, o.Config = 1, setHedge(o.Config, false) })
					defer b.close()
					run := &slowRun{b: b, callers: callers, requests: 200, slowAfter: 80, factor: factor, slowEngines: []int{fastest}}
					took = run.run()
				})
				return took
			}
			usual, slow := measure(1), measure(8)
			t.Logf("usual %s; with a server that turns slow %s, %d over twice the usual", usual, slow, slow.countOver(2*usual.quantile(1)))
			qt.Check(t, slow.countOver(2*usual.quantile(1)) <= callers, qt.IsTrue)
		})
	}
}
