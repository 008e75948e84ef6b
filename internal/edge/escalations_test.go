package edge_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

// TestAnswerIsKeptIfNoLargerModelMayAnswer guards against answers of low confidence that are dropped for a larger model which may not be asked.
func TestAnswerIsKeptIfNoLargerModelMayAnswer(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(f *testFleet, server *platformfake.Server)
	}{
		{"keys may be old", func(f *testFleet, _ *platformfake.Server) {
			// The keys become too old between the request's admission and its answer.
			f.store.SetDown(true)
			time.Sleep(2500 * time.Millisecond)
		}},
		{"the only server drains", func(f *testFleet, _ *platformfake.Server) {
			time.AfterFunc(200*time.Millisecond, func() { f.store.Put("servers/m0", entry("models", "10.1.0.9:80", "draining")) })
		}},
		{"all attempts but one rejected", func(_ *testFleet, server *platformfake.Server) {
			server.SetResponse(http.StatusOK, true)
			go func() {
				for server.Arrivals() < 7 {
					time.Sleep(time.Millisecond)
				}
				server.SetResponse(http.StatusOK, false)
			}()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				server, end := f.replaceModelServers(platformfake.ServerOptions{
					Latency: 1500 * time.Millisecond, Pause: 100 * time.Millisecond, Events: 6, Confidence: 1,
				})
				defer end()
				test.prepare(f, server)
				got := f.send(context.Background(), 0, "/s/1", "key-1")
				f.c.Check(got.err, qt.IsNil)
				f.c.Check(got.status, qt.Equals, http.StatusOK)
				f.c.Check(got.body, qt.Equals, platformfake.Stream("/s/1", 6))
				f.store.SetDown(false)
			})
		})
	}
}
