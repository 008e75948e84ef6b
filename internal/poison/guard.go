package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Guard holds a node's suspicions against fingerprints and the failures of servers. It isn't safe for concurrent use.
type Guard struct {
	suspects map[Fingerprint]*Suspicion
	// harmless and olderHarmless hold fingerprints of requests that were completed recently; when harmless is full, it replaces
	// olderHarmless.
	harmless, olderHarmless map[Fingerprint]struct{}
	// failures holds the failures of each server whose last failure is less than SuspicionTTL ago.
	failures map[api.ServerID]failureTimes
	// peersReportedAt is the time as of which the reports of all live peers have been merged.
	peersReportedAt time.Time
}

// NewGuard returns a guard without suspicions that counts all peers as having reported at the time now.
func NewGuard(now time.Time) *Guard {
	return &Guard{
		suspects:        map[Fingerprint]*Suspicion{},
		harmless:        map[Fingerprint]struct{}{},
		olderHarmless:   map[Fingerprint]struct{}{},
		failures:        map[api.ServerID]failureTimes{},
		peersReportedAt: now,
	}
}

// Decide returns how a request may be dispatched and, for DecisionRejected, the time after which a retry may succeed.
// It must be called immediately before each dispatch.
func (g *Guard) Decide(f Fingerprint, now time.Time) (Decision, time.Duration) {
	if suspect, ok := g.suspects[f]; ok {
		crashes, lastCrash := suspect.countCrashes(now)
		if crashes >= MaxCrashes {
			return DecisionRejected, lastCrash.At.Add(SuspicionTTL).Sub(now)
		}
		if crashes > 0 {
			return DecisionRestricted, 0
		}
	}
	if g.RestrictsUnknown(now) && !g.isHarmless(f) {
		return DecisionRestricted, 0
	}
	return DecisionUnrestricted, 0
}

// HasRecentPeerReports reports whether all peers have reported within PeerReportMaxAge.
func (g *Guard) HasRecentPeerReports(now time.Time) bool {
	return now.Sub(g.peersReportedAt) <= PeerReportMaxAge
}

// RestrictsUnknown reports whether fingerprints that aren't known to be harmless are restricted, because a suspicion of a peer
// may not have been received yet. That is the case if a server has failed within CautionPeriod and not all peers have reported
// since, or if the peers' last reports are older than PeerReportMaxAge but not than CautionPeriod.
func (g *Guard) RestrictsUnknown(now time.Time) bool {
	if !g.HasRecentPeerReports(now) && now.Sub(g.peersReportedAt) < CautionPeriod {
		return true
	}
	for _, failures := range g.failures {
		if failedAt := failures.last(); failedAt.After(g.peersReportedAt) && now.Sub(failedAt) < CautionPeriod {
			return true
		}
	}
	return false
}

// DesignatedServer returns the one server on which a restricted request may run, out of all servers of its pool. It is the first
// in an order that depends only on the fingerprint, except for the server that crashed first, servers that recently failed for
// another cause, as long as there are others, and leaving servers, which reject the request if a peer still sends it there.
//
// It returns false while the request may have crashed two servers, that is while a server that was considered has failed and
// not all peers have reported since then, and while the request yields to others.
func (g *Guard) DesignatedServer(f Fingerprint, pool []PoolServer, now time.Time) (api.ServerID, bool) {
	server, ok := g.designate(f, pool, now)
	if !ok || g.yields(f, server, pool, now) {
		return "", false
	}
	return server, true
}

// yields reports whether a request waits until other requests have run on its designated server. Of the requests that ran on a
// crashed server, the one that crashed it had most likely started only shortly before. So the older requests yield to the
// young ones: if a young request crashes its designated server too, the older ones weren't running there.
func (g *Guard) yields(f Fingerprint, server api.ServerID, pool []PoolServer, now time.Time) bool {
	suspect, ok := g.suspects[f]
	if !ok {
		return false
	}
	crashes, lastCrash := suspect.countCrashes(now)
	elapsed := now.Sub(lastCrash.At)
	if crashes == 0 || lastCrash.Young || elapsed >= yieldPeriod {
		return false
	}
	if elapsed < peerReportDelay {
		return true
	}
	for other, otherSuspect := range g.suspects {
		crashes, otherCrash := otherSuspect.countCrashes(now)
		isSameFailure := otherCrash.Server == lastCrash.Server && otherCrash.At.Sub(lastCrash.At).Abs() <= clockSkew
		if !otherCrash.Young || !isSameFailure || crashes >= MaxCrashes {
			continue
		}
		if designated, ok := g.designate(other, pool, now); ok && designated == server {
			return true
		}
	}
	return false
}

// designate returns the result of DesignatedServer for a request that doesn't yield.
func (g *Guard) designate(f Fingerprint, pool []PoolServer, now time.Time) (api.ServerID, bool) {
	firstCrashed := g.firstCrashedServer(f, pool, now)
	var designated, fallback api.ServerID
	for candidate := range byRank(f, pool) {
		server := candidate.ID
		if server == firstCrashed {
			continue
		}
		if g.hasCrashed(f, server, now) {
			return "", false
		}
		sinceFailure := g.sinceFailure(server, now)
		if sinceFailure < CautionPeriod && g.peersReportedAt.Before(now.Add(CrashDetectionTimeout-sinceFailure)) {
			return "", false
		}
		if candidate.Leaving {
			continue
		}
		if sinceFailure >= failureTTL {
			return cmp.Or(designated, server), true
		}
		// A peer whose clock is slightly behind may still skip a server that this node designates, and designate a later
		// one. So it must be certain of the later servers too that the request hasn't crashed them.
		if sinceFailure >= CautionPeriod {
			designated = cmp.Or(designated, server)
		}
		fallback = cmp.Or(fallback, server)
	}
	designated = cmp.Or(designated, fallback)
	return designated, designated != ""
}

// sinceFailure returns the time since a server's last failure, SuspicionTTL if no failure is known.
func (g *Guard) sinceFailure(server api.ServerID, now time.Time) time.Duration {
	failures, ok := g.failures[server]
	if !ok {
		return SuspicionTTL
	}
	return now.Sub(failures.last())
}

// hasCrashed reports whether a fingerprint is known to have crashed a server.
func (g *Guard) hasCrashed(f Fingerprint, server api.ServerID, now time.Time) bool {
	suspect, ok := g.suspects[f]
	return ok && slices.ContainsFunc(suspect.Crashes, func(c Crash) bool {
		return c.Server == server && suspect.isCounted(c, now)
	})
}

// RetryAfter returns the time after which a request may succeed for which DesignatedServer has returned false: the rest of
// SuspicionTTL if it is suspected, or else a short time within which the peers may report.
func (g *Guard) RetryAfter(f Fingerprint, now time.Time) time.Duration {
	if suspect, ok := g.suspects[f]; ok {
		if crashes, lastCrash := suspect.countCrashes(now); crashes > 0 {
			return lastCrash.At.Add(SuspicionTTL).Sub(now)
		}
	}
	return 2 * PeerReportMaxAge
}

// firstCrashedServer returns the server whose failure counts as the fingerprint's first crash: the one with the earliest failure
// among those that it is known to have crashed and those that it may have crashed through a peer that hasn't reported since.
// It returns "" if there is none.
func (g *Guard) firstCrashedServer(f Fingerprint, pool []PoolServer, now time.Time) api.ServerID {
	var first Crash
	keepEarlier := func(c Crash) {
		if first.Server == "" || c.At.Before(first.At) {
			first = c
		}
	}
	if suspect, ok := g.suspects[f]; ok {
		for _, crash := range suspect.Crashes {
			if suspect.isCounted(crash, now) {
				crash.At = g.failures[crash.Server].nearest(crash.At)
				keepEarlier(crash)
			}
		}
	}
	for _, server := range pool {
		for _, at := range g.failures[server.ID] {
			if at.After(g.peersReportedAt) && now.Sub(at) < CautionPeriod {
				keepEarlier(Crash{Server: server.ID, At: at})
			}
		}
	}
	return first.Server
}

// RecordFailure records that a server has failed, as observed by this node or shown by the VM list. It must be called for every
// failure in the pool, whether or not a request of this node ran there.
func (g *Guard) RecordFailure(server api.ServerID, now time.Time) {
	g.failures[server] = g.failures[server].add(now)
	for id, failures := range g.failures {
		if now.Sub(failures.last()) >= SuspicionTTL {
			delete(g.failures, id)
		}
	}
}

// FailureSince returns the time of a server's last failure; ok is false if it was before since or no failure is known.
func (g *Guard) FailureSince(server api.ServerID, since time.Time) (at time.Time, ok bool) {
	failures, ok := g.failures[server]
	if !ok || failures.last().Before(since) {
		return time.Time{}, false
	}
	return failures.last(), true
}

// RecordCrash records that a server has failed while it ran requests of this node. It returns the suspicions against them, which
// must be sent to all peers before the requests are answered.
func (g *Guard) RecordCrash(server api.ServerID, running []RunningRequest, now time.Time) []Suspicion {
	g.RecordFailure(server, now)
	var suspicions []Suspicion
	for _, request := range running {
		f := request.Fingerprint
		suspect := g.suspect(f)
		suspect.add(Crash{Server: server, At: now, Young: now.Sub(request.Since) <= maxYoungAge})
		delete(g.harmless, f)
		delete(g.olderHarmless, f)
		suspicions = append(suspicions, suspect.clone())
	}
	g.evictSuspects()
	return suspicions
}

// RecordCompletion records that a request was completed. If that clears a suspicion, it returns the suspicion, which is to be sent
// to the peers, and true.
func (g *Guard) RecordCompletion(f Fingerprint, now time.Time) (Suspicion, bool) {
	if suspect, ok := g.suspects[f]; ok {
		if crashes, _ := suspect.countCrashes(now); crashes > 0 {
			suspect.ClearedAt = now
			return suspect.clone(), true
		}
	}
	g.harmless[f] = struct{}{}
	if len(g.harmless) > MaxHarmless/2 {
		g.olderHarmless = g.harmless
		g.harmless = map[Fingerprint]struct{}{}
	}
	return Suspicion{}, false
}

func (g *Guard) isHarmless(f Fingerprint) bool {
	if _, ok := g.harmless[f]; ok {
		return true
	}
	_, ok := g.olderHarmless[f]
	return ok
}

// RecordPeerReports records that the reports of all live peers as of a time have been merged.
func (g *Guard) RecordPeerReports(asOf time.Time) {
	if asOf.After(g.peersReportedAt) {
		g.peersReportedAt = asOf
	}
}

// Suspicions returns all valid and all recently cleared suspicions, ordered by fingerprint, to be sent to a peer.
func (g *Guard) Suspicions(now time.Time) []Suspicion {
	var all []Suspicion
	for _, suspect := range g.suspects {
		if crashes, _ := suspect.countCrashes(now); crashes > 0 || now.Sub(suspect.ClearedAt) < SuspicionTTL {
			all = append(all, suspect.clone())
		}
	}
	slices.SortFunc(all, func(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Merge merges suspicions that a peer sent. It is idempotent and commutative.
func (g *Guard) Merge(suspicions []Suspicion) {
	for _, other := range suspicions {
		suspect := g.suspect(other.Fingerprint)
		for _, crash := range other.Crashes {
			suspect.add(crash)
		}
		suspect.dropOldCrashes()
		if other.ClearedAt.After(suspect.ClearedAt) {
			suspect.ClearedAt = other.ClearedAt
		}
	}
	g.evictSuspects()
}

func (g *Guard) suspect(f Fingerprint) *Suspicion {
	suspect, ok := g.suspects[f]
	if !ok {
		suspect = &Suspicion{Fingerprint: f}
		g.suspects[f] = suspect
	}
	return suspect
}

// evictSuspects removes the suspects with the oldest last crashes until at most MaxSuspects are left.
func (g *Guard) evictSuspects() {
	for len(g.suspects) > MaxSuspects {
		var oldest *Suspicion
		for _, suspect := range g.suspects {
			if oldest == nil || suspect.lastCrash().Before(oldest.lastCrash()) {
				oldest = suspect
			}
		}
		delete(g.suspects, oldest.Fingerprint)
	}
}
