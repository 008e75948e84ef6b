package rollout

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/order"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func TestLoadsFollowTheWeightStoresRate(t *testing.T) {
	const gigabyte = 1 << 30
	for _, test := range []struct {
		weights Weights
		loading int
		want    int
	}{
		{Weights{}, 0, maxLoadsAtUnknownRate},
		{Weights{}, maxLoadsAtUnknownRate, 0},
		// 30 s each: four fit into the two minutes.
		{Weights{Bytes: 30 * gigabyte, BytesPerSecond: gigabyte}, 0, 4},
		{Weights{Bytes: 30 * gigabyte, BytesPerSecond: gigabyte}, 3, 1},
		{Weights{Bytes: 30 * gigabyte, BytesPerSecond: gigabyte, Waiting: 9}, 0, 0},
		// A version that takes longer than maxLoadBacklog is loaded by one server at a time.
		{Weights{Bytes: 999 * gigabyte, BytesPerSecond: gigabyte}, 0, 1},
		{Weights{Bytes: 999 * gigabyte, BytesPerSecond: gigabyte}, 1, 0},
	} {
		qt.Check(t, loadsAllowed(test.weights, test.loading), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestLoadsAreSpreadOverFailureDomains(t *testing.T) {
	var seats []ServerStatus
	for i := range 8 {
		seats = append(seats, ServerStatus{Server: fleet.Server{
			ID: api.ServerID(fmt.Sprint("s", i)), FailureDomain: api.FailureDomain(fmt.Sprint("d", i/4)),
		}})
	}
	seats[0].Status = order.StatusLoaded
	seats[1].FailedAt = simStart
	seats[2].Server.Leaving = true
	seats[3].Unreachable = true
	r, err := Start(simPlan(), simStart)
	qt.Assert(t, err, qt.IsNil)
	r.Phase, r.Step = PhaseGrowing, len(r.Plan.Steps)-1
	due := ordersDue(r, seats, Weights{}, simStart.Add(time.Minute))
	qt.Assert(t, due, qt.HasLen, maxLoadsAtUnknownRate)
	for _, d := range due {
		qt.Check(t, d.Server.FailureDomain, qt.Equals, api.FailureDomain("d1"))
	}
	seats[1].FailedAt = simStart.Add(-loadRetryDelay)
	seats[4].Status = order.StatusLoaded
	qt.Assert(t, ordersDue(r, seats, Weights{}, simStart.Add(time.Minute))[0].Server.ID, qt.Equals, api.ServerID("s1"))
}
