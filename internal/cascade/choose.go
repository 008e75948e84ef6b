package cascade

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// EligibleVersion is a version that may answer a request: it is allowed, loaded and not withdrawn.
type EligibleVersion struct {
	Version api.VersionID
	// PromptCost and AnswerCost are the prices per thousand tokens.
	PromptCost, AnswerCost api.MicroUSD
	// Share is the largest fraction of new requests that the version may receive, from 0 to 1.
	// Below 1 the version is in its roll-out: it gets its share whatever the other versions cost, unless its ratings are
	// bad, and isn't chosen for other requests. At 0 it serves only pinned sessions.
	Share float64
	// Prior is the quality assumed before any rating; 0 if unknown.
	Prior api.Quality
	// Latency is the expected time until the answer is complete.
	Latency time.Duration
}

// Input holds everything that Choose uses to select an arm.
type Input struct {
	Service api.Service
	Class   api.Class
	// Versions lists every version that may be chosen, without repeats.
	Versions []EligibleVersion
	// Pin is the version to which the request's session is pinned; zero if it isn't pinned.
	Pin api.VersionID
	// Target is the mean quality that the answers of the class must reach.
	Target api.Quality
	// Exploration is the largest fraction of requests used to explore arms, from 0 to 1.
	Exploration float64
	// Cascade allows cascades.
	Cascade bool
	// Timeout is how long the caller waits for the answer; the expected latency of a cascade must fit into it.
	// 0 means no timeout.
	Timeout time.Duration
	// CostPerSecond is the cost of a second of the caller's waiting time.
	CostPerSecond api.MicroUSD
	// PromptTokens and AnswerTokens are the expected size of the request.
	PromptTokens, AnswerTokens api.Tokens
	// RatedInTimeShare is the fraction of first answers that are rated early enough to escalate, from 0 to 1.
	RatedInTimeShare float64
	// RatingTimeout is how long a cascade waits for the rating of its first answer.
	RatingTimeout time.Duration
	// Estimates holds the estimates from ratings; nil means no ratings.
	Estimates *Estimates
	Rand      *rand.Rand

	// confidence is the width of the confidence bounds in standard errors, stats holds the estimates for each of Versions.
	// Both are set by Choose.
	confidence float64
	stats      []versionStats
}

// Reason is why an arm was chosen.
type Reason string

// Reasons of choices.
const (
	// ReasonPinned means that the session is pinned to the version.
	ReasonPinned Reason = "Pinned"
	// ReasonRollOut means that the version is in its roll-out and the request is part of its share.
	ReasonRollOut Reason = "Trial"
	// ReasonCheapest means that the arm is the cheapest that meets the target: by its lower confidence bound while the
	// answers of the class fall short of the target, and by a less strict bound otherwise.
	ReasonCheapest Reason = "Cheapest"
	// ReasonBest means that no arm meets the target and that this one has the highest expected quality.
	ReasonBest Reason = "Best"
	// ReasonExploring means that the arm was chosen for exploration: it might meet the target at a lower cost.
	ReasonExploring Reason = "Exploring"
)

// Decision is the result of Choose.
type Decision struct {
	// Arm contains only versions in Input.Versions.
	Arm    Arm
	Reason Reason
	// EscalateBelow is the rating below which the first answer of a cascade is escalated.
	EscalateBelow api.Quality
	// Cost is the expected price of the request.
	Cost api.MicroUSD
}

const (
	// priorRatings is the weight of a prior, in ratings.
	priorRatings = 20
	// defaultPrior is the prior of a version whose Prior is 0.
	defaultPrior = 0.5
	// priorVariance is the variance assumed before any rating.
	priorVariance = 0.03
	// escalationPenalty is the assumed loss of quality of a version on requests that another version answered badly.
	escalationPenalty = 0.1
	// minCandidateRatings is the least number of ratings at which a candidate version may be ruled out,
	// candidateConfidence the number of standard errors by which its mean rating must then miss the target.
	minCandidateRatings = 10
	candidateConfidence = 2.5
	// cautionAboveTarget is the value of caution while the class doesn't fall short of the target.
	cautionAboveTarget = -0.3
	// toleratedShortfall is the total shortfall of quality that is attributed to chance, in answers of quality 0 where 1
	// was required.
	toleratedShortfall = 2
	// shortfallRecoveryRequests is the number of requests over which a shortfall of quality is compensated.
	shortfallRecoveryRequests = 200
	// maxTargetIncrease is the most by which the target is raised to compensate a shortfall.
	maxTargetIncrease = 0.1
)

// Choose selects the arm for a request. It returns false if there is none: no version in Versions takes new requests,
// or Pin isn't one of them.
func Choose(in Input) (Decision, bool) {
	in.computeStats()
	if !in.Pin.IsZero() {
		return in.choosePinned()
	}
	if decision, ok := in.chooseRollOut(); ok {
		return decision, true
	}
	arms := in.assessArms()
	if len(arms) == 0 {
		return Decision{}, false
	}
	target, fallsShort := in.requiredQuality()
	chosen, reason := cheapest(arms, target, in.caution(fallsShort))
	if explored, ok := in.explore(arms, chosen, target, fallsShort); ok {
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
			return in.decide(in.assessSingle(i), ReasonPinned), true
		}
	}
	return Decision{}, false
}

// chooseRollOut selects each candidate version for its share of the requests, unless its ratings rule it out.
func (in *Input) chooseRollOut() (Decision, bool) {
	var draw float64
	isDrawn := false
	for i := range in.Versions {
		share := in.Versions[i].Share
		if share <= 0 || share >= 1 {
			continue
		}
		if !isDrawn {
			draw = in.Rand.Float64()
			isDrawn = true
		}
		if draw < share {
			return in.decide(in.assessSingle(i), ReasonRollOut), !in.isRuledOut(i)
		}
		draw -= share
	}
	return Decision{}, false
}

// isRuledOut reports whether a version's ratings, without a prior, show that it misses the target.
func (in *Input) isRuledOut(i int) bool {
	estimate := &in.stats[i].estimate
	if estimate.Ratings < minCandidateRatings {
		return false
	}
	standardError := math.Sqrt((estimate.Variance + varianceFloor) / estimate.Ratings)
	return estimate.Mean+candidateConfidence*standardError < float64(in.Target)
}

// requiredQuality returns the target, raised while the answers that the class's callers kept fall short of it.
// fallsShort is true if the shortfall is too large to be attributed to chance.
func (in *Input) requiredQuality() (target float64, fallsShort bool) {
	target = float64(in.Target)
	served := in.Estimates.FindServed(in.Service, in.Class)
	safety := math.Sqrt(served.Variance * served.Ratings)
	shortfall := served.Ratings*(target-served.Mean) + safety
	if served.Ratings == 0 || shortfall <= 0 {
		return target, false
	}
	return target + min(shortfall/shortfallRecoveryRequests, maxTargetIncrease), shortfall-safety > toleratedShortfall
}

// caution returns the fraction of the confidence margin that is subtracted from an arm's mean quality before the comparison
// with the target. It is 1 while the class falls short of the target. Otherwise it is negative, so that uncertain arms are
// tried, since a mistake can then be compensated.
func (in *Input) caution(fallsShort bool) float64 {
	if fallsShort {
		return 1
	}
	return cautionAboveTarget
}

// cheapest returns the cheapest arm whose quality, lowered by caution, meets the target, or else the arm with the highest
// mean quality.
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

// explore returns, for a fraction of the requests given by Exploration, a random arm that costs less than the chosen one
// and might meet the target.
func (in *Input) explore(arms []assessment, chosen assessment, target float64, fallsShort bool) (assessment, bool) {
	if in.Exploration <= 0 || in.Rand.Float64() >= in.Exploration {
		return assessment{}, false
	}
	var options []assessment
	for _, a := range arms {
		mightMeet := a.upper >= target && (!fallsShort || a.mean >= target)
		if mightMeet && a.cost < chosen.cost {
			options = append(options, a)
		}
	}
	if len(options) == 0 {
		return assessment{}, false
	}
	return options[in.Rand.IntN(len(options))], true
}
