package cascade

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// EligibleVersion is a version that a request may run on: allowed, loaded and not withdrawn.
type EligibleVersion struct {
	Version api.VersionID
	// PromptCost and AnswerCost are the prices of a thousand tokens.
	PromptCost, AnswerCost api.MicroUSD
	// Share is the largest part of new requests that the version may receive, from 0 to 1.
	// Below 1 the version is on trial: it gets its share whatever others cost, unless its ratings are bad,
	// and takes no part in the choice beyond it. At 0 it serves pinned sessions alone.
	Share float64
	// Prior is the quality assumed before any rating; 0 if nothing is known.
	Prior api.Quality
	// Latency is the expected time to a whole answer.
	Latency time.Duration
}

// Input is all that a choice rests on.
type Input struct {
	Service api.Service
	Class   api.Class
	// Versions lists every version that may be chosen, without repeats.
	Versions []EligibleVersion
	// Pin is the version of the request's session; zero if there is none.
	Pin api.VersionID
	// Target is the mean quality that the class must reach.
	Target api.Quality
	// Exploration is the largest part of requests spent on learning, from 0 to 1.
	Exploration float64
	// Cascade allows arms that escalate.
	Cascade bool
	// Timeout is how long the caller can wait; arms that escalate must fit into it. 0 means without bound.
	Timeout time.Duration
	// CostPerSecond is what a second of the caller's time is worth.
	CostPerSecond api.MicroUSD
	// PromptTokens and AnswerTokens are the expected size of the request.
	PromptTokens, AnswerTokens api.Tokens
	// RatedInTimeShare is the part of first answers whose rating comes in time to escalate, from 0 to 1.
	RatedInTimeShare float64
	// RatingTimeout is how long a cascade waits for a rating.
	RatingTimeout time.Duration
	// Estimates may be nil.
	Estimates *Estimates
	Rand      *rand.Rand

	// confidence is the number of standard errors of the bounds, facts what is known of each candidate; Choose sets them.
	confidence float64
	facts      []versionFacts
}

// Reason tells why an arm was chosen.
type Reason string

// Reasons of choices.
const (
	// ReasonPinned means that the session is pinned to the version.
	ReasonPinned Reason = "Pinned"
	// ReasonRollOut means that the version is on trial and the request is part of its share.
	ReasonRollOut Reason = "Trial"
	// ReasonCheapest means that the arm is the cheapest that meets the target: by its lower confidence bound while the
	// class's callers got less than the target, or by a milder bound while they didn't.
	ReasonCheapest Reason = "Cheapest"
	// ReasonBest means that no arm is known to meet the target and that this one comes nearest.
	ReasonBest Reason = "Best"
	// ReasonExploring means that the arm might meet the target at a lower cost.
	ReasonExploring Reason = "Exploring"
)

// Decision is a choice.
type Decision struct {
	// Arm names candidates only.
	Arm    Arm
	Reason Reason
	// EscalateBelow is the rating of a cascade's first answer below which it is escalated.
	EscalateBelow api.Quality
	// Cost is the expected price of the request.
	Cost api.MicroUSD
}

const (
	// priorRatings is the number of ratings that a prior weighs as much as.
	priorRatings = 20
	// unknownPrior is the prior of a version of which nothing is known.
	unknownPrior = 0.5
	// priorVariance is the variance assumed before any rating.
	priorVariance = 0.03
	// hardPenalty is by how much a version is assumed to do worse on requests that another answered badly.
	hardPenalty = 0.1
	// minTrialRatings is the number of ratings from which a version on trial may be ruled out,
	// trialConfidence by how many standard errors it must miss the target then.
	minTrialRatings = 10
	trialConfidence = 2.5
	// cautionInCredit is the caution while the class doesn't fall short of the target.
	cautionInCredit = -0.3
	// toleratedShortfall is the sum of missing quality, in answers that are worth nothing, that chance explains.
	toleratedShortfall = 2
	// repayOver is the number of requests over which a shortfall of quality is made up for.
	repayOver = 200
	// maxRepay bounds by how much the target is raised meanwhile.
	maxRepay = 0.1
)

// Choose picks the arm of a request. It returns false if there is nothing to choose from:
// no candidate that takes new requests, or a pin that isn't among the candidates.
func Choose(in Input) (Decision, bool) {
	in.prepare()
	if !in.Pin.IsZero() {
		return in.choosePinned()
	}
	if decision, ok := in.chooseTrial(); ok {
		return decision, true
	}
	arms := in.arms()
	if len(arms) == 0 {
		return Decision{}, false
	}
	target, inDebt := in.requiredQuality()
	chosen, reason := cheapest(arms, target, in.caution(inDebt))
	if explored, ok := in.explore(arms, chosen, target, inDebt); ok {
		return in.decide(explored, ReasonExploring), true
	}
	return in.decide(chosen, reason), true
}

func (in *Input) decide(a assessment, reason Reason) Decision {
	return Decision{Arm: a.arm, Reason: reason, EscalateBelow: in.Target, Cost: api.MicroUSD(a.price)}
}

func (in *Input) choosePinned() (Decision, bool) {
	for i := range in.Versions {
		if in.Versions[i].Version == in.Pin {
			return in.decide(in.straight(i), ReasonPinned), true
		}
	}
	return Decision{}, false
}

// chooseTrial gives each version on trial its share, unless its ratings rule it out.
func (in *Input) chooseTrial() (Decision, bool) {
	var draw float64
	drawn := false
	for i := range in.Versions {
		share := in.Versions[i].Share
		if share <= 0 || share >= 1 {
			continue
		}
		if !drawn {
			draw = in.Rand.Float64()
			drawn = true
		}
		if draw < share {
			return in.decide(in.straight(i), ReasonRollOut), !in.isRuledOut(i)
		}
		draw -= share
	}
	return Decision{}, false
}

// isRuledOut reports whether a version's own ratings, without any prior, say that it misses the target.
func (in *Input) isRuledOut(i int) bool {
	ratings := &in.facts[i].ratings
	if ratings.Ratings < minTrialRatings {
		return false
	}
	standardError := math.Sqrt((ratings.Variance + varianceFloor) / ratings.Ratings)
	return ratings.Mean+trialConfidence*standardError < float64(in.Target)
}

// requiredQuality returns the target, raised while the answers that the class's callers kept fall short of it.
func (in *Input) requiredQuality() (target float64, inDebt bool) {
	target = float64(in.Target)
	served := in.Estimates.FindServed(in.Service, in.Class)
	safety := math.Sqrt(served.Variance * served.Ratings)
	shortfall := served.Ratings*(target-served.Mean) + safety
	if served.Ratings == 0 || shortfall <= 0 {
		return target, false
	}
	return target + min(shortfall/repayOver, maxRepay), shortfall-safety > toleratedShortfall
}

// caution is how far below its mean, in parts of the confidence, an arm is judged: all of it while the class falls short
// of the target; while the class is above the target a mistake can be made up for, and arms in doubt are tried.
func (in *Input) caution(inDebt bool) float64 {
	if inDebt {
		return 1
	}
	return cautionInCredit
}

// cheapest returns the cheapest arm that meets the target as the caution asks, or else the arm of the highest mean.
func cheapest(arms []assessment, target, caution float64) (assessment, Reason) {
	best := -1
	for i := range arms {
		lower := arms[i].mean - caution*(arms[i].mean-arms[i].lower)
		if lower >= target && (best < 0 || arms[i].cost < arms[best].cost) {
			best = i
		}
	}
	if best >= 0 {
		return arms[best], ReasonCheapest
	}
	best = 0
	for i := range arms {
		if arms[i].mean > arms[best].mean {
			best = i
		}
	}
	return arms[best], ReasonBest
}

// explore returns, for a bounded part of the requests, an arm that costs less and might meet the target.
func (in *Input) explore(arms []assessment, chosen assessment, target float64, inDebt bool) (assessment, bool) {
	if in.Exploration <= 0 || in.Rand.Float64() >= in.Exploration {
		return assessment{}, false
	}
	var open []assessment
	for _, a := range arms {
		mightMeet := a.upper >= target && (!inDebt || a.mean >= target)
		if mightMeet && a.cost < chosen.cost {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		return assessment{}, false
	}
	return open[in.Rand.IntN(len(open))], true
}
