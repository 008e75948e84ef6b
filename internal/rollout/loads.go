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
	// maxLoadBacklog is how long the loads in progress may take together at the weight store's rate.
	maxLoadBacklog = 2 * time.Minute
	// maxLoadsAtUnknownRate bounds the concurrent loads while the weight store's rate is unknown.
	maxLoadsAtUnknownRate = 2
	// loadRetryDelay is how long a server that failed to load, or rejected the order, gets no new order to load.
	loadRetryDelay = 5 * time.Minute
)

// Weights is the weight store's data on a version. Bytes or BytesPerSecond of 0 means unknown.
type Weights struct {
	Bytes          int64
	BytesPerSecond float64
	// Waiting counts the fetches that are queued at the store, of any version.
	Waiting int
}

// loadsAllowed returns how many more loads may be ordered while a number of servers are loading.
func loadsAllowed(weights Weights, loading int) int {
	if weights.Bytes <= 0 || weights.BytesPerSecond <= 0 {
		return max(0, maxLoadsAtUnknownRate-loading)
	}
	loadTime := time.Duration(float64(weights.Bytes) / weights.BytesPerSecond * float64(time.Second))
	allowed := int(maxLoadBacklog/max(loadTime, time.Millisecond)) - max(weights.Waiting, loading)
	if loading == 0 && weights.Waiting == 0 {
		allowed = max(allowed, 1)
	}
	return max(0, allowed)
}

// ServerStatus is the status of a server of the roll-out's service when it was last read.
type ServerStatus struct {
	Server fleet.Server
	// Status is the candidate's status on the server.
	Status order.Status
	// Unreachable is set if the last read of the server's state failed.
	Unreachable bool
	// FailedAt is when the server was found to have failed to load the candidate, or rejected an order; zero if it has not.
	FailedAt time.Time
}

func (s ServerStatus) hasFailedRecently(now time.Time) bool {
	return !s.FailedAt.IsZero() && now.Sub(s.FailedAt) < loadRetryDelay
}

// countServers counts the servers that are not leaving.
func countServers(servers []ServerStatus, now time.Time) PoolCounts {
	var counts PoolCounts
	for _, server := range servers {
		if server.Server.Leaving {
			continue
		}
		counts.Servers++
		switch {
		case server.Status == order.StatusLoaded:
			counts.Loaded++
		case server.hasFailedRecently(now):
			counts.Failed++
		}
	}
	return counts
}

// DueOrder is an order that a server needs.
type DueOrder struct {
	Server  fleet.Server
	Action  order.Action
	Version api.VersionID
}

// ordersDue returns the orders that bring the servers closer to what the roll-out requires: no more loads than the weight store can
// serve, first on servers in the failure domains that have the candidate on the fewest servers.
func ordersDue(r RollOut, servers []ServerStatus, weights Weights, now time.Time) []DueOrder {
	if r.Phase == PhaseAborting {
		return unloadsDue(r, servers)
	}
	present, loading := 0, 0
	perDomain := map[api.FailureDomain]int{}
	var free []ServerStatus
	for _, server := range servers {
		switch {
		case server.Server.Leaving:
		case server.Status == order.StatusLoaded, server.Status == order.StatusLoading:
			present++
			perDomain[server.Server.FailureDomain]++
			if server.Status == order.StatusLoading {
				loading++
			}
		case !server.hasFailedRecently(now) && !server.Unreachable:
			free = append(free, server)
		}
	}
	missing := r.ServersToLoad(countServers(servers, now).Servers) - present
	count := min(missing, loadsAllowed(weights, loading), len(free))
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

func unloadsDue(r RollOut, servers []ServerStatus) []DueOrder {
	if r.Applied == 0 {
		return nil
	}
	var due []DueOrder
	for _, server := range servers {
		if server.Status != "" && !server.Unreachable {
			due = append(due, DueOrder{Server: server.Server, Action: order.ActionUnload, Version: r.Plan.Version})
		}
	}
	return due
}
