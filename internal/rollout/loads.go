package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/order"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// loadQueue is how long the loads under way may take together at the weight store's rate.
	loadQueue = 2 * time.Minute
	// blindLoads is how many loads are under way at most while the weight store's rate is unknown.
	blindLoads = 2
	// reloadAfter is how long a server that failed to load is left alone.
	reloadAfter = 5 * time.Minute
)

// Weights is what the weight store says about a version; its zero value is unknown.
type Weights struct {
	Bytes          int64
	BytesPerSecond float64
	// Waiting counts the fetches that wait at the store, for whatever version.
	Waiting int
}

// loadsAllowed returns how many more loads may be ordered while some are under way.
func loadsAllowed(w Weights, loading int) int {
	if w.Bytes <= 0 || w.BytesPerSecond <= 0 {
		return max(0, blindLoads-loading)
	}
	each := time.Duration(float64(w.Bytes) / w.BytesPerSecond * float64(time.Second))
	allowed := int(loadQueue/max(each, time.Millisecond)) - max(w.Waiting, loading)
	if loading == 0 && w.Waiting == 0 {
		allowed = max(allowed, 1)
	}
	return max(0, allowed)
}

// ServerStatus is a server of the roll-out's service as it was last read.
type ServerStatus struct {
	Server fleet.Server
	Status order.Status
	// Unreachable tells that the server did not tell its state.
	Unreachable bool
	// FailedAt is when the server was last seen to fail to load the candidate.
	FailedAt time.Time
}

func (s ServerStatus) hasFailed(now time.Time) bool {
	return !s.FailedAt.IsZero() && now.Sub(s.FailedAt) < reloadAfter
}

// poolOf counts the servers that are of use.
func poolOf(seats []ServerStatus, now time.Time) PoolCounts {
	var pool PoolCounts
	for _, seat := range seats {
		if seat.Server.Leaving {
			continue
		}
		pool.Servers++
		switch {
		case seat.Status == order.StatusLoaded:
			pool.Loaded++
		case seat.hasFailed(now):
			pool.Failed++
		}
	}
	return pool
}

// DueOrder is an order that a server needs.
type DueOrder struct {
	Server  fleet.Server
	Action  order.Action
	Version api.VersionID
}

// ordersDue returns the orders that bring the servers towards what the roll-out wants: loads no faster than the weight
// store gives, first where the failure domain has the fewest.
func ordersDue(r RollOut, seats []ServerStatus, w Weights, now time.Time) []DueOrder {
	if r.Phase == PhaseAborting {
		return unloadsDue(r, seats)
	}
	present, loading := 0, 0
	perDomain := map[api.FailureDomain]int{}
	var free []ServerStatus
	for _, seat := range seats {
		switch {
		case seat.Server.Leaving:
		case seat.Status == order.StatusLoaded, seat.Status == order.StatusLoading:
			present++
			perDomain[seat.Server.FailureDomain]++
			if seat.Status == order.StatusLoading {
				loading++
			}
		case !seat.hasFailed(now) && !seat.Unreachable:
			free = append(free, seat)
		}
	}
	missing := r.ServersToLoad(poolOf(seats, now).Servers) - present
	count := min(missing, loadsAllowed(w, loading), len(free))
	var due []DueOrder
	for range max(0, count) {
		next := slices.MinFunc(free, func(a, b ServerStatus) int {
			return cmp.Or(cmp.Compare(perDomain[a.Server.FailureDomain], perDomain[b.Server.FailureDomain]), cmp.Compare(a.Server.ID, b.Server.ID))
		})
		free = slices.DeleteFunc(free, func(s ServerStatus) bool { return s.Server.ID == next.Server.ID })
		perDomain[next.Server.FailureDomain]++
		due = append(due, DueOrder{Server: next.Server, Action: order.ActionLoad, Version: r.Plan.Version})
	}
	return due
}

func unloadsDue(r RollOut, seats []ServerStatus) []DueOrder {
	if r.Applied == 0 {
		return nil
	}
	var due []DueOrder
	for _, seat := range seats {
		if seat.Status != "" && !seat.Unreachable {
			due = append(due, DueOrder{Server: seat.Server, Action: order.ActionUnload, Version: r.Plan.Version})
		}
	}
	return due
}
