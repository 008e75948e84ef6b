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

// TestUnsentAttemptsLeaveTheRetryBudget guards against attempts that draw on the retry budget after ones that were given up while their connections were opened:
// no server has got the request.
func TestUnsentAttemptsLeaveTheRetryBudget(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		// A third of the slack is left for one retry.
		f.setBounds = func(bounds *site.Bounds) { bounds.RetryRatio, bounds.RetrySlack = 0, 6 }
		f.start("10.0.0.3")
		time.Sleep(startTime)
		for _, node := range f.nodes {
			f.network.BlackholeDials(node.ip, "10.2.0.1")
		}
		time.AfterFunc(700*time.Millisecond, func() {
			for _, node := range f.nodes {
				f.network.Heal(node.ip, "10.2.0.1")
			}
		})
		got := f.send(context.Background(), 2, "/r/1", "key-1")
		f.c.Check(got.err, qt.IsNil)
		f.c.Check(got.status, qt.Equals, http.StatusOK)
		time.Sleep(3 * time.Second)
		f.setScript(platformfake.Script{Status: http.StatusInternalServerError, Text: "failed", IsFramedEnd: true})
		got = f.send(context.Background(), 2, "/r/2", "key-1")
		f.c.Check(got.err, qt.IsNil)
		f.c.Check(got.status, qt.Equals, http.StatusOK)
	})
}
