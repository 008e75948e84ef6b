package edge_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
	"github.com/monsoonrail/monsoonrail/internal/site"
)

// nodeWithoutRetries starts a further node that may retry nothing, and returns its index.
func (f *testFleet) nodeWithoutRetries() int {
	f.setBounds = func(bounds *site.Bounds) { bounds.RetryRatio, bounds.RetrySlack = 0, 0 }
	f.start("10.0.0.3")
	time.Sleep(startTime)
	return len(f.nodes) - 1
}

// TestSilentStreamIsKeptIfNothingMayReplaceIt guards against streams that are cut because their sound server pauses for longer than usual while no other
// server may go on.
func TestSilentStreamIsKeptIfNothingMayReplaceIt(t *testing.T) {
	for _, test := range []struct {
		name string
		// prepare returns the node to send to, and is called before the request; begun is called once the stream has begun.
		prepare func(f *testFleet, server *platformfake.Server) (node int)
		begun   func(f *testFleet, server *platformfake.Server)
	}{
		{name: "retry budget used up", prepare: func(f *testFleet, _ *platformfake.Server) int { return f.nodeWithoutRetries() }},
		{name: "the only server drains", begun: func(f *testFleet, _ *platformfake.Server) {
			f.store.Put("servers/m0", entry("models", "10.1.0.9:80", "draining"))
		}},
		{name: "keys may be old", prepare: func(f *testFleet, _ *platformfake.Server) int {
			f.store.SetDown(true)
			time.Sleep(2500 * time.Millisecond)
			return 0
		}},
		{name: "all attempts but one rejected", prepare: func(f *testFleet, server *platformfake.Server) int {
			server.SetResponse(http.StatusOK, true)
			go func() {
				for server.Arrivals() < 7 {
					time.Sleep(time.Millisecond)
				}
				server.SetResponse(http.StatusOK, false)
			}()
			return 0
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				server, end := f.replaceModelServers(platformfake.ServerOptions{
					Latency: 50 * time.Millisecond, Pause: 2500 * time.Millisecond, Events: 4, Confidence: 90,
				})
				defer end()
				node := 0
				if test.prepare != nil {
					node = test.prepare(f, server)
				}
				if test.begun != nil {
					time.AfterFunc(200*time.Millisecond, func() { test.begun(f, server) })
				}
				got := f.send(context.Background(), node, "/s/1", "key-1")
				f.c.Check(got.err, qt.IsNil)
				f.c.Check(got.status, qt.Equals, http.StatusOK)
				f.c.Check(got.body, qt.Equals, platformfake.Stream("/s/1", 4))
				f.store.SetDown(false)
			})
		})
	}
}

// TestSlowAnswerIsAwaitedIfNothingMayReplaceIt guards against answers that are dropped because they begin, or go on, later than usual, while no other
// server may be asked.
func TestSlowAnswerIsAwaitedIfNothingMayReplaceIt(t *testing.T) {
	for _, test := range []struct {
		name, path, body string
		latency          time.Duration
	}{
		{"call", "/r/1", "answer of c0", 400 * time.Millisecond},
		{"stream", "/s/1", platformfake.Stream("/s/1", 6), 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				_, end := f.replaceModelServers(platformfake.ServerOptions{Latency: test.latency, Pause: 100 * time.Millisecond, Events: 6, Confidence: 90})
				defer end()
				f.calls.SetLatency(test.latency)
				got := f.send(context.Background(), f.nodeWithoutRetries(), test.path, "key-1")
				f.c.Check(got.err, qt.IsNil)
				f.c.Check(got.status, qt.Equals, http.StatusOK)
				f.c.Check(got.body, qt.Equals, test.body)
			})
		})
	}
}

// TestBegunStreamOutlastsFullServers guards against streams that are cut because all servers are full for a moment after one has stopped sending.
func TestBegunStreamOutlastsFullServers(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		server, end := f.replaceModelServers(platformfake.ServerOptions{
			Latency: 50 * time.Millisecond, Pause: 2500 * time.Millisecond, Events: 3, Confidence: 90,
		})
		defer end()
		time.AfterFunc(200*time.Millisecond, func() { server.SetResponse(http.StatusOK, true) })
		time.AfterFunc(3*time.Second, func() { server.SetResponse(http.StatusOK, false) })
		got := f.send(context.Background(), 0, "/s/1", "key-1")
		f.c.Check(got.err, qt.IsNil)
		f.c.Check(got.body, qt.Equals, platformfake.Stream("/s/1", 3))
	})
}
