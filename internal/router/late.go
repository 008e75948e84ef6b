package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/hedge"
	"github.com/monsoonrail/monsoonrail/internal/silence"
)

// hedgeTimer watches an attempt that may be hedged: if its first chunk is late, the attempt is abandoned for one on another
// server. The second attempt begins once the first has ended, so that a request that crashes servers runs on one at a time, as
// the guard requires.
type hedgeTimer struct {
	gen   *generation
	timer *time.Timer
	state atomic.Int32
}

// States of a hedge timer.
const (
	// hedgeWaiting means that no chunk has arrived, hedgeAnswered that one has, hedgeAbandoned that the attempt ends without
	// one.
	hedgeWaiting int32 = iota
	hedgeAnswered
	hedgeAbandoned
)

// errLate means that an attempt was abandoned because its first chunk was late.
type errLate struct{}

func (*errLate) Error() string { return "the first token is late" }

func isLate(err error) bool {
	var late *errLate
	return errors.As(err, &late)
}

// streamUnlessHedged streams an attempt that its hedge timer may abandon.
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

// startHedgeTimer returns the timer of an attempt that its server has accepted; nil if the attempt is not to be hedged.
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

// abandon ends the attempt if another server is a better choice by now and the retry budget pays for the hedge.
func (l *hedgeTimer) abandon() {
	if !l.gen.run.hasBetterServer(l.gen.to) || !l.gen.run.router.spendHedge() {
		return
	}
	if l.state.CompareAndSwap(hedgeWaiting, hedgeAbandoned) {
		l.gen.run.router.opts.Metrics.Counter("hedges").Inc(1)
		l.gen.cancel()
	}
}

// markAnswered records that a chunk has arrived; it returns false if the attempt was abandoned before.
func (l *hedgeTimer) markAnswered() bool {
	return l == nil || l.state.CompareAndSwap(hedgeWaiting, hedgeAnswered) || l.state.Load() == hedgeAnswered
}

// isAbandoned reports whether the attempt was abandoned.
func (l *hedgeTimer) isAbandoned() bool { return l != nil && l.state.Load() == hedgeAbandoned }

// stop stops the timer.
func (l *hedgeTimer) stop() {
	if l != nil {
		l.timer.Stop()
	}
}

// hasBetterServer reports whether another server, on which the request has not failed, would be chosen now.
func (c *chatRun) hasBetterServer(to target) bool {
	now := time.Now()
	able := usable(c.router.opts.Registry.OfService(c.plan.service), to.version, c.failedServers, now)
	return len(able) > 1 && c.chooseServer(to.version, able, now) != to.server
}

// spendHedge pays for a hedge, only from the retries that first attempts have earned: the reserve is for server crashes.
func (r *Router) spendHedge() bool {
	r.retryMu.Lock()
	defer r.retryMu.Unlock()
	return r.retries.Spend()
}

// cancelLate cancels an abandoned attempt. A server that doesn't confirm this may have crashed while it ran the request.
func (c *chatRun) cancelLate(ctx context.Context, gen *generation, cause error) {
	c.hedged = true
	if c.cancelAtEngine(gen.to.server.Address, gen.attempt, silence.ProbeTimeout) {
		return
	}
	c.router.DetectCrash(ctx, gen.to.server, cause)
	// If the server is healthy, the connection was at fault and a new one carries the cancellation.
	c.cancelAtEngine(gen.to.server.Address, gen.attempt, silence.ProbeTimeout)
}
