package versionrollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// maxRecentSessions bounds the sessions that a node remembers for each service.
const maxRecentSessions = 20000

// PinSessions takes in the sessions of all nodes that keep their version.
func (b *Tracker) PinSessions(order Order, sessions []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.rollouts[order.Service]; ok && r.order.Revision == order.Revision {
		r.keepSessions(sessions)
	}
}

func (r *rollout) keepSessions(sessions []uint64) {
	for _, session := range sessions {
		r.keepOld[session] = true
	}
}

func (r *rollout) sessions() []uint64 { return slices.Collect(maps.Keys(r.keepOld)) }

// keep lets a session stay with the version that it has, if the target's first share would move it; b.mu is held.
func (b *Tracker) keep(r *rollout, hash uint64) {
	if rendezvous.Fraction(hash) < Share(startTime, r.order.Duration, b.opts.Exposure) {
		r.keepOld[hash] = true
	}
}

// sessionHash spreads the sessions of a service; every node computes the same.
func sessionHash(service route.Service, session string) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + session)
}

// remember notes that a session is in use; b.mu is held.
func (b *Tracker) remember(service route.Service, hash uint64, now time.Time) {
	sessions, ok := b.recent[service]
	if !ok {
		sessions = make(map[uint64]time.Time)
		b.recent[service] = sessions
	}
	if len(sessions) >= maxRecentSessions {
		for old, seen := range sessions {
			if now.Sub(seen) > b.opts.SessionTimeout {
				delete(sessions, old)
			}
		}
		if len(sessions) >= maxRecentSessions {
			clear(sessions)
		}
	}
	sessions[hash] = now
}

// listSessions notes the sessions that run when the target is about to get its first share, and has them reported until they are
// known to all; b.mu is held.
func (b *Tracker) listSessions(service route.Service, r *rollout, now time.Time) {
	elapsed := now.Sub(r.begin)
	if elapsed < listTime || r.hasListed && elapsed >= listedTime {
		return
	}
	r.dirty = true
	if r.hasListed {
		return
	}
	r.hasListed = true
	for session, seen := range b.recent[service] {
		if now.Sub(seen) <= b.opts.SessionTimeout {
			b.keep(r, session)
		}
	}
}
