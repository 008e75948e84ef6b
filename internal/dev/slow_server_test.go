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

// latencies are those of a set of answers, sorted.
type latencies []time.Duration

func (l latencies) at(part float64) time.Duration { return l[int(part*float64(len(l)-1))] }

// over counts those that are longer than a limit.
func (l latencies) over(limit time.Duration) int {
	i, _ := slices.BinarySearch(l, limit+1)
	return len(l) - i
}

func (l latencies) String() string {
	return fmt.Sprintf("p50 %s, p95 %s, p99 %s, slowest %s", l.at(0.5), l.at(0.95), l.at(0.99), l.at(1))
}

// slowRun sends requests through one node; after some of them engines turn slower by a factor.
type slowRun struct {
	b                *bench
	callers          int
	requests, before int
	factor           float64
	// slow holds the engines that do.
	slow []int

	mu   sync.Mutex
	sent int
	took latencies
}

// run returns the latencies of all answers.
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
	if r.sent == r.before {
		for _, i := range r.slow {
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

// TestServerTurnsSlow lets the fastest of six engines turn eight times slower under way: only the answers that are under
// way on it then may be slow, not those of requests that come later.
func TestServerTurnsSlow(t *testing.T) {
	const fastest = 3
	for _, callers := range []int{1, 4, 16} {
		t.Run(fmt.Sprintf("%d callers", callers), func(t *testing.T) {
			measure := func(factor float64) (took latencies) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t, func(o *dev.Options) { o.Nodes, o.Config = 1, setHedge(o.Config, false) })
					defer b.close()
					run := &slowRun{b: b, callers: callers, requests: 200, before: 80, factor: factor, slow: []int{fastest}}
					took = run.run()
				})
				return took
			}
			usual, slow := measure(1), measure(8)
			t.Logf("usual %s; with a server that turns slow %s, %d over twice the usual", usual, slow, slow.over(2*usual.at(1)))
			qt.Check(t, slow.over(2*usual.at(1)) <= callers, qt.IsTrue)
		})
	}
}
