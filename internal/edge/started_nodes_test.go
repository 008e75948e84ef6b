package edge_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStartingNodeHoldsRequestsUntilKeysAreConfirmed sends requests to a node that has just started, before it has listed the store and between the
// list, which may be seconds old, and the read that confirms it: both are served, though keys can't be checked yet when they arrive.
func TestStartingNodeHoldsRequestsUntilKeysAreConfirmed(t *testing.T) {
	const (
		starting = "10.0.0.3"
		// A call takes four times the delay with its connection: the list ends after 120 ms, the read that confirms it after 240 ms.
		delay = 30 * time.Millisecond
	)
	for _, test := range []struct {
		name string
		at   time.Duration
	}{{"before the list", 20 * time.Millisecond}, {"before the confirmation", 160 * time.Millisecond}} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				for _, ip := range []string{storeIP, f.nodes[0].ip, f.nodes[1].ip} {
					f.network.Delay(starting, ip, delay)
				}
				f.start(starting)
				time.Sleep(test.at)
				f.c.Check(f.send(context.Background(), 2, "/r/1", "key-1").status, qt.Equals, http.StatusOK)
			})
		})
	}
}
