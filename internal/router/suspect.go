package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/engine"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/silence"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Guard keeps requests that crash servers from crashing many.
type Guard interface {
	Judge(f poison.Fingerprint, now time.Time) (poison.Decision, time.Duration)
	Place(f poison.Fingerprint, pool []poison.PoolServer, now time.Time) (api.ServerID, bool)
	Begin(server api.ServerID, f poison.Fingerprint, now time.Time) (end func())
	// Crashed and Died report whether the death was not known yet.
	Crashed(server api.ServerID, now time.Time) (isNew bool)
	Died(server api.ServerID, now time.Time) (isNew bool)
	// GiveUp notes that a run ends here while the server may still work on it; call it before Begin's end.
	GiveUp(server api.ServerID, f poison.Fingerprint, now time.Time)
	// Lost notes that a server no longer holds a request that it ran, and reports whether it died meanwhile.
	Lost(server api.ServerID, f poison.Fingerprint) (died bool)
	// IsDown reports whether a server died and hasn't answered since, which Answered tells.
	IsDown(server api.ServerID) bool
	Answered(server api.ServerID)
	Finished(f poison.Fingerprint, now time.Time)
	// HearsPeers reports whether the news of all peers came a moment ago.
	HearsPeers(now time.Time) bool
	// RetryAfter returns when a request for which Place found no server has a chance again.
	RetryAfter(f poison.Fingerprint, now time.Time) time.Duration
}

// Pools lists every server of a service, those outside of this node's subset too.
type Pools interface {
	PoolOf(service api.Service) []fleet.Server
}

// permit says on which servers a request may run.
type permit struct {
	// guarded restricts the request to one server at a time.
	guarded bool
	// server is the one server of a guarded request.
	server *registry.Server
}

// permitFor asks the guard about a request right before its dispatch.
func (r *Router) permitFor(f poison.Fingerprint, service api.Service, handed bool, now time.Time) (permit, *api.Problem) {
	verdict, after := r.opts.Guard.Judge(f, now)
	switch verdict {
	case poison.DecisionUnrestricted:
		return permit{}, nil
	case poison.DecisionRejected:
		return permit{}, problemPoison(handed, after)
	}
	pool := r.opts.Pools.PoolOf(service)
	placed, ok := r.opts.Guard.Place(f, r.members(pool), now)
	if !ok {
		return permit{guarded: true}, problemNoPlace(handed)
	}
	for _, server := range pool {
		if server.ID == placed {
			return permit{guarded: true, server: r.opts.Registry.FindOrAdd(server)}, nil
		}
	}
	return permit{}, problemPoison(handed, r.opts.Guard.RetryAfter(f, now))
}

// members returns the servers of a pool as the guard knows them.
func (r *Router) members(pool []fleet.Server) []poison.PoolServer {
	members := make([]poison.PoolServer, len(pool))
	for i, server := range pool {
		known, ok := r.opts.Registry.Find(server.ID)
		members[i] = poison.PoolServer{ID: server.ID, Leaving: server.Leaving || ok && known.IsLeaving()}
	}
	return members
}

// problemNoPlace refuses a request whose one place has died too, maybe by this request. Once the peers have told that it did not
// run there, it has another place.
func problemNoPlace(handed bool) *api.Problem {
	problem := api.NewProblem(api.ReasonNoServer, http.StatusServiceUnavailable, outcomeOf(handed),
		"servers died a moment ago, and the peers have not yet told what ran on them")
	problem.RetryAfter = poison.CrashDetectionTimeout
	return problem
}

func problemPoison(handed bool, after time.Duration) *api.Problem {
	problem := api.NewProblem(api.ReasonPoison, http.StatusUnprocessableEntity, outcomeOf(handed),
		"servers died while they ran this request")
	problem.RetryAfter = after
	return problem
}

// DetectCrash tells the guard if a failed attempt was the death of its server.
func (r *Router) DetectCrash(ctx context.Context, server *registry.Server, err error) {
	var died *errServerDied
	if (errors.As(err, &died) || r.isDead(ctx, server)) && r.opts.Guard.Crashed(server.ID, time.Now()) {
		r.countDeath(server, err)
	}
}

func (r *Router) countDeath(server *registry.Server, err error) {
	r.opts.Metrics.Counter("server_deaths").Inc(1)
	r.opts.Log.WithField("server", string(server.ID)).WithError(err).Warn("server died")
}

// RecordLoadPoll tells the guard whether a server answered when its load was asked. So a node sees the deaths of servers that run
// nothing of its own too, on which a request that comes back may have run through a peer. A leaving server's end is no death.
func (r *Router) RecordLoadPoll(ctx context.Context, server *registry.Server, err error) {
	if err == nil {
		server.Answered()
		r.opts.Guard.Answered(server.ID)
		return
	}
	r.DetectUnreachable(ctx, server)
}

// DetectUnreachable tells the guard if a server that ended a connection, or sent no load report, has died.
func (r *Router) DetectUnreachable(ctx context.Context, server *registry.Server) {
	if ctx.Err() == nil && !server.IsLeaving() && !r.opts.Guard.IsDown(server.ID) {
		r.noteUnreachable(ctx, server)
	}
}

// errUnreachable means that a server answers on no new connection.
type errUnreachable struct{}

func (errUnreachable) Error() string { return "no answer on new connections" }

// noteUnreachable tells the guard if a server died, whatever it ran.
func (r *Router) noteUnreachable(ctx context.Context, server *registry.Server) {
	if r.isDead(ctx, server) && r.opts.Guard.Died(server.ID, time.Now()) {
		r.countDeath(server, errUnreachable{})
	}
}

// isDead probes a server by new connections.
func (r *Router) isDead(ctx context.Context, server *registry.Server) bool {
	var probes probeCount
	for !probes.isDead() {
		probedAt := time.Now()
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), silence.ProbeTimeout)
		_, err := r.opts.Engines.Probe(probeCtx, server.Address)
		cancel()
		if _, refused := engine.AsErrRefused(err); err == nil || refused {
			return false
		}
		probes.add(time.Since(probedAt), silence.ProbeTimeout)
	}
	return true
}
