package edge_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

// TestStreamOutlastsSilentDials guards against streams that are cut when their server's path is taken for silent and nothing may replace them: only new
// connections to the server are silent, as when its queue of them is full.
func TestStreamOutlastsSilentDials(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		_, end := f.replaceModelServers(platformfake.ServerOptions{
			Latency: 50 * time.Millisecond, Pause: 900 * time.Millisecond, Events: 6, Confidence: 90,
		})
		defer end()
		node := f.nodeWithoutRetries()
		time.AfterFunc(500*time.Millisecond, func() {
			f.network.BlackholeDials(f.nodes[node].ip, "10.1.0.9")
			f.send(context.Background(), node, "/s/2", "key-1")
		})
		got := f.send(context.Background(), node, "/s/1", "key-1")
		f.c.Check(got.err, qt.IsNil)
		f.c.Check(got.body, qt.Equals, platformfake.Stream("/s/1", 6))
		time.Sleep(recoveryTime)
	})
}
