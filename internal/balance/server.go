// Package balance selects the backend server for a request: the one that is expected to finish it first, out of the
// node's subset of the service's servers. It also computes the subsets. It does no I/O and reads no clock.
package balance

import (
	"math/bits"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// MaxSubsetSize is the largest number of servers in a subset, limited by the number of bits of a Mask.
const MaxSubsetSize = 64

// ServerIndex is the index of a server in the subset.
type ServerIndex int

// Mask is a set of servers of a subset, one bit for each ServerIndex.
type Mask uint64

// Has reports whether the set holds a server.
func (m Mask) Has(i ServerIndex) bool { return m&(1<<uint(i)) != 0 }

// With returns the set with a server added.
func (m Mask) With(i ServerIndex) Mask { return m | 1<<uint(i) }

// Without returns the set with a server removed.
func (m Mask) Without(i ServerIndex) Mask { return m &^ (1 << uint(i)) }

// first returns the lowest index in the set, which must not be empty.
func (m Mask) first() ServerIndex { return ServerIndex(bits.TrailingZeros64(uint64(m))) }

// Server is the state that a node keeps of one server of its subset.
type Server struct {
	ID api.ServerID
	// Excluded is true if the server gets no new work because it is leaving, is suspected of being down,
	// or lacks a property that the request needs.
	Excluded bool
	// Slots is the number of requests that the server processes concurrently, at least 1.
	Slots int
	// InFlight counts this node's own unfinished requests on the server.
	InFlight int
	// PeerInFlight is the number of the peers' unfinished requests on the server as of its last load report.
	PeerInFlight int
	// ReportedAt is when the last load report was measured, in nanoseconds since the Unix epoch; 0 if there is none.
	ReportedAt int64
	// AnswerRate and PromptRate are the learnt rates of generation and of prompt processing, in tokens per second, for one
	// request of a version of relative speed 1. Both are above 0.
	AnswerRate, PromptRate float64
	// HoldingSeconds is the learnt mean time in seconds that a request holds a slot, above 0.
	HoldingSeconds float64
	// IDHash is a hash of ID.
	IDHash uint64

	// samples is the number of answers from which AnswerRate was learnt.
	samples int
	// learntAt is when a rate was last updated from an answer or from an overdue step.
	learntAt time.Time
	// loweredAt is when the rates were last lowered because of an unfinished request.
	loweredAt time.Time
	// lateAt is when the first of the server's unfinished requests becomes late, in nanoseconds since the Unix epoch, or 0 if
	// it has none. lateStepAt is when that request's current step began, lateExpectedSeconds the expected duration of the step
	// plus stepSlack.
	lateAt, lateStepAt  int64
	lateExpectedSeconds float64
}

// reportHalfLife is the age at which a load report has the same weight as the mean of the subset.
const reportHalfLife = 4 * time.Second

// occupancy estimates the number of unfinished requests on the server: the node's own, which are counted exactly,
// and those of peers, for which the weight of a load report falls with its age.
// meanPeerInFlight is the mean number of the peers' requests per slot of the subset.
// now is in nanoseconds since the Unix epoch, which is cheaper to subtract than a time.Time.
func (s *Server) occupancy(meanPeerInFlight float64, now int64) float64 {
	mean := meanPeerInFlight * float64(s.Slots)
	if s.ReportedAt == 0 {
		return float64(s.InFlight) + mean
	}
	age := max(now-s.ReportedAt, 0)
	reportWeight := float64(reportHalfLife) / float64(int64(reportHalfLife)+age)
	return float64(s.InFlight) + mean + reportWeight*(float64(s.PeerInFlight)-mean)
}

// queueSeconds returns the expected time in seconds until a slot is free for one more request.
func (s *Server) queueSeconds(occupancy float64) float64 {
	queued := occupancy + 1 - float64(s.Slots)
	if queued <= 0 {
		return 0
	}
	return queued * s.HoldingSeconds / float64(s.Slots)
}
