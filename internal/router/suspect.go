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

// Guard limits how many servers a poison request can crash.
type Guard interface {
	Decide(f poison.Fingerprint, now time.Time) (poison.Decision, time.Duration)
	DesignatedServer(f poison.Fingerprint, pool []poison.PoolServer, now time.Time) (api.ServerID, bool)
	BeginRun(server api.ServerID, f poison.Fingerprint, now time.Time) (end func())
	// RecordCrash and RecordFailure report whether the failure was not known yet. RecordCrash also suspects the requests that run on
	// the server.
	RecordCrash(server api.ServerID, now time.Time) (isNew bool)
	RecordFailure(server api.ServerID, now time.Time) (isNew bool)
	// Abandon records that a run ends here while the server may still work on it; it must be called before the end function of
	// BeginRun.
	Abandon(server api.ServerID, f poison.Fingerprint, now time.Time)
	// CheckLost reports whether a server that no longer holds a request it ran has crashed since the request began.
	CheckLost(server api.ServerID, f poison.Fingerprint) (crashed bool)
	// IsDown reports whether a server has failed and not answered since; MarkUp records an answer.
	IsDown(server api.ServerID) bool
	MarkUp(server api.ServerID)
	RecordCompletion(f poison.Fingerprint, now time.Time)
	// HasRecentPeerReports reports whether the reports of all peers are recent.
	HasRecentPeerReports(now time.Time) bool
	// RetryAfter returns how long to wait before retrying a request for which DesignatedServer found no server.
	RetryAfter(f poison.Fingerprint, now time.Time) time.Duration
}

// Pools lists every server of a service, including those outside of this node's subset.
type Pools interface {
	PoolOf(service api.Service) []fleet.Server
}

// permit states on which servers a request may run.
type permit struct {
	// restricted means that the request may run on one server at a time only.
	restricted bool
	// server is the designated server of a restricted request.
	server *registry.Server
}

// permitFor asks the guard about a request right before its dispatch.
func (r *Router) permitFor(f poison.Fingerprint, service api.Service, mayHaveRun bool, now time.Time) (permit, *api.Problem) {
	decision, after := r.opts.Guard.Decide(f, now)
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

// poolServers converts a pool for the guard.
func (r *Router) poolServers(pool []fleet.Server) []poison.PoolServer {
	servers := make([]poison.PoolServer, len(pool))
	for i, server := range pool {
		known, ok := r.opts.Registry.Find(server.ID)
		servers[i] = poison.PoolServer{ID: server.ID, Leaving: server.Leaving || ok && known.IsLeaving()}
	}
	return servers
}

// problemNoDesignatedServer rejects a request whose designated server has failed too, maybe because of this request. Once the
// peers have reported that the request did not run there, another server is designated.
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

// DetectCrash records a crash in the guard if an attempt failed because its server crashed.
func (r *Router) DetectCrash(ctx context.Context, server *registry.Server, err error) {
	var crashed *errServerCrashed
	if (errors.As(err, &crashed) || r.isUnreachable(ctx, server)) && r.opts.Guard.RecordCrash(server.ID, time.Now()) {
		r.recordCrash(server, err)
	}
}

func (r *Router) recordCrash(server *registry.Server, err error) {
	r.opts.Metrics.Counter("server_deaths").Inc(1)
	r.opts.Log.WithField("server", string(server.ID)).WithError(err).Warn("server died")
}

// RecordLoadPoll records whether a server answered the poll of its load. A node thereby also detects failures of servers that
// run none of its requests, on which a retried request may have run through a peer. The end of a leaving server is no failure.
func (r *Router) RecordLoadPoll(ctx context.Context, server *registry.Server, err error) {
	if err == nil {
		server.MarkResponded()
		r.opts.Guard.MarkUp(server.ID)
		return
	}
	r.DetectUnreachable(ctx, server)
}

// DetectUnreachable records a failure in the guard if a server that closed a connection or sent no load report has failed.
func (r *Router) DetectUnreachable(ctx context.Context, server *registry.Server) {
	if ctx.Err() == nil && !server.IsLeaving() && !r.opts.Guard.IsDown(server.ID) {
		r.recordIfUnreachable(ctx, server)
	}
}

// errUnreachable means that a server doesn't answer on new connections.
type errUnreachable struct{}

func (errUnreachable) Error() string { return "no answer on new connections" }

// recordIfUnreachable records a failure in the guard if a server has failed, whether or not it was running requests of this node.
func (r *Router) recordIfUnreachable(ctx context.Context, server *registry.Server) {
	if r.isUnreachable(ctx, server) && r.opts.Guard.RecordFailure(server.ID, time.Now()) {
		r.recordCrash(server, errUnreachable{})
	}
}

// isUnreachable probes a server by new connections until one succeeds or enough have failed.
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
