package dev_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestHedgePlainCalls slows servers of a plain service down after some calls. A late repeatable call is hedged on another server and
// billed once; hedges are at most a tenth of the calls, and a non-repeatable call always has exactly one run.
func TestHedgePlainCalls(t *testing.T) {
	const callers, calls, before, extra = 4, 400, 100, 2 * time.Second
	// Only half of the late calls may be hedged and a late server is avoided for a while. Further rounds after a pause ensure hedges.
	const rounds, roundCalls, pause = 20, 10, 3 * time.Second
	for _, test := range []struct {
		name    string
		method  string
		path    string
		allowed bool
		slow    int
		// hedged requires that some calls are hedged and that 99 of 100 calls complete in less time than the injected delay.
		hedged bool
	}{
		{"one server of four", http.MethodGet, "status", true, 1, true},
		{"one server of four, not allowed", http.MethodGet, "status", false, 1, false},
		{"all servers", http.MethodGet, "status", true, 4, false},
		{"one server of four, not repeatable", http.MethodPost, "push", true, 1, false},
		{"all servers, not repeatable", http.MethodPost, "push", true, 4, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bills := &billCounter{bills: map[api.RequestID]int{}}
				b := newBench(t, func(o *dev.Options) {
					o.Nodes, o.PlainServers, o.Config = 1, 4, setHedge(o.Config, test.allowed)
					o.Alter = func(r *router.Options) { bills.Biller, r.Bills = r.Bills, bills }
				})
				defer b.close()
				took := make(latencies, calls+rounds*roundCalls)
				ask := func(i int) {
					began := time.Now()
					resp, raw := b.do(test.method, b.system.NodeURL(0)+"/v1/services/forge-app/"+test.path, nil, fmt.Sprint(i))
					qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
					took[i] = time.Since(began)
				}
				for i := range before {
					ask(i)
				}
				for i := range test.slow {
					b.system.PlainServers()[i].Delay(extra)
				}
				var calling sync.WaitGroup
				for caller := range callers {
					calling.Go(func() {
						for i := before + caller; i < calls; i += callers {
							ask(i)
						}
					})
				}
				calling.Wait()
				made := calls
				for range rounds {
					if !test.hedged {
						break
					}
					time.Sleep(pause)
					for range roundCalls {
						ask(made)
						made++
					}
				}
				runs := 0
				for _, plain := range b.system.PlainServers() {
					runs += len(plain.Runs())
				}
				took = took[:calls]
				slices.Sort(took)
				t.Logf("%s; %d hedges", took, runs-made)
				qt.Check(t, runs-made <= calls/10, qt.IsTrue)
				if test.hedged {
					qt.Check(t, runs > made, qt.IsTrue)
					qt.Check(t, took.quantile(0.99) < extra, qt.IsTrue)
				} else if !test.allowed || test.method == http.MethodPost {
					qt.Check(t, runs, qt.Equals, made)
				}
				qt.Check(t, bills.bills, qt.HasLen, made)
				for request, count := range bills.bills {
					qt.Check(t, count, qt.Equals, 1, qt.Commentf("request %s", request))
				}
			})
		})
	}
}

// TestLateServerIsAvoided makes calls right after a late answer of a slow server that could not be hedged. Other servers must run them.
func TestLateServerIsAvoided(t *testing.T) {
	const before, after, extra = 100, 50, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(o *dev.Options) {
			o.Nodes, o.PlainServers, o.Config = 1, 4, setHedge(o.Config, true)
		})
		defer b.close()
		next := 0
		ask := func() time.Duration {
			next++
			began := time.Now()
			resp, raw := b.do(http.MethodGet, b.system.NodeURL(0)+"/v1/services/forge-app/status", nil, fmt.Sprint(next))
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", raw))
			return time.Since(began)
		}
		for range before {
			ask()
		}
		slow := b.system.PlainServers()[0]
		slow.Delay(extra)
		// Wait for a late call that could not be hedged.
		for ask() < extra {
		}
		runs := len(slow.Runs())
		for range after {
			ask()
		}
		qt.Check(t, len(slow.Runs())-runs, qt.Equals, 0)
	})
}
