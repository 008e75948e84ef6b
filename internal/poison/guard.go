package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Guard holds what a node knows about fingerprints and deaths of servers. It isn't safe for concurrent use.
type Guard struct {
	suspects map[Fingerprint]*Suspicion
	// harmless and older hold fingerprints that ran to their end lately.
	harmless, older map[Fingerprint]struct{}
	// deaths holds when each server was seen to die, the last ReleaseAfter long.
	deaths map[api.ServerID]deaths
	// heard is the time as of which the news of every peer has come in.
	heard time.Time
}

// NewGuard returns a guard that has heard from all peers at a time.
func NewGuard(now time.Time) *Guard {
	return &Guard{
		suspects: map[Fingerprint]*Suspicion{},
		harmless: map[Fingerprint]struct{}{},
		older:    map[Fingerprint]struct{}{},
		deaths:   map[api.ServerID]deaths{},
		heard:    now,
	}
}

// Decide says how a request may be dispatched. For a refusal it returns when another try has a chance.
// Call it right before each dispatch.
func (g *Guard) Decide(f Fingerprint, now time.Time) (Decision, time.Duration) {
	if suspect, ok := g.suspects[f]; ok {
		crashes, last := suspect.count(now)
		if crashes >= MaxCrashes {
			return DecisionRejected, last.At.Add(SuspicionTTL).Sub(now)
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

// HasRecentPeerReports reports whether the news of all peers came a moment ago.
func (g *Guard) HasRecentPeerReports(now time.Time) bool { return now.Sub(g.heard) <= PeerReportMaxAge }

// RestrictsUnknown reports whether a request that a peer knows to be poison might come unrecognized: a server died lately,
// or the peers haven't been heard for a while.
func (g *Guard) RestrictsUnknown(now time.Time) bool {
	if !g.HasRecentPeerReports(now) && now.Sub(g.heard) < CautionPeriod {
		return true
	}
	for _, died := range g.deaths {
		if at := died.last(); at.After(g.heard) && now.Sub(at) < CautionPeriod {
			return true
		}
	}
	return false
}

// DesignatedServer returns the one server on which a guarded request may run, out of all servers of its pool: the first in an order
// that depends on the fingerprint alone, without the server that died first, those that another cause ended, as long as
// there are others, and those that leave: if a peer sends the request to one of them still, it doesn't run there.
//
// It returns false while the request may have crashed two servers, that is while one of those in question has died and the peers'
// news of that time aren't all there, and while it lets others go first.
func (g *Guard) DesignatedServer(f Fingerprint, pool []PoolServer, now time.Time) (api.ServerID, bool) {
	place, ok := g.place(f, pool, now)
	if !ok || g.yields(f, place, pool, now) {
		return "", false
	}
	return place, true
}

// yields reports whether a request lets others go first to its place. Of those that ran on a server which died, the one that
// crashed it has most likely only just come there. If it crashes its place too, those that let it go first weren't there.
func (g *Guard) yields(f Fingerprint, place api.ServerID, pool []PoolServer, now time.Time) bool {
	suspect, ok := g.suspects[f]
	if !ok {
		return false
	}
	crashes, crash := suspect.count(now)
	since := now.Sub(crash.At)
	if crashes == 0 || crash.Young || since >= yieldFor {
		return false
	}
	if since < newsWithin {
		return true
	}
	for other, suspect := range g.suspects {
		crashes, last := suspect.count(now)
		sameDeath := last.Server == crash.Server && last.At.Sub(crash.At).Abs() <= clockSkew
		if !last.Young || !sameDeath || crashes >= MaxCrashes {
			continue
		}
		if next, ok := g.place(other, pool, now); ok && next == place {
			return true
		}
	}
	return false
}

// place is Place for a request that lets nobody go first.
func (g *Guard) place(f Fingerprint, pool []PoolServer, now time.Time) (api.ServerID, bool) {
	first := g.firstDeath(f, pool, now)
	var place, passedOver api.ServerID
	for member := range inOrder(f, pool) {
		server := member.ID
		if server == first {
			continue
		}
		if g.hasCrashed(f, server, now) {
			return "", false
		}
		age := g.sinceDeath(server, now)
		if age < CautionPeriod && g.heard.Before(now.Add(CrashDetectionTimeout-age)) {
			return "", false
		}
		if member.Leaving {
			continue
		}
		if age >= deathKept {
			return cmp.Or(place, server), true
		}
		// A peer whose clock is a little behind still passes over a server that this node takes for the place, so that the
		// servers after it must be free of doubt too.
		if age >= CautionPeriod {
			place = cmp.Or(place, server)
		}
		passedOver = cmp.Or(passedOver, server)
	}
	place = cmp.Or(place, passedOver)
	return place, place != ""
}

// sinceDeath returns how long ago a server last died, ReleaseAfter if it is not known to have.
func (g *Guard) sinceDeath(server api.ServerID, now time.Time) time.Duration {
	died, ok := g.deaths[server]
	if !ok {
		return SuspicionTTL
	}
	return now.Sub(died.last())
}

// hasCrashed reports whether a fingerprint is known to have crashed a server.
func (g *Guard) hasCrashed(f Fingerprint, server api.ServerID, now time.Time) bool {
	suspect, ok := g.suspects[f]
	return ok && slices.ContainsFunc(suspect.Crashes, func(c Crash) bool {
		return c.Server == server && suspect.counts(c, now)
	})
}

// RetryAfter returns when a fingerprint for which Place found no server has a chance again: when its suspicion ends,
// or soon, when the peers may have been heard.
func (g *Guard) RetryAfter(f Fingerprint, now time.Time) time.Duration {
	if suspect, ok := g.suspects[f]; ok {
		if crashes, last := suspect.count(now); crashes > 0 {
			return last.At.Add(SuspicionTTL).Sub(now)
		}
	}
	return 2 * PeerReportMaxAge
}

// firstDeath returns the server whose death counts as the fingerprint's first crash: the earliest of those that it is
// known to have crashed and of those that it may have crashed through a peer that hasn't been heard since.
func (g *Guard) firstDeath(f Fingerprint, pool []PoolServer, now time.Time) api.ServerID {
	var first Crash
	earliest := func(c Crash) {
		if first.Server == "" || c.At.Before(first.At) {
			first = c
		}
	}
	if suspect, ok := g.suspects[f]; ok {
		for _, crash := range suspect.Crashes {
			if suspect.counts(crash, now) {
				crash.At = g.deaths[crash.Server].near(crash.At)
				earliest(crash)
			}
		}
	}
	for _, member := range pool {
		for _, at := range g.deaths[member.ID] {
			if at.After(g.heard) && now.Sub(at) < CautionPeriod {
				earliest(Crash{Server: member.ID, At: at})
			}
		}
	}
	return first.Server
}

// RecordFailure notes that a server died, as seen by this node or told by the VM list. Call it for every death in the pool,
// whether or not a request of this node ran there.
func (g *Guard) RecordFailure(server api.ServerID, now time.Time) {
	g.deaths[server] = g.deaths[server].with(now)
	for id, died := range g.deaths {
		if now.Sub(died.last()) >= SuspicionTTL {
			delete(g.deaths, id)
		}
	}
}

// FailureSince returns when a server last died, if that was not before a time.
func (g *Guard) FailureSince(server api.ServerID, since time.Time) (at time.Time, ok bool) {
	died, ok := g.deaths[server]
	if !ok || died.last().Before(since) {
		return time.Time{}, false
	}
	return died.last(), true
}

// RecordCrash notes that a server died while it ran requests of this node. It returns the suspicions, which the caller
// sends to all peers before it answers the requests' callers.
func (g *Guard) RecordCrash(server api.ServerID, running []RunningRequest, now time.Time) []Suspicion {
	g.RecordFailure(server, now)
	var told []Suspicion
	for _, run := range running {
		f := run.Fingerprint
		suspect := g.suspect(f)
		suspect.add(Crash{Server: server, At: now, Young: now.Sub(run.Since) <= youngAge})
		delete(g.harmless, f)
		delete(g.older, f)
		told = append(told, suspect.clone())
	}
	g.bound()
	return told
}

// RecordCompletion notes that a request ran to its end. It returns the suspicion to tell the peers if it cleared a suspect.
func (g *Guard) RecordCompletion(f Fingerprint, now time.Time) (Suspicion, bool) {
	if suspect, ok := g.suspects[f]; ok {
		if crashes, _ := suspect.count(now); crashes > 0 {
			suspect.ClearedAt = now
			return suspect.clone(), true
		}
	}
	g.harmless[f] = struct{}{}
	if len(g.harmless) > MaxHarmless/2 {
		g.older = g.harmless
		g.harmless = map[Fingerprint]struct{}{}
	}
	return Suspicion{}, false
}

func (g *Guard) isHarmless(f Fingerprint) bool {
	if _, ok := g.harmless[f]; ok {
		return true
	}
	_, ok := g.older[f]
	return ok
}

// RecordPeerReports notes that the news of every live peer as of a time has been merged.
func (g *Guard) RecordPeerReports(asOf time.Time) {
	if asOf.After(g.heard) {
		g.heard = asOf
	}
}

// Suspicions returns all that is known against fingerprints, ordered by fingerprint, for a peer.
func (g *Guard) Suspicions(now time.Time) []Suspicion {
	var all []Suspicion
	for _, suspect := range g.suspects {
		if crashes, _ := suspect.count(now); crashes > 0 || now.Sub(suspect.ClearedAt) < SuspicionTTL {
			all = append(all, suspect.clone())
		}
	}
	slices.SortFunc(all, func(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Merge takes in suspicions that a peer sent. It is idempotent, and the order of merges doesn't matter.
func (g *Guard) Merge(told []Suspicion) {
	for _, other := range told {
		suspect := g.suspect(other.Fingerprint)
		for _, crash := range other.Crashes {
			suspect.add(crash)
		}
		suspect.dropOld()
		if other.ClearedAt.After(suspect.ClearedAt) {
			suspect.ClearedAt = other.ClearedAt
		}
	}
	g.bound()
}

func (g *Guard) suspect(f Fingerprint) *Suspicion {
	suspect, ok := g.suspects[f]
	if !ok {
		suspect = &Suspicion{Fingerprint: f}
		g.suspects[f] = suspect
	}
	return suspect
}

// bound forgets the suspects whose last crash is oldest.
func (g *Guard) bound() {
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
