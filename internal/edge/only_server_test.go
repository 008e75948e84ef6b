package edge_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

// TestSilentStreamIsKeptIfOnlyItsServerIsKnownToTakeIt guards against streams that are given up for their server's silence where the replacement would be that server
// itself: its place may be taken meanwhile.
func TestSilentStreamIsKeptIfOnlyItsServerIsKnownToTakeIt(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		server, end := f.replaceModelServers(platformfake.ServerOptions{
			Latency: 50 * time.Millisecond, Pause: 1500 * time.Millisecond, Events: 4, Confidence: 90,
		})
		defer end()
		time.AfterFunc(200*time.Millisecond, func() {
			server.SetResponse(http.StatusOK, true)
			f.nodes[0].stop()
		})
		got := f.send(context.Background(), 0, "/s/1", "key-1")
		f.c.Check(got.err, qt.IsNil)
		f.c.Check(got.body, qt.Equals, platformfake.Stream("/s/1", 4))
		<-f.nodes[0].done
	})
}
