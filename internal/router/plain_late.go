package router

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/hedge"
	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// A call of a plain service is late after plainLateFactor times the usual time of its kind plus plainLateMargin.
	plainLateFactor = 2
	plainLateMargin = 100 * time.Millisecond
)

// headerTimeKey identifies calls of plain services with similar times to the header.
type headerTimeKey struct {
	service api.Service
	method  string
}

// headerTimes estimates the 98th percentile of the recent times to the header of the answer for each kind of call. The zero
// value is ready to use; it is safe for concurrent use.
type headerTimes struct {
	mu  sync.Mutex
	p98 map[headerTimeKey]time.Duration
}

// lateAfter returns the time after which a call is late; 0 if no call of its kind was observed.
func (p *headerTimes) lateAfter(key headerTimeKey) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p98, ok := p.p98[key]
	if !ok {
		return 0
	}
	return plainLateFactor*p98 + plainLateMargin
}

// observe records a time to the header.
func (p *headerTimes) observe(key headerTimeKey, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.p98 == nil {
		p.p98 = make(map[headerTimeKey]time.Duration)
	}
	p.p98[key] = updateP98(p.p98[key], took)
}

// plainHedgeTimer watches an attempt that may be hedged: if the header of its answer is late, its connection is closed and the
// call is sent to another server. A nil timer watches nothing.
type plainHedgeTimer struct {
	// server runs the call; other is the server for a hedge, nil if no other server may run the call.
	server, other *registry.Server
	cancel        context.CancelFunc
	timer         *time.Timer
	state         atomic.Int32
	// isOverdue is set once the header is late, whether or not the attempt is abandoned for it.
	isOverdue atomic.Bool
}

func (p *plainRun) headerTimeKey() headerTimeKey {
	return headerTimeKey{service: p.call.Service, method: p.call.Method}
}

// startHedgeTimer returns the timer of an attempt, which ends the attempt by calling cancel; nil if the attempt is not to be
// hedged.
func (p *plainRun) startHedgeTimer(server *registry.Server, dispatched time.Time, cancel context.CancelFunc) *plainHedgeTimer {
	after := p.router.plainHeaderTimes.lateAfter(p.headerTimeKey())
	if after == 0 {
		return nil
	}
	delay, ok := hedge.Delay(hedge.Input{
		Allowed:       p.router.opts.Configs.Current().PolicyFor(p.scope, dispatched).Hedge,
		Idempotent:    !p.atMostOnce && !p.key.AtMostOnce,
		Suspect:       p.restricted,
		AlreadyHedged: p.hedged,
		LateAfter:     after,
		Remaining:     p.deadline.Sub(dispatched),
	})
	if !ok {
		return nil
	}
	l := &plainHedgeTimer{server: server, other: p.router.partnerOf(server, p.fingerprint, dispatched), cancel: cancel}
	l.timer = time.AfterFunc(delay, func() { p.router.abandonLate(l) })
	return l
}

// partnerOf returns the server to which a call may be moved from another server; nil if there is none.
func (r *Router) partnerOf(server *registry.Server, f poison.Fingerprint, now time.Time) *registry.Server {
	other, ok := partnerIn(r.poolServers(r.opts.Pools.PoolOf(server.Service)), server.ID, r.opts.Guard, f, now)
	if !ok {
		return nil
	}
	partner, _ := r.opts.Registry.Find(other)
	return partner
}

// partnerIn returns the one server of a pool to which a call may be moved from another server. The first server may continue
// the call, so that it may crash both, in either order. Calls are therefore moved only between the two servers that all nodes
// designate first for this call after a crash: a node that detects the crash of one can't rule out that the call ran on the
// other, and crashes no third server.
func partnerIn(pool []poison.PoolServer, server api.ServerID, guard Guard, f poison.Fingerprint, now time.Time) (api.ServerID, bool) {
	first, ok := guard.DesignatedServer(f, pool, now)
	if !ok {
		return "", false
	}
	rest := slices.DeleteFunc(slices.Clone(pool), func(m poison.PoolServer) bool { return m.ID == first })
	second, ok := guard.DesignatedServer(f, rest, now)
	switch {
	case ok && server == first:
		return second, true
	case ok && server == second:
		return first, true
	}
	return "", false
}

// abandonLate keeps new work away from a late server. It ends the attempt if another server can take the call and the retry
// budget pays for the hedge.
func (r *Router) abandonLate(l *plainHedgeTimer) {
	now := time.Now()
	l.isOverdue.Store(true)
	l.server.MarkFailed(now)
	if l.other == nil || l.other.IsLeaving() || l.other.IsAvoided(now) || l.other.IsUnresponsive(now) || !r.spendHedge() {
		return
	}
	if l.state.CompareAndSwap(hedgeWaiting, hedgeAbandoned) {
		r.opts.Metrics.Counter("hedges").Inc(1)
		l.cancel()
	}
}

// markAnswered records that the answer has begun; it returns false if the attempt was abandoned before.
func (l *plainHedgeTimer) markAnswered() bool {
	return l == nil || l.state.CompareAndSwap(hedgeWaiting, hedgeAnswered)
}

// isAbandoned reports whether the attempt was abandoned.
func (l *plainHedgeTimer) isAbandoned() bool { return l != nil && l.state.Load() == hedgeAbandoned }

// wasOverdue reports whether the header was late.
func (l *plainHedgeTimer) wasOverdue() bool { return l != nil && l.isOverdue.Load() }

// stop stops the timer.
func (l *plainHedgeTimer) stop() {
	if l != nil {
		l.timer.Stop()
	}
}

// endLateRuns records in the guard that the call no longer runs on the servers on which it was late.
func (p *plainRun) endLateRuns() {
	for _, endRun := range p.lateRunEnds {
		endRun()
	}
}
