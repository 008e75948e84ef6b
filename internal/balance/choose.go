package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Input is all that a choice rests on.
type Input struct {
	// Servers is the subset, at most MaxSubset.
	Servers []Server
	// Allowed holds the servers that may be chosen; 0 means all.
	Allowed Mask
	// Tried holds the servers that have failed the request; they are never chosen.
	Tried Mask
	// CacheHolders holds the servers that are known to have the request's prefix cached.
	CacheHolders Mask
	// Prefix is a hash of the prompt's prefix; 0 if there is none.
	Prefix uint64
	// PrefixTokens is the part of PromptTokens that the prefix covers.
	PrefixTokens, PromptTokens, AnswerTokens api.Tokens
	// RelativeSpeed is the version's rate of generation, as Table.RelativeSpeed returns it; 0 means 1.
	RelativeSpeed float64
	// Choices is the number of servers drawn at random and compared while the servers are busy; 0 compares all.
	Choices int
	// NodeCount is the number of nodes that choose among the same servers; 0 counts as few.
	NodeCount int
	// Stickiness is the part by which another server must be better than one that has the prefix.
	Stickiness float64
	Now        time.Time
	Rand       *rand.Rand
}

// Settings of Input that suit 8 nodes as well as hundreds.
const (
	DefaultChoices    = 2
	DefaultStickiness = 0.2
)

const (
	// loadBound is how far over its fair load a server may be to get more.
	loadBound = 1.2
	// freeLoad is the part of a server's slots up to which it always may get more.
	freeLoad = 0.8
	// lightLoad is the part of all slots up to which every server is compared.
	lightLoad = 0.5
	// fewDeciders is the number of nodes up to which every server is compared then: more would all go to the same one.
	fewDeciders = 16
	// holderCredit and homeCredit are how likely a server has the prefix that is known to have been there,
	// and one on which it is only expected.
	holderCredit, homeCredit = 0.95, 0.5
)

// Choose returns the server that is expected to finish the request first among those compared:
// Choices servers drawn at random, and the servers on which the prefix is cached or expected.
// It returns false if no server may be chosen. It doesn't allocate.
func Choose(in *Input) (ServerIndex, bool) {
	open := in.open()
	if open == 0 {
		return 0, false
	}
	load := in.measure(open)
	home := in.homes(open)
	compared := in.draw(open, load) | (in.CacheHolders|home)&open
	if index, ok := in.best(compared, home, load, true); ok {
		return index, true
	}
	if index, ok := in.best(open, home, load, true); ok {
		return index, true
	}
	return in.best(open, home, load, false)
}

// open returns the servers that may be chosen.
func (in *Input) open() Mask {
	var open Mask
	for i := range in.Servers {
		if !in.Servers[i].Excluded {
			open = open.With(ServerIndex(i))
		}
	}
	if in.Allowed != 0 {
		open &= in.Allowed
	}
	return open &^ in.Tried
}

// load describes the open servers together, for each slot.
type load struct {
	// others is the mean of other nodes' requests, total that of all.
	others, total float64
	// isKnown tells that servers have reported.
	isKnown bool
}

func (in *Input) measure(open Mask) load {
	var slots, own, others, reported float64
	for left := open; left != 0; left &= left - 1 {
		server := &in.Servers[left.first()]
		slots += float64(server.Slots)
		own += float64(server.InFlight)
		if server.ReportedAt != 0 {
			others += float64(server.PeerInFlight)
			reported += float64(server.Slots)
		}
	}
	var l load
	if reported > 0 {
		l.others = others / reported
		l.isKnown = true
	}
	l.total = l.others + own/slots
	return l
}

// draw picks Choices of the open servers at random, or all while few nodes choose
// among the servers and most slots are known to be free.
func (in *Input) draw(open Mask, l load) Mask {
	n := len(in.Servers)
	if in.Choices <= 0 || in.Choices >= n || l.isKnown && l.total < lightLoad && in.NodeCount <= fewDeciders {
		return open
	}
	var drawn Mask
	left := in.Choices
	const triesForEach = 4
	for tries := left * triesForEach; tries > 0 && left > 0; tries-- {
		i := ServerIndex(in.Rand.IntN(n))
		if open.Has(i) && !drawn.Has(i) {
			drawn = drawn.With(i)
			left--
		}
	}
	return drawn
}

// homes returns the two servers on which every node expects the prefix: the first in an order that depends
// on the prefix alone, drawn in proportion to the servers' capacity. At least one server is open.
func (in *Input) homes(open Mask) Mask {
	if in.Prefix == 0 {
		return 0
	}
	first, second := ServerIndex(-1), ServerIndex(-1)
	lowest, next := math.Inf(1), math.Inf(1)
	for left := open; left != 0; left &= left - 1 {
		index := left.first()
		rank, ok := in.Servers[index].rankBelow(next, in.Prefix)
		if !ok {
			continue
		}
		switch {
		case rank < lowest:
			second, next = first, lowest
			first, lowest = index, rank
		default:
			second, next = index, rank
		}
	}
	found := Mask(0).With(first)
	if second >= 0 {
		found = found.With(second)
	}
	return found
}

// rankBelow orders servers for a prefix by weighted rendezvous hashing, the lowest first.
// It returns false if the rank isn't below a limit; most servers need no logarithm for that.
func (s *Server) rankBelow(limit float64, prefix uint64) (float64, bool) {
	const mantissa = 1 << 53
	uniform := (float64(mix(prefix^s.IDHash)>>11) + 0.5) / mantissa
	slots := float64(s.Slots)
	if (1-uniform)*s.HoldingSeconds >= limit*slots {
		return 0, false
	}
	rank := -math.Log(uniform) * s.HoldingSeconds / slots
	return rank, rank < limit
}

// mix spreads the bits of x over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// best returns the compared server with the earliest expected end; within bounds only those count
// that aren't over their fair load.
func (in *Input) best(compared, home Mask, l load, bounded bool) (ServerIndex, bool) {
	best, bestTime := ServerIndex(-1), math.Inf(1)
	now := in.Now.UnixNano()
	bound := max(loadBound*l.total, freeLoad)
	for left := compared; left != 0; left &= left - 1 {
		index := left.first()
		server := &in.Servers[index]
		occupied := server.occupancy(l.others, now)
		if bounded && occupied > bound*float64(server.Slots) {
			continue
		}
		expected := in.expected(server, occupied, in.credit(index, home)) * server.slowness(now)
		if expected < bestTime {
			best, bestTime = index, expected
		}
	}
	return best, best >= 0
}

// credit is the probability that a server has the prefix cached.
func (in *Input) credit(i ServerIndex, home Mask) float64 {
	switch {
	case in.CacheHolders.Has(i):
		return holderCredit
	case home.Has(i):
		return homeCredit
	}
	return 0
}

// expected returns the expected time in seconds to the whole answer.
func (in *Input) expected(s *Server, occupied, credit float64) float64 {
	wait := s.wait(occupied)
	prompt := float64(in.PromptTokens) - credit*float64(in.PrefixTokens)
	rate := s.AnswerRate
	if in.RelativeSpeed > 0 {
		rate *= in.RelativeSpeed
	}
	// prompt/PromptRate + answer/rate, with one division.
	work := (prompt*rate + float64(in.AnswerTokens)*s.PromptRate) / (s.PromptRate * rate)
	if in.AnswerTokens == 0 {
		work = s.HoldingSeconds
	}
	if credit > 0 {
		return (wait + work) / (1 + in.Stickiness)
	}
	return wait + work
}

// Occupancy sums the slots of the servers that aren't excluded, this node's own unfinished requests on them
// and an estimate of other nodes' requests.
func Occupancy(servers []Server, now time.Time) (slots, own, others float64) {
	in := Input{Servers: servers}
	l := in.measure(in.open())
	for i := range servers {
		if servers[i].Excluded {
			continue
		}
		slots += float64(servers[i].Slots)
		own += float64(servers[i].InFlight)
		others += servers[i].occupancy(l.others, now.UnixNano()) - float64(servers[i].InFlight)
	}
	return slots, own, others
}
