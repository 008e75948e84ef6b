// Package poison keeps a poison request, one that crashes backend servers, from crashing more than two servers in the whole
// fleet, also during network partitions between nodes. It does no I/O and reads no clock.
//
// The fingerprint of a request is suspected when a server crashes while it runs the request. Nodes exchange their suspicions.
// A suspected request may run once more, on one server on which all nodes agree, and after its second crash it is rejected
// until SuspicionTTL has passed. A node that has observed the failure of a server, and hasn't yet received the reports of
// its peers about the requests that ran on it, treats every fingerprint that it doesn't know to be harmless as suspected,
// because a partitioned peer may have sent the request there.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Fingerprint identifies requests with the same content, regardless of their IDs.
type Fingerprint uint64

// FingerprintOf hashes the parts of a request that determine how a server processes it: service, method, path and body.
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

// Limits and times of a Guard.
const (
	// MaxCrashes is the largest number of servers that one fingerprint may crash.
	MaxCrashes = 2
	// SuspicionTTL is how long a fingerprint is suspected after its last crash.
	SuspicionTTL = 10 * time.Minute
	// CautionPeriod is how long a node restricts unknown fingerprints after the failure of a server, or after the start of a
	// partition, unless all its peers have reported since. It is longer than the partitions for which the limit on crashes holds.
	CautionPeriod = time.Minute
	// CrashDetectionTimeout is the longest time from a server's failure until all nodes whose requests ran there have detected it.
	CrashDetectionTimeout = 3 * time.Second
	// failureTTL is how long a failure affects the designated server of a request, by the clock of any node.
	failureTTL = CautionPeriod + 2*clockSkew
	// clockSkew is the largest difference between the times that two nodes record for the same failure.
	clockSkew = 5 * time.Second
	// PeerReportMaxAge is the largest age of the peers' reports at which the node doesn't count as partitioned.
	PeerReportMaxAge = 5 * time.Second
	// maxYoungAge is the longest time that a request has run when its server fails and still counts as young. Engines process the
	// prompt within this time.
	maxYoungAge = 500 * time.Millisecond
	// peerReportDelay is the time after a crash by which the suspicions of the reachable peers have been received.
	peerReportDelay = 500 * time.Millisecond
	// yieldPeriod is how long after a crash the requests that weren't young yield to young ones.
	yieldPeriod = 3 * time.Second
	// maxKeptCrashes is the largest number of crashes kept per fingerprint; the latest ones are kept.
	maxKeptCrashes = 4
	// MaxSuspects is the largest number of suspected fingerprints; beyond it those with the oldest last crash are removed.
	MaxSuspects = 4096
	// MaxHarmless is the largest number of fingerprints known to be harmless; beyond it the older half is removed.
	MaxHarmless = 8192
)

// Crash is the failure of a server while it ran a request.
type Crash struct {
	Server api.ServerID
	At     time.Time
	// Young is true if the request had run for at most maxYoungAge.
	Young bool `json:",omitempty"`
}

// RunningRequest is a request that a server has been running since a time.
type RunningRequest struct {
	Fingerprint Fingerprint
	Since       time.Time
}

// Suspicion holds the crashes attributed to a fingerprint, as sent between nodes.
type Suspicion struct {
	Fingerprint Fingerprint
	// Crashes holds at most one crash per server, ordered by server.
	Crashes []Crash
	// ClearedAt is when a request with the fingerprint was last completed; earlier crashes don't count. Zero if never.
	ClearedAt time.Time
}

// countCrashes returns the number of crashes that still count, and the last of them.
func (s *Suspicion) countCrashes(now time.Time) (crashes int, last Crash) {
	for _, crash := range s.Crashes {
		if !s.isCounted(crash, now) {
			continue
		}
		crashes++
		if crash.At.After(last.At) {
			last = crash
		}
	}
	return crashes, last
}

// PoolServer is a server in the pool of a service.
type PoolServer struct {
	ID api.ServerID
	// Leaving is true if the server rejects new work because it is leaving.
	Leaving bool
}

// Decision is how a request may be dispatched.
type Decision int

// Decisions.
const (
	// DecisionUnrestricted allows the request on any server.
	DecisionUnrestricted Decision = iota
	// DecisionRestricted allows the request only on the server that DesignatedServer returns, without retries and hedges.
	DecisionRestricted
	// DecisionRejected rejects the request.
	DecisionRejected
)
