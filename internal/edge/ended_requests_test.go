package edge_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

// requestKinds are paths of requests that may run once, may be repeated, and may be resumed.
var requestKinds = []struct{ name, path string }{{"call", "/c/1"}, {"read", "/r/1"}, {"stream", "/s/1"}}

// allServers returns the servers of all services.
func (f *testFleet) allServers() []*platformfake.Server {
	return append([]*platformfake.Server{f.calls}, f.models...)
}

// arrivals returns the number of requests that have reached servers.
func (f *testFleet) arrivals() (count int) {
	for _, server := range f.allServers() {
		count += server.Arrivals()
	}
	return count
}

// TestTimeoutsOfRoutes sends requests on routes with a timeout to servers that take longer. The caller must have a final answer half a second after the
// timeout at most, and nothing may be sent to a server afterwards.
func TestTimeoutsOfRoutes(t *testing.T) {
	const timeout, late = time.Second, 500 * time.Millisecond
	for _, kind := range requestKinds {
		t.Run(kind.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				bounded := string(configurationVersion(2, "key-1"))
				for _, routeType := range []string{"unsafe", "safe"} {
					bounded = strings.ReplaceAll(bounded, `"routeType":"`+routeType+`","targetLatencyMs"`, `"routeType":"`+routeType+`","timeoutMs":1000,"targetLatencyMs"`)
				}
				bounded = strings.Replace(bounded, `"timeoutMs":20000`, `"timeoutMs":1000`, 1)
				f.store.Put("op/config", []byte(bounded))
				time.Sleep(time.Second)
				for _, server := range f.allServers() {
					server.SetLatency(8 * time.Second)
				}
				began := time.Now()
				got := f.send(context.Background(), 0, kind.path, "key-1")
				took := time.Since(began)
				t.Logf("status %d after %s", got.status, took)
				f.c.Check(got.err, qt.IsNil)
				// Neither status promises that the request has not run.
				f.c.Check(got.status == http.StatusGatewayTimeout || got.status == http.StatusBadGateway, qt.IsTrue)
				f.c.Check(took <= timeout+late, qt.IsTrue)
				arrivals := f.arrivals()
				time.Sleep(10 * time.Second)
				f.c.Check(f.arrivals(), qt.Equals, arrivals)
			})
		})
	}
}

// TestRequestsEndWithTheirCaller closes the caller's connection while a server works on its request: nothing may be sent to a server afterwards, and the run
// must be abandoned soon unless it is one of a call that may run once.
func TestRequestsEndWithTheirCaller(t *testing.T) {
	const late = 500 * time.Millisecond
	for _, kind := range requestKinds {
		for _, test := range []struct {
			name    string
			latency time.Duration
			after   time.Duration
		}{
			{"before the answer", 5 * time.Second, 300 * time.Millisecond},
			{"within the stream", 50 * time.Millisecond, 300 * time.Millisecond},
		} {
			if test.latency < time.Second && kind.name != "stream" {
				continue
			}
			t.Run(kind.name+" "+test.name, func(t *testing.T) {
				withTestFleet(t, func(f *testFleet) {
					for _, server := range f.allServers() {
						server.SetLatency(test.latency)
					}
					ctx, cancel := context.WithTimeout(context.Background(), test.after)
					defer cancel()
					f.send(ctx, 0, kind.path, "key-1")
					arrivals := f.arrivals()
					f.c.Check(arrivals > 0, qt.IsTrue)
					time.Sleep(late)
					var abandoned []string
					for _, server := range f.allServers() {
						abandoned = append(abandoned, server.Abandoned()...)
					}
					if kind.name != "call" {
						f.c.Check(abandoned, qt.HasLen, arrivals)
					}
					time.Sleep(10 * time.Second)
					f.c.Check(f.arrivals(), qt.Equals, arrivals)
				})
			})
		}
	}
}
