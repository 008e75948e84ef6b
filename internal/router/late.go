package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/hedge"
	"github.com/monsoonrail/monsoonrail/internal/silence"
)

// late watches a generation that may be hedged: if its first chunk is late, it is given up for another server's. The second
// generation begins once the first has ended, so that a request which crashes servers runs on one at a time, as the guard
// needs it.
type late struct {
	gen   *generation
	timer *time.Timer
	state atomic.Int32
}

// States of late.
const (
	// lateWaiting means that no chunk has come, lateBegun that one has, lateGivenUp that the generation ends without one.
	lateWaiting int32 = iota
	lateBegun
	lateGivenUp
)

// errLate means that a generation was given up because its first chunk was late.
type errLate struct{}

func (*errLate) Error() string { return "the first token is late" }

func isLate(err error) bool {
	var late *errLate
	return errors.As(err, &late)
}

// streamUnlessLate streams a generation that may be given up for being late.
func (g *generation) streamUnlessLate(ctx context.Context) error {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.cancel = cancel
	err := g.stream(streamCtx)
	g.late.stop()
	if ctx.Err() == nil && g.late.isGivenUp() {
		return &errLate{}
	}
	return err
}

// watchLate returns the watch of a generation that its server has accepted; nil if it is not to be hedged.
func (g *generation) watchLate() *late {
	c := g.run
	after := g.server.LateAfter()
	if after == 0 {
		return nil
	}
	cfg := c.router.opts.Configs.Current()
	delay, ok := hedge.Delay(hedge.Input{
		Allowed:    cfg.PolicyFor(c.plan.scope(c.router.opts.FailureDomain), g.dispatched).Hedge,
		Idempotent: !c.key.AtMostOnce,
		Suspect:    g.to.guarded,
		Trial:      g.to.choice.Reason == reasonTrial,
		Answered:   g.out.Len() > 0,
		Hedged:     c.hedged,
		LateAfter:  after,
		Left:       c.plan.deadline.Sub(g.dispatched),
	})
	if !ok {
		return nil
	}
	l := &late{gen: g}
	l.timer = time.AfterFunc(delay-time.Since(g.dispatched), l.giveUp)
	return l
}

// giveUp ends the generation if another server is a better choice by now and the budget of retries pays for it.
func (l *late) giveUp() {
	if !l.gen.run.hasBetter(l.gen.to) || !l.gen.run.router.takeHedge() {
		return
	}
	if l.state.CompareAndSwap(lateWaiting, lateGivenUp) {
		l.gen.run.router.opts.Metrics.Counter("hedges").Inc(1)
		l.gen.cancel()
	}
}

// begin notes that a chunk has come; it returns false if the generation was given up before.
func (l *late) begin() bool {
	return l == nil || l.state.CompareAndSwap(lateWaiting, lateBegun) || l.state.Load() == lateBegun
}

// isGivenUp reports whether the generation was given up.
func (l *late) isGivenUp() bool { return l != nil && l.state.Load() == lateGivenUp }

// stop ends the watch.
func (l *late) stop() {
	if l != nil {
		l.timer.Stop()
	}
}

// hasBetter reports whether a server that has not failed the request would be chosen now before the target's.
func (c *chatRun) hasBetter(to target) bool {
	now := time.Now()
	able := usable(c.router.opts.Registry.OfService(c.plan.service), to.version, c.tried, now)
	return len(able) > 1 && c.chooseServer(to.version, able, now) != to.server
}

// takeHedge pays for a hedge, from what first tries have earned alone: the reserve is for the deaths of servers.
func (r *Router) takeHedge() bool {
	r.retryMu.Lock()
	defer r.retryMu.Unlock()
	return r.retries.Spend()
}

// endLate ends a generation that was given up. A server that doesn't confirm its end may have died while it ran the request.
func (c *chatRun) endLate(ctx context.Context, gen *generation, cause error) {
	c.hedged = true
	if c.cancelAtEngine(gen.to.server.Address, gen.attempt, silence.ProbeTimeout) {
		return
	}
	c.router.DetectCrash(ctx, gen.to.server, cause)
	// If the server is well, the connection was at fault, and another one brings the order.
	c.cancelAtEngine(gen.to.server.Address, gen.attempt, silence.ProbeTimeout)
}
