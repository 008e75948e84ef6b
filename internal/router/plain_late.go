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
	plainLateFactor  = 2
	plainLateAtLeast = 100 * time.Millisecond
)

// timesKey names calls of plain services whose times are alike.
type timesKey struct {
	service api.Service
	method  string
}

// plainTimes learns how long the answers of each kind of call take to begin, as the 98th percentile of those of late. The zero
// value is ready; many goroutines may use it.
type plainTimes struct {
	mu    sync.Mutex
	usual map[timesKey]time.Duration
}

// lateAfter returns when a call is late; 0 if none of its kind was seen.
func (p *plainTimes) lateAfter(key timesKey) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, ok := p.usual[key]
	if !ok {
		return 0
	}
	return plainLateFactor*usual + plainLateAtLeast
}

// observe takes in a time.
func (p *plainTimes) observe(key timesKey, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usual == nil {
		p.usual = make(map[timesKey]time.Duration)
	}
	p.usual[key] = follow(p.usual[key], took)
}

// plainLate watches an attempt that may be hedged: if the header of its answer is late, its connection is closed and the call
// goes to another server. Nil watches nothing.
type plainLate struct {
	// server has the call; other, which is nil if there is none, may get it.
	server, other *registry.Server
	cancel        context.CancelFunc
	timer         *time.Timer
	state         atomic.Int32
}

func (p *plainRun) timesKey() timesKey {
	return timesKey{service: p.call.Service, method: p.call.Method}
}

// watchLate returns the watch of an attempt that cancel ends; nil if it is not to be hedged.
func (p *plainRun) watchLate(server *registry.Server, dispatched time.Time, cancel context.CancelFunc) *plainLate {
	after := p.router.plainTimes.lateAfter(p.timesKey())
	if after == 0 {
		return nil
	}
	delay, ok := hedge.Delay(hedge.Input{
		Allowed:    p.router.opts.Configs.Current().PolicyFor(p.scope, dispatched).Hedge,
		Idempotent: !p.once && !p.key.AtMostOnce,
		Suspect:    p.guarded,
		Hedged:     p.hedged,
		LateAfter:  after,
		Left:       p.deadline.Sub(dispatched),
	})
	if !ok {
		return nil
	}
	l := &plainLate{server: server, other: p.router.partnerOf(server, p.suspect, dispatched), cancel: cancel}
	l.timer = time.AfterFunc(delay, func() { p.router.giveUpLate(l) })
	return l
}

// partnerOf returns the server to which a call may be moved from another one; nil if there is none.
func (r *Router) partnerOf(server *registry.Server, f poison.Fingerprint, now time.Time) *registry.Server {
	other, ok := partnerIn(r.members(r.opts.Pools.PoolOf(server.Service)), server.ID, r.opts.Guard, f, now)
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
	first, ok := guard.Place(f, pool, now)
	if !ok {
		return "", false
	}
	rest := slices.DeleteFunc(slices.Clone(pool), func(m poison.PoolServer) bool { return m.ID == first })
	second, ok := guard.Place(f, rest, now)
	switch {
	case ok && server == first:
		return second, true
	case ok && server == second:
		return first, true
	}
	return "", false
}

// giveUpLate keeps new work away from a server that is late, and ends the attempt if another server can take the call and the
// budget of retries pays for it.
func (r *Router) giveUpLate(l *plainLate) {
	now := time.Now()
	l.server.MarkFailed(now)
	if l.other == nil || l.other.IsLeaving() || l.other.IsAvoided(now) || l.other.IsUnresponsive(now) || !r.takeHedge() {
		return
	}
	if l.state.CompareAndSwap(lateWaiting, lateGivenUp) {
		r.opts.Metrics.Counter("hedges").Inc(1)
		l.cancel()
	}
}

// begin notes that the answer has begun; it returns false if the attempt was given up before.
func (l *plainLate) begin() bool {
	return l == nil || l.state.CompareAndSwap(lateWaiting, lateBegun)
}

// isGivenUp reports whether the attempt was given up.
func (l *plainLate) isGivenUp() bool { return l != nil && l.state.Load() == lateGivenUp }

// stop ends the watch.
func (l *plainLate) stop() {
	if l != nil {
		l.timer.Stop()
	}
}

// leaveLate tells the guard that the call is over on the servers on which it was late.
func (p *plainRun) leaveLate() {
	for _, leave := range p.left {
		leave()
	}
}
