package replay

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/balance"
	"github.com/monsoonrail/monsoonrail/internal/cascade"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func (s *simulation) chooseVersion(r *request) cascade.Decision {
	pin := api.VersionID{}
	if r.entry.Session != "" {
		pin = s.sessions[r.sessionKey()]
	}
	versions := s.truth.Versions
	switch {
	case s.opts.Versions == PolicyOurs:
		return s.chooseOurs(r, pin)
	case !pin.IsZero():
		return cascade.Decision{Arm: cascade.Arm{First: pin}}
	case s.opts.Versions == PolicyBest:
		return cascade.Decision{Arm: cascade.Arm{First: versions[len(versions)-1].ID}}
	case s.opts.Versions == PolicyCheapest:
		return cascade.Decision{Arm: cascade.Arm{First: versions[0].ID}}
	case s.opts.Versions == PolicyRandom:
		return cascade.Decision{Arm: cascade.Arm{First: versions[r.node.rng.IntN(len(versions))].ID}}
	}
	return s.oracle[r.entry.Class].choose(&s.truth, r.entry.Session != "")
}

func (s *simulation) chooseOurs(r *request, pin api.VersionID) cascade.Decision {
	answer := s.expectedAnswer(r.entry.Class)
	in := cascade.Input{
		Service: r.entry.Service, Class: r.entry.Class, Pin: pin,
		Target: s.truth.Target, Exploration: s.truth.Exploration,
		// A cascade would change the version within a session.
		Cascade: s.truth.Cascade && r.entry.Session == "",
		Timeout: r.entry.Deadline, PromptTokens: r.entry.PromptTokens, AnswerTokens: answer,
		RatedInTimeShare: s.truth.RatedInTime, RatingTimeout: s.truth.RatingWait,
		Estimates: r.node.estimate, Rand: r.node.rng,
	}
	for i := range s.truth.Versions {
		v := &s.truth.Versions[i]
		seconds := float64(answer) / (answerRate * v.Speed)
		in.Versions = append(in.Versions, cascade.EligibleVersion{
			Version: v.ID, PromptCost: v.PromptCost, AnswerCost: v.AnswerCost, Share: v.Share, Prior: v.Prior,
			Latency: time.Duration(seconds * float64(time.Second)),
		})
	}
	decision, ok := cascade.Choose(in)
	if !ok {
		panic("replay: nothing to choose from")
	}
	return decision
}

func (s *simulation) chooseServer(r *request) int {
	switch s.opts.Servers {
	case PolicyOracle:
		return s.chooseTrueServer(r)
	case PolicyRandom:
		return r.node.rng.IntN(len(s.servers))
	case PolicyRoundRobin:
		r.node.turn++
		return r.node.turn % len(s.servers)
	case PolicyLeastInFlight:
		return leastInFlight(r.node.table.Servers())
	case PolicyLeastReported:
		return leastReported(r.node.table.Servers())
	}
	in := balance.Input{
		Servers: r.node.table.Servers(), CacheHolders: r.node.table.CacheHolders(r.prefix),
		Prefix: r.prefix, PrefixTokens: r.entry.PrefixTokens, PromptTokens: r.entry.PromptTokens,
		AnswerTokens:  s.expectedAnswer(r.entry.Class),
		RelativeSpeed: r.node.table.RelativeSpeed(s.truth.Versions[r.version].ID),
		Choices:       s.opts.Choices, NodeCount: len(s.nodes), Stickiness: s.opts.Stickiness, Now: s.wall(), Rand: r.node.rng,
	}
	if s.opts.Servers == PolicyPerfectCache {
		in.CacheHolders = s.trueHolders(r.prefix)
	}
	i, ok := balance.Choose(&in)
	if !ok {
		panic("replay: no server to choose from")
	}
	return int(i)
}

// trueHolders knows every cache as it is.
func (s *simulation) trueHolders(prefix uint64) balance.Mask {
	var holders balance.Mask
	for i, server := range s.servers {
		if server.hasCached(prefix) {
			holders = holders.With(balance.ServerIndex(i))
		}
	}
	return holders
}

// chooseTrueServer knows every queue and cache as it is.
func (s *simulation) chooseTrueServer(r *request) int {
	best, earliest := 0, time.Duration(math.MaxInt64)
	for i, server := range s.servers {
		if end := server.trueEnd(r, r.version, s.now, s.truth.Versions); end < earliest {
			best, earliest = i, end
		}
	}
	return best
}

func leastInFlight(servers []balance.Server) int {
	least := 0
	for i := range servers {
		if servers[i].InFlight < servers[least].InFlight {
			least = i
		}
	}
	return least
}

func leastReported(servers []balance.Server) int {
	least := 0
	for i := range servers {
		if servers[i].PeerInFlight*servers[least].Slots < servers[least].PeerInFlight*servers[i].Slots {
			least = i
		}
	}
	return least
}

// trueArm is an arm with its true means over a class.
type trueArm struct {
	first, then   int
	cost, quality float64
}

const noVersion = -1

// trueClass is the truth about a class: every arm, and the cheapest that meets the target,
// with and without cascades.
type trueClass struct {
	arms         []trueArm
	best         trueArm
	bestStraight trueArm
}

func (c *trueClass) choose(truth *Truth, isSession bool) cascade.Decision {
	arm := c.best
	if isSession {
		arm = c.bestStraight
	}
	return cascade.Decision{Arm: truth.arm(arm), EscalateBelow: truth.Target}
}

func (t *Truth) arm(a trueArm) cascade.Arm {
	arm := cascade.Arm{First: t.Versions[a.first].ID}
	if a.then != noVersion {
		arm.Then = t.Versions[a.then].ID
	}
	return arm
}

// find returns the truth about an arm.
func (c *trueClass) find(truth *Truth, arm cascade.Arm) trueArm {
	for _, a := range c.arms {
		if truth.arm(a) == arm {
			return a
		}
	}
	return trueArm{}
}

// findTruth measures every arm on every request with the same chance as the replay.
func findTruth(entries []*trace.Entry, truth *Truth, seed uint64) map[api.Class]*trueClass {
	byClass := map[api.Class][]int{}
	for i, entry := range entries {
		byClass[entry.Class] = append(byClass[entry.Class], i)
	}
	found := map[api.Class]*trueClass{}
	for class, indexes := range byClass {
		c := &trueClass{}
		for first := range truth.Versions {
			c.arms = append(c.arms, measure(entries, indexes, truth, seed, first, noVersion))
			for then := first + 1; truth.Cascade && then < len(truth.Versions); then++ {
				c.arms = append(c.arms, measure(entries, indexes, truth, seed, first, then))
			}
		}
		c.best = cheapestMeeting(c.arms, float64(truth.Target), true)
		c.bestStraight = cheapestMeeting(c.arms, float64(truth.Target), false)
		found[class] = c
	}
	return found
}

func measure(entries []*trace.Entry, indexes []int, truth *Truth, seed uint64, first, then int) trueArm {
	arm := trueArm{first: first, then: then}
	for _, i := range indexes {
		d := drawFor(seed, i, first)
		quality := truth.Versions[first].quality(entries[i], d.noise)
		cost := truth.Versions[first].price(entries[i])
		if _, inTime, _ := truth.ratingDelay(d); then != noVersion && inTime && quality < float64(truth.Target) {
			quality = truth.Versions[then].quality(entries[i], drawFor(seed, i, then).noise)
			cost += truth.Versions[then].price(entries[i])
		}
		arm.quality += quality / float64(len(indexes))
		arm.cost += cost / float64(len(indexes))
	}
	return arm
}

// cheapestMeeting returns the cheapest arm that meets the target, or the arm of the best quality.
func cheapestMeeting(arms []trueArm, target float64, cascades bool) trueArm {
	best := trueArm{first: noVersion}
	finest := arms[0]
	for _, a := range arms {
		if a.then != noVersion && !cascades {
			continue
		}
		if a.quality > finest.quality {
			finest = a
		}
		if a.quality >= target && (best.first == noVersion || a.cost < best.cost) {
			best = a
		}
	}
	if best.first == noVersion {
		return finest
	}
	return best
}
