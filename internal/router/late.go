package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/hedge"
	"github.com/monsoonrail/monsoonrail/internal/silence"
)

// hedgeTimer watches a generation that may be hedged: if its first chunk is hedgeTimer, it is given up for another server's. The second
// generation begins once the first has ended, so that a request which crashes servers runs on one at a time, as the guard
// needs it.
type hedgeTimer struct {
	gen   *generation
	timer *time.Timer
	state atomic.Int32
}

// States of late.
const (
	// hedgeWaiting means that no chunk has come, lateBegun that one has, lateGivenUp that the generation ends without one.
	hedgeWaiting int32 = iota
	hedgeAnswered
	hedgeAbandoned
)

// errLate means that a generation was given up because its first chunk was late.
type errLate struct{}

func (*errLate) Error() string { return "the first token is late" }

func isLate(err error) bool {
	var late *errLate
	return errors.As(err, &late)
}

// streamUnlessHedged streams a generation that may be given up for being late.
func (g *generation) streamUnlessHedged(ctx context.Context) error {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.cancel = cancel
	err := g.stream(streamCtx)
	g.hedgeTimer.stop()
	if ctx.Err() == nil && g.hedgeTimer.isAbandoned() {
		return &errLate{}
	}
	return err
}

// startHedgeTimer returns the watch of a generation that its server has accepted; nil if it is not to be hedged.
func (g *generation) startHedgeTimer() *hedgeTimer {
	c := g.run
	after := g.server.LateAfter()
	if after == 0 {
		return nil
	}
	cfg := c.router.opts.Configs.Current()
	delay, ok := hedge.Delay(hedge.Input{
		Allowed:       cfg.PolicyFor(c.plan.scope(c.router.opts.FailureDomain), g.dispatchedAt).Hedge,
		Idempotent:    !c.key.AtMostOnce,
		Suspect:       g.to.restricted,
		InRollOut:     g.to.choice.Reason == reasonTrial,
		AnswerBegun:   g.out.Len() > 0,
		AlreadyHedged: c.hedged,
		LateAfter:     after,
		Remaining:     c.plan.deadline.Sub(g.dispatchedAt),
	})
	if !ok {
		return nil
	}
	l := &hedgeTimer{gen: g}
	l.timer = time.AfterFunc(delay-time.Since(g.dispatchedAt), l.abandon)
	return l
}

// abandon ends the generation if another server is a better choice by now and the budget of retries pays for it.
func (l *hedgeTimer) abandon() {
	if !l.gen.run.hasBetterServer(l.gen.to) || !l.gen.run.router.spendHedge() {
		return
	}
	if l.state.CompareAndSwap(hedgeWaiting, hedgeAbandoned) {
		l.gen.run.router.opts.Metrics.Counter("hedges").Inc(1)
		l.gen.cancel()
	}
}

// markAnswered notes that a chunk has come; it returns false if the generation was given up before.
func (l *hedgeTimer) markAnswered() bool {
	return l == nil || l.state.CompareAndSwap(hedgeWaiting, hedgeAnswered) || l.state.Load() == hedgeAnswered
}

// isAbandoned reports whether the generation was given up.
func (l *hedgeTimer) isAbandoned() bool { return l != nil && l.state.Load() == hedgeAbandoned }

// stop ends the watch.
func (l *hedgeTimer) stop() {
	if l != nil {
		l.timer.Stop()
	}
}

// hasBetterServer reports whether a server that has not failed the request would be chosen now before the target's.
func (c *chatRun) hasBetterServer(to target) bool {
	now := time.Now()
	able := usable(c.router.opts.Registry.OfService(c.plan.service), to.version, c.failedServers, now)
	return len(able) > 1 && c.chooseServer(to.version, able, now) != to.server
}

// spendHedge pays for a hedge, from what first tries have earned alone: the reserve is for the deaths of servers.
func (r *Router) spendHedge() bool {
	r.retryMu.Lock()
	defer r.retryMu.Unlock()
	return r.retries.Spend()
}

// cancelLate ends a generation that was given up. A server that doesn't confirm its end may have died while it ran the request.
func (c *chatRun) cancelLate(ctx context.Context, gen *generation, cause error) {
	c.hedged = true
	if c.cancelAtEngine(gen.to.server.Address, gen.attempt, silence.ProbeTimeout) {
		return
	}
	c.router.DetectCrash(ctx, gen.to.server, cause)
	// If the server is well, the connection was at fault, and another one brings the order.
	c.cancelAtEngine(gen.to.server.Address, gen.attempt, silence.ProbeTimeout)
}
