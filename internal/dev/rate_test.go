package dev_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
)

// TestRateShareMovesToBusyNode limits a team's fleet-wide rate and sends all of its calls to one node: that node must get the other nodes'
// shares, and the limit must hold.
func TestRateShareMovesToBusyNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleetRate = 9.0
		b := newBench(t, func(o *dev.Options) {
			config := *o.Config
			rate := fleetRate
			config.Exceptions = append([]fleet.Exception{{
				ID: "a-rate", Scope: fleet.Scope{Team: "lessons"}, Set: fleet.PolicyPatch{RequestsPerSecond: &rate},
				Reason: "test", Author: "test",
			}}, config.Exceptions...)
			o.Config = &config
		})
		defer b.close()
		const asked = 600
		began := time.Now()
		answered := 0
		for range asked {
			resp, _ := b.do(http.MethodGet, b.system.NodeURL(0)+"/v1/services/forge-app/status", nil, "")
			if resp.StatusCode == http.StatusOK {
				answered++
			} else {
				qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusTooManyRequests)
				qt.Assert(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
			time.Sleep(30 * time.Millisecond)
		}
		allowed := fleetRate * time.Since(began).Seconds()
		t.Logf("%d of %d answered, the rate allows %.0f, this node's own part %.0f", answered, asked, allowed, allowed/3)
		qt.Check(t, float64(answered) <= allowed+fleetRate, qt.IsTrue)
		qt.Check(t, float64(answered) >= 0.6*allowed, qt.IsTrue)
	})
}
