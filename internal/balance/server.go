// Package balance chooses the server of a request: the one that is expected to finish it first, out of the
// node's subset of the service's servers. It also computes the subsets. It does no I/O and holds no clock.
package balance

import (
	"math/bits"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// MaxSubsetSize is the largest number of servers in a subset; sets of servers are masks of so many bits.
const MaxSubsetSize = 64

// ServerIndex is a server's place in the subset.
type ServerIndex int

// Mask is a set of servers of a subset, one bit for each ServerIndex.
type Mask uint64

// Has reports whether the set holds a server.
func (m Mask) Has(i ServerIndex) bool { return m&(1<<uint(i)) != 0 }

// With returns the set and one server more.
func (m Mask) With(i ServerIndex) Mask { return m | 1<<uint(i) }

// Without returns the set without a server.
func (m Mask) Without(i ServerIndex) Mask { return m &^ (1 << uint(i)) }

// first returns the lowest index of a set that isn't empty.
func (m Mask) first() ServerIndex { return ServerIndex(bits.TrailingZeros64(uint64(m))) }

// Server is what a node knows of one server of its subset.
type Server struct {
	ID api.ServerID
	// Excluded tells that the server gets no new work: it is leaving, suspected of being down,
	// or lacks what the request needs.
	Excluded bool
	// Slots is the number of requests that the server works on at a time, at least 1.
	Slots int
	// InFlight counts this node's own unfinished requests on the server.
	InFlight int
	// PeerInFlight is the number of other nodes' requests on the server when it last reported.
	PeerInFlight int
	// ReportedAt is when the report was measured, in nanoseconds since the Unix epoch; 0 if there is none.
	ReportedAt int64
	// AnswerRate and PromptRate are learnt, in tokens a second for one request of a version of speed 1, above 0.
	AnswerRate, PromptRate float64
	// HoldingSeconds is the learnt mean time in seconds that a request holds a slot, above 0.
	HoldingSeconds float64
	// IDHash is a hash of the ID.
	IDHash uint64

	// samples counts the answers that AnswerRate was learnt from.
	samples int
	// learntAt is when an answer, or one that didn't come, last taught a speed.
	learntAt time.Time
	// loweredAt is when an answer that didn't come last did.
	loweredAt time.Time
	// lateAt is when one of the server's requests will be late, in nanoseconds since the Unix epoch, or 0 if it has none;
	// lateSince is when that request's step began, lateBase the time in seconds that it should take.
	lateAt, lateSince int64
	lateBase          float64
}

// reportHalfLife is the age at which a report weighs as much as the mean of the subset.
const reportHalfLife = 4 * time.Second

// occupancy estimates the number of unfinished requests on the server: the node's own, which it knows exactly,
// and those of others, for which a report counts the less the older it is.
// meanOthers is the mean number of others' requests for each slot of the subset.
// now is in nanoseconds since the Unix epoch, which is cheaper to subtract than a time.
func (s *Server) occupancy(meanOthers float64, now int64) float64 {
	usual := meanOthers * float64(s.Slots)
	if s.ReportedAt == 0 {
		return float64(s.InFlight) + usual
	}
	age := max(now-s.ReportedAt, 0)
	trust := float64(reportHalfLife) / float64(int64(reportHalfLife)+age)
	return float64(s.InFlight) + usual + trust*(float64(s.PeerInFlight)-usual)
}

// wait is the expected time in seconds until a slot is free for one request more.
func (s *Server) wait(occupied float64) float64 {
	ahead := occupied + 1 - float64(s.Slots)
	if ahead <= 0 {
		return 0
	}
	return ahead * s.HoldingSeconds / float64(s.Slots)
}
