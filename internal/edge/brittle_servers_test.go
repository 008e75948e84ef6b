package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

// mostRejectionsInASecond returns the largest number of requests that a server rejected within a second after a time.
func mostRejectionsInASecond(server *platformfake.Server, after time.Time) (most int) {
	var rejected []time.Time
	for _, arrival := range server.ListArrivals() {
		if arrival.Rejected && arrival.At.After(after) {
			rejected = append(rejected, arrival.At)
		}
	}
	first := 0
	for i, at := range rejected {
		for at.Sub(rejected[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestBrittleServersRejectFewRequests guards against servers that fall over because nodes go on to send them requests for which they have no room: callers
// send two and a half times as many requests as servers can run, and the servers let fewer wait than usual. It counts the servers that reject more requests in a
// second than they can stand.
func TestBrittleServersRejectFewRequests(t *testing.T) {
	for _, test := range []struct{ nodes, servers, limit int }{{2, 4, 3}, {8, 4, 6}, {8, 8, 3}, {16, 8, 4}} {
		t.Run(fmt.Sprintf("%d nodes, %d servers, limit %d", test.nodes, test.servers, test.limit), func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				const slots = 4
				for i := 2; i < test.nodes; i++ {
					f.start(fmt.Sprintf("10.0.1.%d", i))
				}
				for i := range test.servers {
					ip, id := fmt.Sprintf("10.1.1.%d", i), fmt.Sprintf("b%d", i)
					server := platformfake.NewServer(platformfake.ServerOptions{
						ID: id, Latency: 50 * time.Millisecond, Pause: 100 * time.Millisecond, Events: 10, Confidence: 90, Slots: slots,
					})
					server.SetMaxWaiting(2 * slots)
					defer f.serveOn(ip, server)()
					f.models = append(f.models, server)
					f.store.Put("servers/"+id, entry("models", ip+":80", "ready"))
				}
				f.store.Delete("servers/m0")
				f.store.Delete("servers/m1")
				servers := f.models[2:]
				time.Sleep(startTime)
				f.parts = "shared*:20,own*:5"
				var running sync.WaitGroup
				var served atomic.Int64
				load := func(duration time.Duration) {
					// A server runs about four requests a second.
					step := time.Second / time.Duration(2.5*float64(slots*test.servers))
					for i := range int(duration / step) {
						running.Go(func() {
							if got := f.send(context.Background(), i%test.nodes, fmt.Sprint("/s/", i), "key-1"); got.status == http.StatusOK && got.err == nil {
								served.Add(1)
							}
						})
						time.Sleep(step)
					}
				}
				load(time.Second)
				for _, server := range servers {
					server.SetReports(http.Header{"Server-Brittle": {fmt.Sprint(test.limit)}})
				}
				load(contactTime)
				for _, server := range servers {
					server.SetMaxWaiting(1)
				}
				brittleSince, servedBefore := time.Now(), served.Load()
				const measured = 10 * time.Second
				load(measured)
				running.Wait()
				falls := 0
				for _, server := range servers {
					if most := mostRejectionsInASecond(server, brittleSince); most > test.limit {
						falls++
						t.Logf("rejected %d in a second", most)
					}
				}
				f.c.Check(falls <= 2+test.servers/10, qt.IsTrue, qt.Commentf("%d of %d servers fell over", falls, test.servers))
				capacity := float64(slots*test.servers) * measured.Seconds() / 0.95
				f.c.Check(float64(served.Load()-servedBefore) > 0.7*capacity, qt.IsTrue, qt.Commentf("%d served, %.0f possible", served.Load()-servedBefore, capacity))
			})
		})
	}
}
