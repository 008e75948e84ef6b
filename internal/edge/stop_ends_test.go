package edge_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEndOfAStopAnswersWaitingRequests guards against a stopping node that closes the connections of the requests whose answers have not begun at the end of the
// shutdown, when it can still tell their callers that there will be none.
func TestEndOfAStopAnswersWaitingRequests(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.calls.SetLatency(20 * time.Second)
		for _, server := range f.models {
			server.SetLatency(20 * time.Second)
		}
		f.nodes[0].stop()
		time.Sleep(time.Second)
		var sent sync.WaitGroup
		for _, path := range []string{"/c/1", "/r/1", "/o/1", "/s/1", "/one/1", "/once/1"} {
			sent.Go(func() {
				got := f.send(context.Background(), 0, path, "key-1")
				f.c.Check(got.err, qt.IsNil, qt.Commentf("%s", path))
				f.c.Check(got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", path))
			})
		}
		sent.Wait()
		<-f.nodes[0].done
	})
}
