package edge_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestReadAtShutdownIsAnswered guards against requests that a stopping node reads and doesn't answer: the node stands still while one arrives on a new
// connection, and its HTTP server shuts down meanwhile.
func TestRequestReadAtShutdownIsAnswered(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.nodes[0].stop()
		time.Sleep(4600 * time.Millisecond)
		f.network.Pause(f.nodes[0].ip)
		time.AfterFunc(400*time.Millisecond, func() { f.network.Resume(f.nodes[0].ip) })
		got := f.send(context.Background(), 0, "/r/1", "key-1")
		f.c.Check(got.err, qt.IsNil)
	})
}
