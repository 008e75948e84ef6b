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

// TestWaitingStreamLeavesTheRetryBudget guards against a begun stream that uses up the retry budget of all requests while its servers are full.
func TestWaitingStreamLeavesTheRetryBudget(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		server, end := f.replaceModelServers(platformfake.ServerOptions{
			Latency: 50 * time.Millisecond, Pause: 2500 * time.Millisecond, Events: 4, Confidence: 90, Script: f.nextScript,
		})
		defer end()
		// A third of the slack is left for 16 retries in 10 s, twice as many as a request may make before its answer begins.
		f.setBounds = func(bounds *site.Bounds) { bounds.RetryRatio, bounds.RetrySlack = 0, 60 }
		f.start("10.0.0.3")
		time.Sleep(startTime)
		time.AfterFunc(200*time.Millisecond, func() { server.SetResponse(http.StatusOK, true) })
		ctx, leave := context.WithTimeout(context.Background(), 6*time.Second)
		defer leave()
		got := f.send(ctx, 2, "/s/1", "key-1")
		f.c.Check(got.err, qt.IsNotNil)
		server.SetResponse(http.StatusOK, false)
		f.setScript(platformfake.Script{Status: http.StatusInternalServerError, Text: "failed", IsFramedEnd: true})
		time.Sleep(time.Second)
		got = f.send(context.Background(), 2, "/s/2", "key-1")
		f.c.Check(got.err, qt.IsNil)
		f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%d arrivals", server.Arrivals()))
	})
}
