package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Input holds everything that Choose uses to select a server.
type Input struct {
	// Servers is the node's subset, at most MaxSubsetSize servers.
	Servers []Server
	// Allowed is the set of servers that may be chosen; 0 means all.
	Allowed Mask
	// Tried is the set of servers on which an attempt of the request has failed; they are never chosen.
	Tried Mask
	// CacheHolders is the set of servers that are known to have the request's prefix cached.
	CacheHolders Mask
	// Prefix is a hash of the prompt's prefix; 0 if there is none.
	Prefix uint64
	// PrefixTokens is the number of the PromptTokens that the prefix covers. AnswerTokens is the expected length of the
	// answer; 0 if unknown.
	PrefixTokens, PromptTokens, AnswerTokens api.Tokens
	// RelativeSpeed is the version's rate of generation relative to AnswerRate, as returned by Table.RelativeSpeed; 0 means 1.
	RelativeSpeed float64
	// Choices is the number of servers that are sampled at random and compared while the servers are busy; 0 compares all.
	Choices int
	// NodeCount is the number of nodes that choose among the same servers; 0 has the same effect as a small number.
	NodeCount int
	// Stickiness is the fraction by which the expected time of a server without the cached prefix must be shorter than that
	// of a server with it.
	Stickiness float64
	Now        time.Time
	Rand       *rand.Rand
}

// Default settings of Input, suitable for 8 nodes as well as for hundreds.
const (
	DefaultChoices    = 2
	DefaultStickiness = 0.2
)

const (
	// maxLoadFactor is the largest ratio of a server's load to the mean load at which the server still gets requests.
	maxLoadFactor = 1.2
	// alwaysAllowedLoad is the fraction of a server's slots in use up to which maxLoadFactor doesn't apply.
	alwaysAllowedLoad = 0.8
	// lightLoad is the fraction of all slots in use below which all servers are compared.
	lightLoad = 0.5
	// maxNodesComparingAll is the largest number of nodes that compare all servers under light load; more nodes would all
	// choose the same server.
	maxNodesComparingAll = 16
	// holderCacheProbability is the assumed probability that a server in CacheHolders still has the prefix cached,
	// homeCacheProbability that of a server which is one of the prefix's homes.
	holderCacheProbability, homeCacheProbability = 0.95, 0.5
)

// Choose returns the server that is expected to finish the request first among the compared ones:
// Choices randomly sampled servers, and the servers on which the prefix is cached or likely to be cached.
// It returns false if no server may be chosen. It doesn't allocate.
func Choose(in *Input) (ServerIndex, bool) {
	eligible := in.eligible()
	if eligible == 0 {
		return 0, false
	}
	load := in.measureLoad(eligible)
	home := in.homes(eligible)
	compared := in.sample(eligible, load) | (in.CacheHolders|home)&eligible
	if index, ok := in.best(compared, home, load, true); ok {
		return index, true
	}
	if index, ok := in.best(eligible, home, load, true); ok {
		return index, true
	}
	return in.best(eligible, home, load, false)
}

// eligible returns the servers that may be chosen.
func (in *Input) eligible() Mask {
	var eligible Mask
	for i := range in.Servers {
		if !in.Servers[i].Excluded {
			eligible = eligible.With(ServerIndex(i))
		}
	}
	if in.Allowed != 0 {
		eligible &= in.Allowed
	}
	return eligible &^ in.Tried
}

// load is the mean load of the eligible servers, in requests per slot.
type load struct {
	// meanPeerInFlight counts the peers' requests, meanInFlight those of all nodes.
	meanPeerInFlight, meanInFlight float64
	// hasReports is true if at least one eligible server has reported its load.
	hasReports bool
}

func (in *Input) measureLoad(eligible Mask) load {
	var slots, own, peerInFlight, reported float64
	for left := eligible; left != 0; left &= left - 1 {
		server := &in.Servers[left.first()]
		slots += float64(server.Slots)
		own += float64(server.InFlight)
		if server.ReportedAt != 0 {
			peerInFlight += float64(server.PeerInFlight)
			reported += float64(server.Slots)
		}
	}
	var l load
	if reported > 0 {
		l.meanPeerInFlight = peerInFlight / reported
		l.hasReports = true
	}
	l.meanInFlight = l.meanPeerInFlight + own/slots
	return l
}

// sample returns Choices randomly chosen eligible servers, or all eligible servers if few nodes choose
// among them and most slots are reported to be free.
func (in *Input) sample(eligible Mask, l load) Mask {
	n := len(in.Servers)
	if in.Choices <= 0 || in.Choices >= n || l.hasReports && l.meanInFlight < lightLoad && in.NodeCount <= maxNodesComparingAll {
		return eligible
	}
	var sampled Mask
	remaining := in.Choices
	const drawsPerServer = 4
	for draws := remaining * drawsPerServer; draws > 0 && remaining > 0; draws-- {
		i := ServerIndex(in.Rand.IntN(n))
		if eligible.Has(i) && !sampled.Has(i) {
			sampled = sampled.With(i)
			remaining--
		}
	}
	return sampled
}

// homes returns the two servers on which all nodes expect the prefix to be cached: the first ones by rendezvous hashing
// of the prefix, weighted by the servers' capacity. At least one server must be eligible.
func (in *Input) homes(eligible Mask) Mask {
	if in.Prefix == 0 {
		return 0
	}
	first, second := ServerIndex(-1), ServerIndex(-1)
	lowestRank, secondRank := math.Inf(1), math.Inf(1)
	for left := eligible; left != 0; left &= left - 1 {
		index := left.first()
		rank, ok := in.Servers[index].rankBelow(secondRank, in.Prefix)
		if !ok {
			continue
		}
		switch {
		case rank < lowestRank:
			second, secondRank = first, lowestRank
			first, lowestRank = index, rank
		default:
			second, secondRank = index, rank
		}
	}
	homes := Mask(0).With(first)
	if second >= 0 {
		homes = homes.With(second)
	}
	return homes
}

// rankBelow returns the server's rank for a prefix by weighted rendezvous hashing; lower ranks come first.
// It returns false if the rank isn't below limit, which for most servers is decided without computing a logarithm.
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

// mix is the finalizer of SplitMix64: every bit of x affects all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// best returns the compared server with the earliest expected completion. If bounded is set, it skips servers
// whose load is above the bound given by maxLoadFactor and alwaysAllowedLoad.
func (in *Input) best(compared, home Mask, l load, bounded bool) (ServerIndex, bool) {
	best, bestTime := ServerIndex(-1), math.Inf(1)
	now := in.Now.UnixNano()
	bound := max(maxLoadFactor*l.meanInFlight, alwaysAllowedLoad)
	for left := compared; left != 0; left &= left - 1 {
		index := left.first()
		server := &in.Servers[index]
		occupancy := server.occupancy(l.meanPeerInFlight, now)
		if bounded && occupancy > bound*float64(server.Slots) {
			continue
		}
		expected := in.expectedCompletion(server, occupancy, in.cacheProbability(index, home)) * server.slowdown(now)
		if expected < bestTime {
			best, bestTime = index, expected
		}
	}
	return best, best >= 0
}

// cacheProbability returns the probability that a server has the prefix cached.
func (in *Input) cacheProbability(i ServerIndex, home Mask) float64 {
	switch {
	case in.CacheHolders.Has(i):
		return holderCacheProbability
	case home.Has(i):
		return homeCacheProbability
	}
	return 0
}

// expectedCompletion returns the expected time in seconds until the answer is complete.
func (in *Input) expectedCompletion(s *Server, occupancy, cacheProbability float64) float64 {
	wait := s.queueSeconds(occupancy)
	prompt := float64(in.PromptTokens) - cacheProbability*float64(in.PrefixTokens)
	rate := s.AnswerRate
	if in.RelativeSpeed > 0 {
		rate *= in.RelativeSpeed
	}
	// prompt/PromptRate + answer/rate, with one division.
	work := (prompt*rate + float64(in.AnswerTokens)*s.PromptRate) / (s.PromptRate * rate)
	if in.AnswerTokens == 0 {
		work = s.HoldingSeconds
	}
	if cacheProbability > 0 {
		return (wait + work) / (1 + in.Stickiness)
	}
	return wait + work
}

// Occupancy returns the total number of slots of the servers that aren't excluded, of this node's unfinished requests on
// them, and of the peers' requests on them, which is an estimate.
func Occupancy(servers []Server, now time.Time) (slots, ownInFlight, peerInFlight float64) {
	in := Input{Servers: servers}
	l := in.measureLoad(in.eligible())
	for i := range servers {
		if servers[i].Excluded {
			continue
		}
		slots += float64(servers[i].Slots)
		ownInFlight += float64(servers[i].InFlight)
		peerInFlight += servers[i].occupancy(l.meanPeerInFlight, now.UnixNano()) - float64(servers[i].InFlight)
	}
	return slots, ownInFlight, peerInFlight
}
