// Package warmup divides the requests that a cold server takes between the nodes.
//
// A server is cold for some time after its start, and at times later on. While it is cold it takes few requests from all nodes together and
// crashes under many, although it looks idle to each of them. Nodes need no messages for their parts: each one sends at most one request in each
// round, in a short slot of its own. Slots of nodes next to each other in the list of nodes follow each other. The package has no input or output.
package warmup

import (
	"math"
	"time"
)

// Rate is a number of requests a second.
type Rate float64

const (
	// slotLength is how long a node may send the request of a round. An unused slot ends, so that requests that were not sent can't all come at once.
	slotLength = 500 * time.Millisecond
	// maxSkew is how much later than others a node may hear that a server is cold.
	maxSkew = 750 * time.Millisecond
	// usedFraction is the fraction of a server's rate that the nodes use together, since their lists of nodes may differ for some seconds.
	usedFraction = 0.8
	// minRate is the lowest rate of a policy that limits requests.
	minRate Rate = 0.1
)

// Policy says how the servers of a service warm up. The zero value is that of servers without a warm-up.
type Policy struct {
	// Duration is how long a server is cold after its start.
	Duration time.Duration
	// Rate is the rate that a cold server takes from all nodes together; 0 means that it is not limited.
	Rate Rate
	// Most is the number of requests that a cold server may get in any second; at least Rate, or 0 if only Rate is known.
	Most float64
}

// IsLimited reports whether a cold server takes fewer requests than others.
func (p Policy) IsLimited() bool { return p.Rate > 0 }

// sharedRate returns the rate that all nodes use together. In any second, slots that began up to slotLength before it and of nodes that heard up to
// maxSkew later may be used.
func (p Policy) sharedRate() float64 {
	most := max(p.Most, float64(p.Rate))
	overlap := (time.Second + slotLength + maxSkew).Seconds()
	return max(float64(minRate), min(usedFraction*float64(p.Rate), most/overlap))
}

// Turn is the place of a node in the order in which the nodes send requests to a cold server.
type Turn struct {
	// Rank is the node's rank among the nodes, from 0, and Nodes their number, at least 1.
	Rank, Nodes int
	// Offset is where the order begins at the server, from 0 to 1, so that a node's slots at different servers are at different times.
	Offset float64
}

// round returns the time between the slots of a node.
func (p Policy) round(turn Turn) time.Duration {
	seconds := float64(max(1, turn.Nodes)) / p.sharedRate()
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond)
}

// State is what a node knows of one start of a server; the zero value is that of a warm one. It is not safe for concurrent use.
type State struct {
	// since and until bound the time in which the server is cold.
	since, until time.Time
	// sentAt is when the node last sent a request to the cold server; zero if it has sent none.
	sentAt time.Time
	// turn is the node's turn while the server is cold. It is kept when other nodes leave: with each of them the slots of the nodes behind would
	// begin earlier, so that in a large loss many would fall into the same second.
	turn Turn
}

// Extend records that the server is cold for a time from now on, unless it is known to be cold for longer. It reports whether the server was
// warm before.
func (s *State) Extend(left time.Duration, now time.Time) (isNews bool) {
	until := now.Add(left)
	if left <= 0 || !until.After(s.until) {
		return false
	}
	if isNews = !s.IsCold(now); isNews {
		s.since, s.sentAt, s.turn = now, time.Time{}, Turn{}
	}
	s.until = until
	return isNews
}

// IsCold reports whether the server is cold.
func (s *State) IsCold(now time.Time) bool { return now.Before(s.until) }

// NextAt returns when the node may send its next request to the server: now or before if it may send one at once.
func (s *State) NextAt(p Policy, turn Turn, now time.Time) time.Time {
	if !s.IsCold(now) || !p.IsLimited() {
		return now
	}
	if turn.Nodes > s.turn.Nodes {
		s.turn = turn
	}
	round := p.round(s.turn)
	begin := s.slotBegin(round, now)
	isUsed := !s.sentAt.IsZero() && s.sentAt.After(begin.Add(-round/2))
	if isUsed || !now.Before(begin.Add(min(slotLength, round))) {
		begin = begin.Add(round)
	}
	if begin.After(s.until) {
		return s.until
	}
	return begin
}

// slotBegin returns the begin of the node's slot that is under way or has been the last one, or of the first one if that is yet to come.
func (s *State) slotBegin(round time.Duration, now time.Time) time.Time {
	phase := float64(s.turn.Rank)/float64(max(1, s.turn.Nodes)) + s.turn.Offset
	phase -= math.Floor(phase)
	first := s.since.Add(time.Duration(phase * float64(round)))
	if !now.After(first) {
		return first
	}
	return first.Add(now.Sub(first) / round * round)
}

// Sent records that the node sends a request to the server.
func (s *State) Sent(now time.Time) {
	if s.IsCold(now) {
		s.sentAt = now
	}
}
