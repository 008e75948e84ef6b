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
				took := make(latencies, calls)
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
				runs := 0
				for _, plain := range b.system.PlainServers() {
					runs += len(plain.Runs())
				}
				slices.Sort(took)
				t.Logf("%s; %d hedges", took, runs-calls)
				qt.Check(t, runs-calls <= calls/10, qt.IsTrue)
				if test.hedged {
					qt.Check(t, runs > calls, qt.IsTrue)
					qt.Check(t, took.quantile(0.99) < extra, qt.IsTrue)
				} else if !test.allowed || test.method == http.MethodPost {
					qt.Check(t, runs, qt.Equals, calls)
				}
				qt.Check(t, bills.bills, qt.HasLen, calls)
				for request, count := range bills.bills {
					qt.Check(t, count, qt.Equals, 1, qt.Commentf("request %s", request))
				}
			})
		})
	}
}
