// Package guard keeps watch over requests that crash backend servers: it remembers what runs where, and tells the
// peers at once when a server died.
package guard

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Guard is a poison.Guard that many goroutines may use.
type Guard struct {
	mu    sync.Mutex
	guard *poison.Guard
	// running holds this node's runs of each fingerprint on each server.
	running map[api.ServerID]map[poison.Fingerprint]runCount
	// abandoned holds the runs that the node ended while their server may have worked on, for poison.NoticeWithin, in their order.
	abandoned []abandonedRun
	// down holds when servers died that haven't answered since; after poison.ReleaseAfter they are forgotten.
	down map[api.ServerID]time.Time
	// changed is called, without locks held, when the peers must be told.
	changed func()
}

// runCount are those of one fingerprint on one server.
type runCount struct {
	// count is at least 1.
	count int
	// latestStart is when the latestStart began.
	latestStart time.Time
}

// abandonedRun is a run that the node no longer waits for.
type abandonedRun struct {
	server api.ServerID
	run    poison.RunningRequest
	at     time.Time
}

// New returns a guard; changed may be nil.
func New(now time.Time, changed func()) *Guard {
	if changed == nil {
		changed = func() {}
	}
	return &Guard{
		guard: poison.NewGuard(now), running: make(map[api.ServerID]map[poison.Fingerprint]runCount),
		down: make(map[api.ServerID]time.Time), changed: changed,
	}
}

// Judge says how a request may be dispatched, and for a refusal when another try has a chance.
func (g *Guard) Judge(f poison.Fingerprint, now time.Time) (poison.Decision, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.Decide(f, now)
}

// Place returns the one server of a pool on which a guarded request may run.
func (g *Guard) DesignatedServer(f poison.Fingerprint, pool []poison.PoolServer, now time.Time) (api.ServerID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.DesignatedServer(f, pool, now)
}

// HearsPeers reports whether the news of all peers came a moment ago.
func (g *Guard) HasRecentPeerReports(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.HasRecentPeerReports(now)
}

// RetryAfter returns when a request for which Place found no server has a chance again.
func (g *Guard) RetryAfter(f poison.Fingerprint, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.RetryAfter(f, now)
}

// Begin notes that a request runs on a server, until the function that it returns is called.
func (g *Guard) Begin(server api.ServerID, f poison.Fingerprint, now time.Time) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[server] == nil {
		g.running[server] = make(map[poison.Fingerprint]runCount)
	}
	g.running[server][f] = runCount{count: g.running[server][f].count + 1, latestStart: now}
	return func() { g.end(server, f) }
}

func (g *Guard) end(server api.ServerID, f poison.Fingerprint) {
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

// Crashed notes that a server died while it ran what Begin was called for. It reports whether the death was not known yet.
func (g *Guard) Crashed(server api.ServerID, now time.Time) (isNew bool) {
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

// GiveUp notes that a request's run ends here while the server may still work on it, so that a death of the server that is noticed
// a moment later counts against it. Call it before the function that Begin returned.
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

// takeAbandoned returns the runs that a server may have worked on when it died, and forgets all of that server.
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

// Lost notes that a server no longer holds a request that it ran and reports whether it died meanwhile: one that is back at once
// answers as if it had only given the request up.
func (g *Guard) CheckLost(server api.ServerID, f poison.Fingerprint) (crashed bool) {
	g.mu.Lock()
	_, crashed = g.suspectIfCrashed(server, f)
	g.mu.Unlock()
	if crashed {
		g.changed()
	}
	return crashed
}

// suspectIfCrashed suspects a run if its server is known to have died since it began. It returns the run, zero if there is none.
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

// Died notes that a server died, whether or not it ran requests of this node. It reports whether the death was not known yet.
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

// recordDown returns the time of a death that is seen now, and whether it is seen first: the end of a connection, a stream and a load
// report may each tell of the same one, and it counts from the first of them, so that the deaths of several servers keep their order.
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

// IsDown reports whether a server died and hasn't answered since.
func (g *Guard) IsDown(server api.ServerID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, down := g.down[server]
	return down
}

// Answered notes that a server is up, so that its next death is another one.
func (g *Guard) MarkUp(server api.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.down, server)
}

// Finished notes that a request ran to its end.
func (g *Guard) RecordCompletion(f poison.Fingerprint, now time.Time) {
	g.mu.Lock()
	_, cleared := g.guard.RecordCompletion(f, now)
	g.mu.Unlock()
	if cleared {
		g.changed()
	}
}

// RecordPeerReports notes that the news of every live peer as of a time has been merged.
func (g *Guard) RecordPeerReports(asOf time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.RecordPeerReports(asOf)
}

// Merge takes in suspicions that a peer sent.
func (g *Guard) Merge(suspicions []poison.Suspicion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.Merge(suspicions)
}

// Suspicions returns all that is known against fingerprints, for a peer.
func (g *Guard) Suspicions(now time.Time) []poison.Suspicion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.Suspicions(now)
}
