package router

import (
	"context"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/silence"
)

const (
	// maxStall is how long a server is waited for that lets every probe run out of time, where waiting promises more than
	// another server does.
	maxStall = 15 * time.Second
	// maxProbeTimeout bounds the probes of a server that is waited for: each may take twice as long as the one before, since
	// an overloaded server is not helped by many new connections.
	maxProbeTimeout = 2 * time.Second
)

// stall is the time in which a server lets the probes of a generation run out of time. The zero value is one that has not begun.
type stall struct {
	startedAt time.Time
	// timeout is that of the next probe; 0 for silence.ProbeTimeout.
	timeout time.Duration
	// reported tells that the guard was reported that the server may have died.
	reported bool
}

func (s *stall) probeTimeout() time.Duration { return max(s.timeout, silence.ProbeTimeout) }

// isReported reports whether the guard knows that the server may have died.
func (s *stall) isReported() bool { return s.reported }

// end notes that the server answered; what the guard was told ends with the request.
func (s *stall) end() { *s = stall{} }

// probeTimedOut reports whether a probe ended because it ran out of time: the server may still be well.
func (g *generation) probeTimedOut(probedAt time.Time) bool {
	return time.Since(probedAt) >= g.stall.probeTimeout()
}

// keepsWaiting reports whether a generation stays with a server on which probes failed. It does if they ran out of time, as they do
// while a machine is overloaded, and no other server may take the request now. The guard hears of the worse case at once: that a
// request crashed a server must be known in time, and is forgotten when the request ends well.
func (g *generation) keepsWaiting(ctx context.Context, probedAt time.Time, died error) bool {
	if !g.probeTimedOut(probedAt) {
		return false
	}
	if !g.stall.reported {
		g.stall.reported = true
		g.stall.startedAt = time.Now()
		g.run.router.opts.Metrics.Counter("server_stalls").Inc(1)
		g.run.router.DetectCrash(ctx, g.to.server, died)
	}
	if time.Since(g.stall.startedAt) >= maxStall || g.canMove() {
		return false
	}
	g.to.server.MarkFailed(time.Now())
	g.stall.timeout = min(2*g.stall.probeTimeout(), maxProbeTimeout)
	return true
}

// canMove reports whether the guard lets the request run on another server now, and that one isn't silent too.
func (g *generation) canMove() bool {
	now := time.Now()
	allowed, problem := g.run.router.permitFor(g.run.plan.fingerprint, g.run.plan.service, true, now)
	if problem != nil {
		return false
	}
	return allowed.server == nil || allowed.server != g.to.server && !allowed.server.IsUnresponsive(now)
}
