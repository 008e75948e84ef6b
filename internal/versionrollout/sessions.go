package versionrollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// maxRecentSessions bounds the sessions in lastSeen, for each service.
const maxRecentSessions = 20000

// SetCollected takes in a collector's response to this node's report on an order.
func (t *Tracker) SetCollected(order Order, collected Collected, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rollouts[order.Service]; ok && r.order.Revision == order.Revision {
		r.pinSessions(collected.Sessions)
		r.setCollected(collected, now)
	}
}

func (r *rollout) pinSessions(sessions []uint64) {
	for _, session := range sessions {
		r.pinned[session] = true
	}
}

func (r *rollout) pinnedSessions() []uint64 { return slices.Collect(maps.Keys(r.pinned)) }

// pinIfInFirstShare pins a session to the version that it runs on if it is within the target's first share. The caller holds t.mu.
func (t *Tracker) pinIfInFirstShare(r *rollout, hash uint64) {
	if rendezvous.Fraction(hash) < firstShare(t.opts.Exposure) {
		r.pinned[hash] = true
	}
}

// sessionHash returns a hash of a service's session, the same on every node.
func sessionHash(service route.Service, session string) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + session)
}

// recordSession sets the time of a session's last request. At maxRecentSessions it drops ended sessions, or all if none has ended. The
// caller holds t.mu.
func (t *Tracker) recordSession(service route.Service, hash uint64, now time.Time) {
	sessions, ok := t.lastSeen[service]
	if !ok {
		sessions = make(map[uint64]time.Time)
		t.lastSeen[service] = sessions
	}
	if len(sessions) >= maxRecentSessions {
		for id, at := range sessions {
			if now.Sub(at) > t.opts.SessionTimeout {
				delete(sessions, id)
			}
		}
		if len(sessions) >= maxRecentSessions {
			clear(sessions)
		}
	}
	sessions[hash] = now
}

// pinRecentSessions pins the sessions that run when the target is about to get its first share, and has them reported until
// sessionListEnd, so that every node receives them. The caller holds t.mu.
func (t *Tracker) pinRecentSessions(service route.Service, r *rollout, now time.Time) {
	elapsed := now.Sub(r.begin)
	if elapsed < sessionListDelay || r.sessionsListed && elapsed >= sessionListEnd {
		return
	}
	r.needsReport = true
	if r.sessionsListed {
		return
	}
	r.sessionsListed = true
	for session, at := range t.lastSeen[service] {
		if now.Sub(at) <= t.opts.SessionTimeout {
			t.pinIfInFirstShare(r, session)
		}
	}
}
