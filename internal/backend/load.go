package backend

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/internal/warmup"
)

// slowdownWeight is the weight of one report in the moving average of the slowdown.
const slowdownWeight = 0.02

// loadMemory is the time in which the weight of a load report in the mean of its service falls to 1/e.
const loadMemory = 500 * time.Millisecond

// place is this node's rank among the nodes, from 0, and their number.
type place struct{ rank, nodes atomic.Int64 }

// ServiceLoad is this node's view of the load of a service as a whole, kept up to date at each report, so that reading it takes the same time whatever
// the number of servers. It is safe for concurrent use.
type ServiceLoad struct {
	// inFlight counts this node's requests at all servers of the service.
	inFlight atomic.Int64
	place    *place
	// warmUp is how the servers warm up; nil until it is known.
	warmUp atomic.Pointer[warmup.Policy]

	mu sync.Mutex
	// sum is the sum of the other nodes' requests in the reports and weight that of the reports, both as of at.
	sum, weight float64
	at          time.Time
	// slowdown is the moving average of what the servers say of how slow their machines are; 0 before the first one.
	slowdown float64
	// brittleness is what the servers have said of themselves.
	brittleness selfreport.Brittleness
}

// recordBrittleness takes in a report of one of the servers.
func (l *ServiceLoad) recordBrittleness(report selfreport.Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brittleness.Record(report, now)
}

// warmUpPolicy returns how the servers warm up.
func (l *ServiceLoad) warmUpPolicy() warmup.Policy {
	if policy := l.warmUp.Load(); policy != nil {
		return *policy
	}
	return warmup.Policy{}
}

// warmUpTurn returns this node's turn at a server at which the order of the nodes begins at offset; nodes is the number of nodes.
func (l *ServiceLoad) warmUpTurn(offset float64, nodes int) warmup.Turn {
	return warmup.Turn{Rank: int(l.place.rank.Load()), Nodes: nodes, Offset: offset}
}

// isBrittle reports whether the servers are brittle.
func (l *ServiceLoad) isBrittle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.brittleness.IsSet(now)
}

// rejected records that one of the servers had no room for a request.
func (l *ServiceLoad) rejected(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brittleness.Rejected(now)
}

// checkRoom returns whether a server, with the given state and requests, is expected to have room.
func (l *ServiceLoad) checkRoom(state *selfreport.State, inFlight int, offset float64, now time.Time) selfreport.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	turn := selfreport.Turn{Rank: int(l.place.rank.Load()), Nodes: int(l.place.nodes.Load()), Offset: offset}
	return state.CheckRoom(&l.brittleness, inFlight, turn, now)
}

// record takes in a server's load report; own is the number of this node's requests at the server.
func (l *ServiceLoad) record(load Load, own int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.sum += float64(max(0, load.Running+load.Waiting-own))
	l.weight++
	switch {
	case load.Slowdown <= 0:
	case l.slowdown == 0:
		l.slowdown = load.Slowdown
	default:
		l.slowdown += slowdownWeight * (load.Slowdown - l.slowdown)
	}
}

// meanSlowdown returns how many times as long as usual work takes on the servers' machines on average; 0 if unknown.
func (l *ServiceLoad) meanSlowdown() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slowdown
}

// decay reduces the weight of earlier reports; the caller holds l.mu.
func (l *ServiceLoad) decay(now time.Time) {
	if age := now.Sub(l.at); age > 0 {
		factor := math.Exp(-float64(age) / float64(loadMemory))
		l.sum, l.weight, l.at = l.sum*factor, l.weight*factor, now
	}
}

// minLoadWeight is the weight of reports below which they are too old to tell anything: that of one report after four times loadMemory.
const minLoadWeight = 0.018

// MeanPeerInFlight returns the mean number of other nodes' requests at a server by the recent reports; 0 if there are none.
func (l *ServiceLoad) MeanPeerInFlight(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.decay(now); l.weight < minLoadWeight {
		return 0
	}
	return l.sum / l.weight
}

// Utilization estimates the fraction of the slots in use at a pool of the service's servers; it exceeds 1 where requests wait.
func (l *ServiceLoad) Utilization(pool *Pool, now time.Time) float64 {
	inFlight := float64(l.inFlight.Load()) + l.MeanPeerInFlight(now)*float64(len(pool.servers))
	return inFlight / float64(max(pool.slots, 1))
}
