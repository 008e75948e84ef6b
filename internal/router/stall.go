package router

import (
	"context"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/silence"
)

const (
	// maxStall is how long to wait for a server that lets every probe time out, while waiting is more promising than moving to
	// another server.
	maxStall = 15 * time.Second
	// maxProbeTimeout bounds the timeout of the probes of such a server: it doubles with each probe, since many new connections
	// don't help an overloaded server.
	maxProbeTimeout = 2 * time.Second
)

// stall is the period in which a server lets the probes of a generation time out. The zero value has not begun.
type stall struct {
	startedAt time.Time
	// timeout is the timeout of the next probe; 0 means silence.ProbeTimeout.
	timeout time.Duration
	// reported means that a possible crash of the server was recorded in the guard.
	reported bool
}

func (s *stall) probeTimeout() time.Duration { return max(s.timeout, silence.ProbeTimeout) }

// isReported reports whether a possible crash of the server was recorded in the guard.
func (s *stall) isReported() bool { return s.reported }

// end records that the server answered. The suspicion recorded in the guard ends when the request completes.
func (s *stall) end() { *s = stall{} }

// probeTimedOut reports whether a probe ended by its timeout, in which case the server may still be healthy.
func (g *generation) probeTimedOut(probedAt time.Time) bool {
	return time.Since(probedAt) >= g.stall.probeTimeout()
}

// keepsWaiting reports whether a generation stays with a server on which probes failed. It does if they timed out, as they do
// while a machine is overloaded, and no other server may run the request now. A crash is recorded in the guard at once, so
// that the request is suspected in time; the suspicion ends when the request completes.
func (g *generation) keepsWaiting(ctx context.Context, probedAt time.Time, crashed error) bool {
	if !g.probeTimedOut(probedAt) {
		return false
	}
	if !g.stall.reported {
		g.stall.reported = true
		g.stall.startedAt = time.Now()
		g.run.router.opts.Metrics.Counter("server_stalls").Inc(1)
		g.run.router.DetectCrash(ctx, g.to.server, crashed)
	}
	if time.Since(g.stall.startedAt) >= maxStall || g.canMove() {
		return false
	}
	g.to.server.MarkFailed(time.Now())
	g.stall.timeout = min(2*g.stall.probeTimeout(), maxProbeTimeout)
	return true
}

// canMove reports whether the guard lets the request run on another server now and that server isn't unresponsive too.
func (g *generation) canMove() bool {
	now := time.Now()
	allowed, problem := g.run.router.permitFor(g.run.plan.fingerprint, g.run.plan.service, true, now)
	if problem != nil {
		return false
	}
	return allowed.server == nil || allowed.server != g.to.server && !allowed.server.IsUnresponsive(now)
}
