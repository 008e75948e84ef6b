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
	DesignatedServer(f poison.Fingerprint, pool []poison.PoolServer, now time.Time) (api.ServerID, bool)
	Begin(server api.ServerID, f poison.Fingerprint, now time.Time) (end func())
	// Crashed and Died report whether the death was not known yet.
	Crashed(server api.ServerID, now time.Time) (isNew bool)
	RecordFailure(server api.ServerID, now time.Time) (isNew bool)
	// GiveUp notes that a run ends here while the server may still work on it; call it before Begin's end.
	Abandon(server api.ServerID, f poison.Fingerprint, now time.Time)
	// Lost notes that a server no longer holds a request that it ran, and reports whether it died meanwhile.
	CheckLost(server api.ServerID, f poison.Fingerprint) (died bool)
	// IsDown reports whether a server died and hasn't answered since, which Answered tells.
	IsDown(server api.ServerID) bool
	MarkUp(server api.ServerID)
	RecordCompletion(f poison.Fingerprint, now time.Time)
	// HearsPeers reports whether the news of all peers came a moment ago.
	HasRecentPeerReports(now time.Time) bool
	// RetryAfter returns when a request for which Place found no server has a chance again.
	RetryAfter(f poison.Fingerprint, now time.Time) time.Duration
}

// Pools lists every server of a service, those outside of this node's subset too.
type Pools interface {
	PoolOf(service api.Service) []fleet.Server
}

// permit says on which servers a request may run.
type permit struct {
	// restricted restricts the request to one server at a time.
	restricted bool
	// server is the one server of a guarded request.
	server *registry.Server
}

// permitFor asks the guard about a request right before its dispatch.
func (r *Router) permitFor(f poison.Fingerprint, service api.Service, mayHaveRun bool, now time.Time) (permit, *api.Problem) {
	decision, after := r.opts.Guard.Judge(f, now)
	switch decision {
	case poison.DecisionUnrestricted:
		return permit{}, nil
	case poison.DecisionRejected:
		return permit{}, problemPoison(mayHaveRun, after)
	}
	pool := r.opts.Pools.PoolOf(service)
	designated, ok := r.opts.Guard.DesignatedServer(f, r.poolServers(pool), now)
	if !ok {
		return permit{restricted: true}, problemNoDesignatedServer(mayHaveRun)
	}
	for _, server := range pool {
		if server.ID == designated {
			return permit{restricted: true, server: r.opts.Registry.FindOrAdd(server)}, nil
		}
	}
	return permit{}, problemPoison(mayHaveRun, r.opts.Guard.RetryAfter(f, now))
}

// poolServers returns the servers of a pool as the guard knows them.
func (r *Router) poolServers(pool []fleet.Server) []poison.PoolServer {
	members := make([]poison.PoolServer, len(pool))
	for i, server := range pool {
		known, ok := r.opts.Registry.Find(server.ID)
		members[i] = poison.PoolServer{ID: server.ID, Leaving: server.Leaving || ok && known.IsLeaving()}
	}
	return members
}

// problemNoDesignatedServer refuses a request whose one place has died too, maybe by this request. Once the peers have told that it did not
// run there, it has another place.
func problemNoDesignatedServer(mayHaveRun bool) *api.Problem {
	problem := api.NewProblem(api.ReasonNoServer, http.StatusServiceUnavailable, outcomeOf(mayHaveRun),
		"servers died a moment ago, and the peers have not yet told what ran on them")
	problem.RetryAfter = poison.CrashDetectionTimeout
	return problem
}

func problemPoison(mayHaveRun bool, after time.Duration) *api.Problem {
	problem := api.NewProblem(api.ReasonPoison, http.StatusUnprocessableEntity, outcomeOf(mayHaveRun),
		"servers died while they ran this request")
	problem.RetryAfter = after
	return problem
}

// DetectCrash tells the guard if a failed attempt was the death of its server.
func (r *Router) DetectCrash(ctx context.Context, server *registry.Server, err error) {
	var crashed *errServerCrashed
	if (errors.As(err, &crashed) || r.isUnreachable(ctx, server)) && r.opts.Guard.Crashed(server.ID, time.Now()) {
		r.recordCrash(server, err)
	}
}

func (r *Router) recordCrash(server *registry.Server, err error) {
	r.opts.Metrics.Counter("server_deaths").Inc(1)
	r.opts.Log.WithField("server", string(server.ID)).WithError(err).Warn("server died")
}

// RecordLoadPoll tells the guard whether a server answered when its load was asked. So a node sees the deaths of servers that run
// nothing of its own too, on which a request that comes back may have run through a peer. A leaving server's end is no death.
func (r *Router) RecordLoadPoll(ctx context.Context, server *registry.Server, err error) {
	if err == nil {
		server.Answered()
		r.opts.Guard.MarkUp(server.ID)
		return
	}
	r.DetectUnreachable(ctx, server)
}

// DetectUnreachable tells the guard if a server that ended a connection, or sent no load report, has died.
func (r *Router) DetectUnreachable(ctx context.Context, server *registry.Server) {
	if ctx.Err() == nil && !server.IsLeaving() && !r.opts.Guard.IsDown(server.ID) {
		r.recordIfUnreachable(ctx, server)
	}
}

// errUnreachable means that a server answers on no new connection.
type errUnreachable struct{}

func (errUnreachable) Error() string { return "no answer on new connections" }

// recordIfUnreachable tells the guard if a server died, whatever it ran.
func (r *Router) recordIfUnreachable(ctx context.Context, server *registry.Server) {
	if r.isUnreachable(ctx, server) && r.opts.Guard.RecordFailure(server.ID, time.Now()) {
		r.recordCrash(server, errUnreachable{})
	}
}

// isUnreachable probes a server by new connections.
func (r *Router) isUnreachable(ctx context.Context, server *registry.Server) bool {
	var probes probeCount
	for !probes.isUnreachable() {
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
