package selfreport

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// brittleTTL is how long the servers of a service count as brittle after one of them has last said so.
	brittleTTL = 3 * time.Second
	// rejectionFraction is the fraction of the rejections that a brittle server stands which the nodes cause together, one in each slot.
	rejectionFraction = 0.5
	// maxSlot bounds a node's slot at a server.
	maxSlot = 5 * time.Second
	// usedSlot is the fraction of a slot, from its begin on, in which a rejection may be risked, so that those of slots next to each other are some time apart.
	usedSlot = 0.5
	// carefulTime is how long a node that was rejected risks further rejections only in its slots, at least. Up to as long again, by its rank, keeps nodes from
	// ending it at the same time.
	carefulTime = 5 * time.Second
	// riskGap is the time between two requests to a server of which each may be rejected: about what an answer takes.
	riskGap = 50 * time.Millisecond
	// freshLoad is the age up to which a load report shows whether a brittle server has room: other nodes fill a free slot within a fraction of a second.
	freshLoad = 300 * time.Millisecond
)

// Turn is a node's place in the order in which nodes risk rejections at a brittle server. All nodes have the same order, which begins at another node for each
// server.
type Turn struct {
	// Rank is the node's rank among the nodes, from 0, and Nodes their number, at least 1.
	Rank, Nodes int
	// Offset, from 0 to 1, is the part of the order after which it begins at the server.
	Offset float64
}

// OffsetOf returns the Offset of a server.
func OffsetOf(server api.ServerID) float64 {
	return rendezvous.Fraction(xxhash.Sum64String("turn/" + string(server)))
}

// Brittleness is what a node knows of the brittle servers of a service: each falls over if it has to reject more requests in a second, for want of room, than it
// stands. The zero value means that they aren't brittle. It is not safe for concurrent use.
type Brittleness struct {
	// limit is the number of rejections a second that a server stands, and namedAt when it was last named; zero if it never was.
	limit   Rate
	namedAt time.Time
	// rejectedAt is when one of the servers last had no room for a request of this node.
	rejectedAt time.Time
}

// Record takes in a report of one of the servers.
func (b *Brittleness) Record(report Report, now time.Time) {
	if report.HasBrittle {
		b.limit, b.namedAt = report.Brittle, now
	}
}

// IsSet reports whether the servers are brittle.
func (b *Brittleness) IsSet(now time.Time) bool {
	return !b.namedAt.IsZero() && now.Sub(b.namedAt) < brittleTTL
}

// Rejected records that one of the servers had no room for a request.
func (b *Brittleness) Rejected(now time.Time) { b.rejectedAt = now }

// isCareful reports whether the node was rejected recently.
func (b *Brittleness) isCareful(turn Turn, now time.Time) bool {
	stagger := time.Duration(float64(turn.Rank) / float64(max(1, turn.Nodes)) * float64(carefulTime))
	return now.Sub(b.rejectedAt) < carefulTime+stagger
}

// slot returns the length of a node's slot at a server.
func (b *Brittleness) slot() time.Duration {
	rate := rejectionFraction * float64(max(b.limit, minLimit))
	return min(time.Duration(float64(time.Second)/rate), maxSlot)
}

// ownSlot returns the used part of the slot of a node at a server that is under way or comes next. Nodes need no messages for it: their times of day are close to each other.
func (b *Brittleness) ownSlot(turn Turn, now time.Time) (begin, end time.Time) {
	slot := b.slot()
	round := slot * time.Duration(max(1, turn.Nodes))
	first := time.Duration(turn.Rank)*slot + time.Duration(turn.Offset*float64(round))
	passed := (time.Duration(now.UnixNano()) - first) % round
	if passed < 0 {
		passed += round
	}
	used := time.Duration(usedSlot * float64(slot))
	begin = now.Add(-passed)
	if passed >= used {
		begin = begin.Add(round)
	}
	return begin, begin.Add(used)
}

// room is what a node knows of the room that a brittle server has.
type room struct {
	// rejectedAt is when the server last had no room for a request, riskedAt when one was last sent that the server might have no room for.
	rejectedAt, riskedAt time.Time
}

// Rejected records that the server had no room for a request.
func (s *State) Rejected(now time.Time) { s.room.rejectedAt = now }

// CheckRoom returns whether a brittle server is expected to have room for a request, or may be asked although it might have none. Requests that would have to wait
// there are a risk, since brittle servers let fewer wait. inFlight is the number of
// requests that run or wait there, by the last load report and this node's own ones since.
func (s *State) CheckRoom(b *Brittleness, inFlight int, turn Turn, now time.Time) Decision {
	load, age, ok := s.Load(now)
	isFresh := ok && age < freshLoad
	if isFresh && inFlight < load.Slots && !s.room.rejectedAt.After(s.loadAt) {
		return Decision{}
	}
	begin, end := b.ownSlot(turn, now)
	isOwn := !now.Before(begin)
	switch {
	case isOwn && !s.room.rejectedAt.Before(begin):
		// The slot's rejection is used up.
		return Decision{Verdict: Full, Until: end}
	case now.Sub(s.room.riskedAt) < riskGap:
		return Decision{Verdict: Full, Until: s.room.riskedAt.Add(riskGap)}
	case isOwn:
		return Decision{}
	case isFresh, b.isCareful(turn, now):
		return Decision{Verdict: Full, Until: begin}
	}
	return Decision{}
}

// TakeRoom records that a request was sent to a brittle server.
func (s *State) TakeRoom(inFlight int, now time.Time) {
	load, age, ok := s.Load(now)
	if !ok || age >= freshLoad || inFlight >= load.Slots {
		s.room.riskedAt = now
	}
}
