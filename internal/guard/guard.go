// Package guard tracks which requests run on which backend servers, so that poison requests, which crash servers, are suspected
// and reported to the peers at once.
package guard

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Guard wraps poison.Guard with this node's running requests; it is safe for concurrent use.
type Guard struct {
	mu    sync.Mutex
	guard *poison.Guard
	// running holds, for each server and fingerprint, the runs of this node.
	running map[api.ServerID]map[poison.Fingerprint]runCount
	// abandoned holds, in their order, the runs that this node ended while their server may have continued them. A run is kept
	// for poison.CrashDetectionTimeout.
	abandoned []abandonedRun
	// down holds when servers failed that haven't answered since; entries are removed after poison.SuspicionTTL.
	down map[api.ServerID]time.Time
	// changed is called, without locks held, when the suspicions must be sent to the peers.
	changed func()
}

// runCount counts the runs of one fingerprint on one server.
type runCount struct {
	// count is at least 1.
	count int
	// latestStart is when the latest run began.
	latestStart time.Time
}

// abandonedRun is a run that this node no longer waits for.
type abandonedRun struct {
	server api.ServerID
	run    poison.RunningRequest
	at     time.Time
}

// New returns a guard that calls changed when the suspicions must be sent to the peers; changed may be nil.
func New(now time.Time, changed func()) *Guard {
	if changed == nil {
		changed = func() {}
	}
	return &Guard{
		guard: poison.NewGuard(now), running: make(map[api.ServerID]map[poison.Fingerprint]runCount),
		down: make(map[api.ServerID]time.Time), changed: changed,
	}
}

// Decide returns how a request may be dispatched and, if it is rejected, after which time a retry may be accepted.
func (g *Guard) Decide(f poison.Fingerprint, now time.Time) (poison.Decision, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.Decide(f, now)
}

// DesignatedServer returns the one server of a pool on which a restricted request may run; false if there is none.
func (g *Guard) DesignatedServer(f poison.Fingerprint, pool []poison.PoolServer, now time.Time) (api.ServerID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.DesignatedServer(f, pool, now)
}

// HasRecentPeerReports reports whether the reports of all peers are recent.
func (g *Guard) HasRecentPeerReports(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.HasRecentPeerReports(now)
}

// RetryAfter returns how long to wait before retrying a request for which DesignatedServer found no server.
func (g *Guard) RetryAfter(f poison.Fingerprint, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.RetryAfter(f, now)
}

// BeginRun records that a request runs on a server until the returned function is called.
func (g *Guard) BeginRun(server api.ServerID, f poison.Fingerprint, now time.Time) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[server] == nil {
		g.running[server] = make(map[poison.Fingerprint]runCount)
	}
	g.running[server][f] = runCount{count: g.running[server][f].count + 1, latestStart: now}
	return func() { g.endRun(server, f) }
}

func (g *Guard) endRun(server api.ServerID, f poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	remaining := g.running[server][f]
	remaining.count--
	g.running[server][f] = remaining
	if remaining.count <= 0 {
		delete(g.running[server], f)
	}
	if len(g.running[server]) == 0 {
		delete(g.running, server)
	}
}

// RecordCrash records that a server has failed and suspects the requests that run on it, as recorded by BeginRun. It reports whether
// the failure was not known yet.
func (g *Guard) RecordCrash(server api.ServerID, now time.Time) (isNew bool) {
	g.mu.Lock()
	at, isNew := g.recordDown(server, now)
	crashed := g.takeAbandoned(server, at)
	for _, f := range slices.Sorted(maps.Keys(g.running[server])) {
		crashed = append(crashed, poison.RunningRequest{Fingerprint: f, Since: g.running[server][f].latestStart})
	}
	g.guard.RecordCrash(server, crashed, at)
	g.mu.Unlock()
	g.changed()
	return isNew
}

// Abandon records that this node ends a request's run while the server may still work on it, so that a failure of the server
// that is detected shortly afterwards counts against the request. It must be called before the function that BeginRun returned.
func (g *Guard) Abandon(server api.ServerID, f poison.Fingerprint, now time.Time) {
	g.mu.Lock()
	run, crashed := g.suspectIfCrashed(server, f)
	if !crashed && !run.Since.IsZero() {
		g.abandoned = slices.DeleteFunc(g.abandoned, func(old abandonedRun) bool { return now.Sub(old.at) >= poison.CrashDetectionTimeout })
		g.abandoned = append(g.abandoned, abandonedRun{server: server, run: run, at: now})
	}
	g.mu.Unlock()
	if crashed {
		g.changed()
	}
}

// takeAbandoned removes the abandoned runs of a server and returns those that the server may have been working on when it
// failed.
func (g *Guard) takeAbandoned(server api.ServerID, failedAt time.Time) []poison.RunningRequest {
	var runs []poison.RunningRequest
	g.abandoned = slices.DeleteFunc(g.abandoned, func(old abandonedRun) bool {
		if old.server == server && failedAt.Sub(old.at) < poison.CrashDetectionTimeout {
			runs = append(runs, old.run)
		}
		return old.server == server
	})
	return runs
}

// CheckLost reports whether a server that no longer holds a request it ran has failed since the request began, and suspects the
// request if so. A server that restarts at once answers like one that has merely dropped the request.
func (g *Guard) CheckLost(server api.ServerID, f poison.Fingerprint) (crashed bool) {
	g.mu.Lock()
	_, crashed = g.suspectIfCrashed(server, f)
	g.mu.Unlock()
	if crashed {
		g.changed()
	}
	return crashed
}

// suspectIfCrashed suspects a run if its server is known to have failed since the run began. It returns the run; zero if there
// is none.
func (g *Guard) suspectIfCrashed(server api.ServerID, f poison.Fingerprint) (run poison.RunningRequest, crashed bool) {
	ran, ok := g.running[server][f]
	if !ok {
		return poison.RunningRequest{}, false
	}
	run = poison.RunningRequest{Fingerprint: f, Since: ran.latestStart}
	at, crashed := g.guard.FailureSince(server, run.Since)
	if crashed {
		g.guard.RecordCrash(server, []poison.RunningRequest{run}, at)
	}
	return run, crashed
}

// RecordFailure records that a server has failed, whether or not it was running requests of this node. It reports whether the
// failure was not known yet.
func (g *Guard) RecordFailure(server api.ServerID, now time.Time) (isNew bool) {
	g.mu.Lock()
	at, isNew := g.recordDown(server, now)
	crashed := g.takeAbandoned(server, at)
	g.guard.RecordCrash(server, crashed, at)
	g.mu.Unlock()
	if len(crashed) > 0 {
		g.changed()
	}
	return isNew
}

// recordDown returns the time of a failure that is detected now and whether it is new. The end of a connection, of a stream and
// a missing load report may each indicate the same failure. It counts from the first of them, so that the failures of several
// servers keep their order.
func (g *Guard) recordDown(server api.ServerID, now time.Time) (at time.Time, isNew bool) {
	at, ok := g.down[server]
	isNew = !ok || now.Sub(at) > poison.CrashDetectionTimeout
	if isNew {
		at = now
	}
	g.down[server] = at
	maps.DeleteFunc(g.down, func(_ api.ServerID, at time.Time) bool { return now.Sub(at) >= poison.SuspicionTTL })
	return at, isNew
}

// IsDown reports whether a server has failed and not answered since.
func (g *Guard) IsDown(server api.ServerID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, down := g.down[server]
	return down
}

// MarkUp records that a server is up, so that its next failure is a new one.
func (g *Guard) MarkUp(server api.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.down, server)
}

// RecordCompletion records that a request ran to its end.
func (g *Guard) RecordCompletion(f poison.Fingerprint, now time.Time) {
	g.mu.Lock()
	_, cleared := g.guard.RecordCompletion(f, now)
	g.mu.Unlock()
	if cleared {
		g.changed()
	}
}

// RecordPeerReports records that the reports of all live peers up to a time have been merged.
func (g *Guard) RecordPeerReports(asOf time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.RecordPeerReports(asOf)
}

// Merge merges suspicions that a peer sent.
func (g *Guard) Merge(suspicions []poison.Suspicion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.Merge(suspicions)
}

// Suspicions returns all evidence against fingerprints, to be sent to a peer.
func (g *Guard) Suspicions(now time.Time) []poison.Suspicion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.Suspicions(now)
}
