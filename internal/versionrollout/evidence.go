package versionrollout

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

const (
	// minFailures and minSlowAnswers are the least numbers of failures and of slow answers on which a version is stopped. Slow answers
	// come in groups, from one server that is busy for a moment, so that more of them are needed.
	minFailures    = 4
	minSlowAnswers = 14
	// maxFalseAlarm bounds the probability that one test stops a version that is no worse than the others; a roll-out makes some
	// hundred tests.
	maxFalseAlarm = 1e-5
	// baselineFailureShare and baselineSlowShare are the shares of failures and of slow answers that are expected of the target even if
	// the other versions had fewer. largeSampleFailureShare replaces baselineFailureShare once the other versions have given
	// largeSampleAnswers answers.
	baselineFailureShare    = 0.03
	baselineSlowShare       = 0.12
	largeSampleFailureShare = 0.01
	largeSampleAnswers      = 100
	// failureTolerance and slowTolerance multiply the other versions' shares: few servers take a target's first requests, so that more
	// of its answers wait for each other.
	failureTolerance = 1.5
	slowTolerance    = 2.5
)

const (
	// underLoadRoute replaces the route of answers of servers that run at least half of their slots, fillRoute that of other answers of a server that is
	// being filled, see FillShare.
	underLoadRoute = route.Name("under load")
	fillRoute      = route.Name("being filled")
	// minLoadedAnswers and minUsualAnswers are the answers of a target under load, and of one as usual, that show that it is healthy unless so many failures of
	// the ones, or so many slow ones of the others, are less probable than minHealthy.
	minLoadedAnswers = 8
	minUsualAnswers  = 16
	minHealthy       = 0.05
	// healthySlowShare is the share of slow answers that a healthy target may have even if the other versions had fewer.
	healthySlowShare = 0.05
	// loadedPart is the part of its slots from which on a server is under load.
	loadedPart = 0.5
	// minFillAnswers and minFillTime are the answers of servers that are being filled, and the time for which they are, from which on their load won't rise much
	// further at the present traffic. A target whose servers then ran at most the part unloadedPart of their slots won't come under load.
	minFillAnswers = 40
	minFillTime    = 2 * time.Second
	unloadedPart   = 1.0 / 3
)

// Counts holds the numbers of answers to requests on one route.
type Counts struct {
	Answers int
	// Failures counts the answers that failed, Slow those that took far longer than usual.
	Failures, Slow int
}

// add returns the sum of two counts.
func (c Counts) add(other Counts) Counts {
	return Counts{Answers: c.Answers + other.Answers, Failures: c.Failures + other.Failures, Slow: c.Slow + other.Slow}
}

// Evidence holds the counts of the target's answers and of those of all other versions, by route.
type Evidence struct {
	Target, Others map[route.Name]Counts
}

// NewEvidence returns evidence without counts.
func NewEvidence() Evidence {
	return Evidence{Target: make(map[route.Name]Counts), Others: make(map[route.Name]Counts)}
}

// Record counts one answer.
func (e Evidence) Record(isTarget bool, name route.Name, isFailure, isSlow bool) {
	counts := e.Others
	if isTarget {
		counts = e.Target
	}
	c := counts[name]
	c.Answers++
	if isFailure {
		c.Failures++
	}
	if isSlow {
		c.Slow++
	}
	counts[name] = c
}

// Add adds the counts of other to e.
func (e Evidence) Add(other Evidence) {
	add := func(to, from map[route.Name]Counts) {
		for name, c := range from {
			to[name] = to[name].add(c)
		}
	}
	add(e.Target, other.Target)
	add(e.Others, other.Others)
}

// answers returns the numbers of the target's answers and of those of all other versions.
func (e Evidence) answers() (target, others int) {
	for _, c := range e.Target {
		target += c.Answers
	}
	for _, c := range e.Others {
		others += c.Answers
	}
	return target, others
}

// IsTargetUnhealthy reports whether the target is significantly worse than the other versions, on one route or over all routes.
func (e Evidence) IsTargetUnhealthy() bool {
	var target, others Counts
	for _, c := range e.Others {
		others = others.add(c)
	}
	for name, c := range e.Target {
		baseline, ok := e.Others[name]
		if !ok {
			baseline = others
		}
		if isWorse(c, baseline) {
			return true
		}
		target = target.add(c)
	}
	return isWorse(target, others)
}

// IsTargetHealthy reports whether the target's answers suffice to expect none worse once it gets all requests. filledFor is the time for which its servers have
// been filled, peakLoad the largest part of its slots that one of them has run.
func (e Evidence) IsTargetHealthy(filledFor time.Duration, peakLoad float64) bool {
	loaded, filled, usual := e.Target[underLoadRoute], e.Target[fillRoute], Counts{}
	for name, c := range e.Target {
		if name != underLoadRoute && name != fillRoute {
			usual = usual.add(c)
		}
	}
	isLoadReached := loaded.Answers >= minLoadedAnswers ||
		peakLoad <= unloadedPart && filledFor >= minFillTime && filled.Answers+loaded.Answers >= minFillAnswers
	others := Counts{}
	for _, c := range e.Others {
		others = others.add(c)
	}
	failing := expectedShare(others.Answers, others.Failures, baselineFailureShare, failureTolerance)
	slow := expectedShare(others.Answers, others.Slow, healthySlowShare, slowTolerance)
	return isLoadReached && usual.Answers >= minUsualAnswers &&
		isProbable(loaded.Answers, loaded.Failures, failing) && isProbable(usual.Answers, usual.Slow, slow)
}

// isProbable reports whether the number of bad answers may well be chance, if share is expected.
func isProbable(answers, bad int, share float64) bool {
	return share >= 1 || binomialTail(answers, bad, share) >= minHealthy
}

// isWorse reports whether the target has significantly more failures or slow answers than the other versions' shares let expect.
func isWorse(target, others Counts) bool {
	minFailureShare := baselineFailureShare
	if others.Answers >= largeSampleAnswers {
		minFailureShare = largeSampleFailureShare
	}
	return target.Failures >= minFailures &&
		exceeds(target.Answers, target.Failures, expectedShare(others.Answers, others.Failures, minFailureShare, failureTolerance)) ||
		target.Slow >= minSlowAnswers &&
			exceeds(target.Answers, target.Slow, expectedShare(others.Answers, others.Slow, baselineSlowShare, slowTolerance))
}

// expectedShare returns the share of bad answers that is expected of the target, given the other versions' counts; it is at least
// minShare. One bad answer is added to the counts, so that a small sample does not look flawless.
func expectedShare(answers, bad int, minShare, tolerated float64) float64 {
	if answers == 0 {
		return minShare
	}
	return max(minShare, tolerated*float64(bad+1)/float64(answers+1))
}

// exceeds reports whether the number of bad answers is too large to be chance, by the binomial tail, if share is expected.
func exceeds(answers, bad int, share float64) bool {
	return share < 1 && binomialTail(answers, bad, share) < maxFalseAlarm
}

// binomialTail returns the probability of at least k successes in n trials with success probability p.
func binomialTail(n, k int, p float64) float64 {
	tail := 0.0
	logN, _ := math.Lgamma(float64(n + 1))
	for i := k; i <= n; i++ {
		logI, _ := math.Lgamma(float64(i + 1))
		logRest, _ := math.Lgamma(float64(n - i + 1))
		tail += math.Exp(logN - logI - logRest + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
	}
	return tail
}
