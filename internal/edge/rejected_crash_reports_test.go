package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestRejectedNodesShareCrashReports sends a crashing request to nodes whose store calls are rejected. The other nodes must know the request from the reports and
// run it on no server.
func TestRejectedNodesShareCrashReports(t *testing.T) {
	const nodes, domains = 9, 3
	withTestFleet(t, func(f *testFleet) {
		for i := range nodes - len(f.nodes) {
			f.startIn(fmt.Sprintf("10.0.1.%d", i+1), api.FailureDomain(fmt.Sprintf("z%d", i%domains+1)))
		}
		f.addModelServer()
		f.addModelServer()
		time.Sleep(2 * startTime)
		f.store.Reject(f.nodes[0].ip, f.nodes[1].ip)
		// The rejected nodes switch to reading the store through others.
		time.Sleep(2 * time.Second)
		f.parts = "bad:10"
		for node := range 2 {
			f.c.Check(f.send(context.Background(), node, "/s/1", "key-1").status, qt.Equals, http.StatusBadGateway)
			time.Sleep(time.Second)
		}
		runs := len(f.executedRuns())
		for node := 2; node < nodes; node++ {
			f.c.Check(f.send(context.Background(), node, "/s/1", "key-1").status, qt.Equals, http.StatusServiceUnavailable)
		}
		f.c.Check(f.executedRuns(), qt.HasLen, runs)
		time.Sleep(2 * crashDowntime)
	})
}
