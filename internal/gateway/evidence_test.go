package gateway

import (
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
)

// slowVersions knows a pace above which answers are slow, and counts the outcomes.
type slowVersions struct {
	Versions
	observed atomic.Int64
}

// SlowPace implements Versions.
func (*slowVersions) SlowPace(route.Service, route.Name) float64 { return 4 }

// Observe implements Versions.
func (v *slowVersions) Observe(versionrollout.Outcome) { v.observed.Add(1) }

// TestClaimedPromptsMakeNoVersionSlow claims a prompt of a size that no server can read: an answer on its way is neither slow at once, nor never.
func TestClaimedPromptsMakeNoVersionSlow(t *testing.T) {
	for _, claimed := range []int{math.MaxInt, math.MinInt, 0} {
		synctest.Test(t, func(t *testing.T) {
			versions := new(slowVersions)
			d := &dispatcher{
				g: &Gateway{opts: Options{Versions: versions}},
				admittedRequest: &admittedRequest{
					RequestInfo: RequestInfo{PromptTokens: claimed}, route: &route.Route{Kind: route.KindStream}, service: &route.ServiceInfo{},
				},
			}
			defer d.watchFirstEvent(&backend.TrackedServer{})()
			time.Sleep(time.Second)
			qt.Check(t, versions.observed.Load(), qt.Equals, int64(0))
			time.Sleep(versionrollout.DurationAtPace(4, maxPromptTokens, 0))
			synctest.Wait()
			qt.Check(t, versions.observed.Load(), qt.Equals, int64(1))
		})
	}
}
