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
	// plainLateFactor is how many times the usual time of its kind a call of a plain service takes before it is late, and
	// plainLateAtLeast what is added.
	plainLateFactor = 2
	plainLateMargin = 100 * time.Millisecond
)

// headerTimeKey names calls of plain services whose times are alike.
type headerTimeKey struct {
	service api.Service
	method  string
}

// headerTimes learns how long the answers of each kind of call take to begin, as the 98th percentile of those of late. The zero
// value is ready; many goroutines may use it.
type headerTimes struct {
	mu  sync.Mutex
	p98 map[headerTimeKey]time.Duration
}

// lateAfter returns when a call is late; 0 if none of its kind was seen.
func (p *headerTimes) lateAfter(key headerTimeKey) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p98, ok := p.p98[key]
	if !ok {
		return 0
	}
	return plainLateFactor*p98 + plainLateMargin
}

// observe takes in a time.
func (p *headerTimes) observe(key headerTimeKey, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.p98 == nil {
		p.p98 = make(map[headerTimeKey]time.Duration)
	}
	p.p98[key] = updateP98(p.p98[key], took)
}

// plainHedgeTimer watches an attempt that may be hedged: if the header of its answer is late, its connection is closed and the call
// goes to another server. Nil watches nothing.
type plainHedgeTimer struct {
	// server has the call; other, which is nil if there is none, may get it.
	server, other *registry.Server
	cancel        context.CancelFunc
	timer         *time.Timer
	state         atomic.Int32
}

func (p *plainRun) headerTimeKey() headerTimeKey {
	return headerTimeKey{service: p.call.Service, method: p.call.Method}
}

// startHedgeTimer returns the watch of an attempt that cancel ends; nil if it is not to be hedged.
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

// partnerOf returns the server to which a call may be moved from another one; nil if there is none.
func (r *Router) partnerOf(server *registry.Server, f poison.Fingerprint, now time.Time) *registry.Server {
	other, ok := partnerIn(r.poolServers(r.opts.Pools.PoolOf(server.Service)), server.ID, r.opts.Guard, f, now)
	if !ok {
		return nil
	}
	partner, _ := r.opts.Registry.Find(other)
	return partner
}

// partnerIn returns the one server of a pool to which a call may be moved from another one. The first server may go on with the
// call, so that both may die of it in either order. They are therefore the two that all nodes try first for this call when a
// server died: a node that sees one death finds the other in question, and crashes no third.
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

// abandonLate keeps new work away from a server that is late, and ends the attempt if another server can take the call and the
// budget of retries pays for it.
func (r *Router) abandonLate(l *plainHedgeTimer) {
	now := time.Now()
	l.server.MarkFailed(now)
	if l.other == nil || l.other.IsLeaving() || l.other.IsAvoided(now) || l.other.IsUnresponsive(now) || !r.spendHedge() {
		return
	}
	if l.state.CompareAndSwap(hedgeWaiting, hedgeAbandoned) {
		r.opts.Metrics.Counter("hedges").Inc(1)
		l.cancel()
	}
}

// markAnswered notes that the answer has begun; it returns false if the attempt was given up before.
func (l *plainHedgeTimer) markAnswered() bool {
	return l == nil || l.state.CompareAndSwap(hedgeWaiting, hedgeAnswered)
}

// isAbandoned reports whether the attempt was given up.
func (l *plainHedgeTimer) isAbandoned() bool { return l != nil && l.state.Load() == hedgeAbandoned }

// stop ends the watch.
func (l *plainHedgeTimer) stop() {
	if l != nil {
		l.timer.Stop()
	}
}

// endLateRuns tells the guard that the call is over on the servers on which it was late.
func (p *plainRun) endLateRuns() {
	for _, leave := range p.lateRunEnds {
		leave()
	}
}
