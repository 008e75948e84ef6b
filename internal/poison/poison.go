// Package poison keeps a request that crashes servers from crashing more than two in the whole fleet,
// also while nodes are cut from each other. It does no I/O and holds no clock.
//
// A fingerprint of the request is suspected when a server dies while running it. Suspicions spread between nodes;
// a suspect may run once more, on one server that all nodes agree on, and after its second crash it is refused
// until ReleaseAfter has passed. A node that has seen a server die and hasn't yet heard from its peers what ran on it
// treats every fingerprint that it doesn't know to be harmless like a suspect, because a peer that is cut off
// may have sent the request there.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Fingerprint names requests of the same content, whatever their ids.
type Fingerprint uint64

// FingerprintOf hashes the parts of a request that decide what a server does with it: service, method, path and body.
func FingerprintOf(parts ...[]byte) Fingerprint {
	digest := xxhash.New()
	for _, part := range parts {
		var length [8]byte
		n := uint64(len(part))
		for i := range length {
			length[i] = byte(n >> (8 * i))
		}
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum64())
}

// Bounds and times of the guard.
const (
	// MaxCrashes is the number of servers that one fingerprint may crash.
	MaxCrashes = 2
	// SuspicionTTL is how long after its last crash a fingerprint is suspected.
	SuspicionTTL = 10 * time.Minute
	// CautionPeriod is how long a node is careful after a server's death, or after it was cut off, unless it has heard
	// from all its peers since. It is longer than the cuts through which the bound on crashes holds.
	CautionPeriod = time.Minute
	// CrashDetectionTimeout bounds the time from a server's death until every node whose requests ran there has noticed it.
	CrashDetectionTimeout = 3 * time.Second
	// deathKept is how long a death matters to the place of a request, by the clock of any node.
	deathKept = CautionPeriod + 2*clockSkew
	// clockSkew bounds how far the times are apart at which two nodes see the same death.
	clockSkew = 5 * time.Second
	// PeerReportMaxAge is how old the peers' news may be before the node counts as cut off.
	PeerReportMaxAge = 5 * time.Second
	// youngAge is how long a server has run a request at most that counts as one which had only just come when it died. Within
	// it engines take a prompt in.
	youngAge = 500 * time.Millisecond
	// newsWithin is when the news of a crash has come from the peers that aren't cut off.
	newsWithin = 500 * time.Millisecond
	// yieldFor is how long after a crash the requests that had run for a while let those go first that had only just come.
	yieldFor = 3 * time.Second
	// maxKeptCrashes bounds the crashes kept of one fingerprint; the latest stay.
	maxKeptCrashes = 4
	// MaxSuspects bounds the suspected fingerprints; over it the one whose last crash is oldest is forgotten.
	MaxSuspects = 4096
	// MaxHarmless bounds the fingerprints known to be harmless; over it the older half is forgotten.
	MaxHarmless = 8192
)

// Crash is the death of a server while it ran a request.
type Crash struct {
	Server api.ServerID
	At     time.Time
	// Young tells that the request had only just come.
	Young bool `json:",omitempty"`
}

// RunningRequest is a request that a server runs.
type RunningRequest struct {
	Fingerprint Fingerprint
	Since       time.Time
}

// Suspicion is what is known against a fingerprint, as it travels between nodes.
type Suspicion struct {
	Fingerprint Fingerprint
	// Crashes holds at most one crash of each server, ordered by server.
	Crashes []Crash
	// ClearedAt is when the fingerprint last ran to its end; earlier crashes don't count. Zero if never.
	ClearedAt time.Time
}

// count returns the number of servers that died since the suspicion was cleared, and the last of these crashes.
func (s *Suspicion) count(now time.Time) (crashes int, last Crash) {
	for _, crash := range s.Crashes {
		if !s.counts(crash, now) {
			continue
		}
		crashes++
		if crash.At.After(last.At) {
			last = crash
		}
	}
	return crashes, last
}

// PoolServer is a server of a pool.
type PoolServer struct {
	ID api.ServerID
	// Leaving tells that the server refuses new work.
	Leaving bool
}

// Decision says how a request may be dispatched.
type Decision int

// Verdicts.
const (
	// DecisionUnrestricted lets the request run on any server.
	DecisionUnrestricted Decision = iota
	// DecisionRestricted lets the request run only on the server that Place names, without retry and hedge.
	DecisionRestricted
	// DecisionRejected keeps the request from running.
	DecisionRejected
)
