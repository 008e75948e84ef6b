package versionrollout

import (
	"math"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

const (
	// minFailures is the least number of failures on which a version is stopped, and minSlow that of slow answers: these come in
	// groups, from one server that is busy for a moment.
	minFailures = 4
	minSlow     = 14
	// falseAlarm bounds the chance that a version no worse than the others is stopped at one look; a roll-out has some hundred.
	falseAlarm = 1e-5
	// usualFailures and usualSlow are the shares that count as usual where the other versions had fewer; wellKnownFailures is that
	// where these gave wellKnown answers or more.
	usualFailures     = 0.03
	usualSlow         = 0.12
	wellKnownFailures = 0.01
	wellKnown         = 100
	// toleratedFailures and toleratedSlow multiply the other versions' shares; few servers take a target's first requests, so that
	// more of its answers wait for each other.
	toleratedFailures = 1.5
	toleratedSlow     = 2.5
)

// loadedRoute stands for the routes of all answers of a server that is being filled.
const loadedRoute = route.Name("under load")

// Counts are the answers of a version to requests of one route.
type Counts struct {
	Answers int
	// Failures counts those that failed, and Slow those that came far later than usual.
	Failures, Slow int
}

// add sums two counts.
func (c Counts) add(other Counts) Counts {
	return Counts{Answers: c.Answers + other.Answers, Failures: c.Failures + other.Failures, Slow: c.Slow + other.Slow}
}

// Evidence holds the counts of the target's answers and of the other versions', by route.
type Evidence struct {
	Target, Others map[route.Name]Counts
}

// NewEvidence returns evidence without counts.
func NewEvidence() Evidence {
	return Evidence{Target: make(map[route.Name]Counts), Others: make(map[route.Name]Counts)}
}

// Record counts an answer.
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

// Add sums in the evidence of another node.
func (e Evidence) Add(other Evidence) {
	add := func(to, from map[route.Name]Counts) {
		for name, c := range from {
			to[name] = to[name].add(c)
		}
	}
	add(e.Target, other.Target)
	add(e.Others, other.Others)
}

// IsTargetUnhealthy reports whether the target is worse than the other versions, on a route or over all, with few false alarms.
func (e Evidence) IsTargetUnhealthy() bool {
	var target, others Counts
	for _, c := range e.Others {
		others = others.add(c)
	}
	for name, c := range e.Target {
		usual, ok := e.Others[name]
		if !ok {
			usual = others
		}
		if isWorse(c, usual) {
			return true
		}
		target = target.add(c)
	}
	return isWorse(target, others)
}

// isWorse tests whether the target's failures or slow answers are more than the others' shares explain.
func isWorse(target, others Counts) bool {
	leastFailures := usualFailures
	if others.Answers >= wellKnown {
		leastFailures = wellKnownFailures
	}
	return target.Failures >= minFailures &&
		exceeds(target.Answers, target.Failures, usualShare(others.Answers, others.Failures, leastFailures, toleratedFailures)) ||
		target.Slow >= minSlow &&
			exceeds(target.Answers, target.Slow, usualShare(others.Answers, others.Slow, usualSlow, toleratedSlow))
}

// usualShare is the share of bad answers that the others' explain, at least least. One more bad answer than seen keeps a small sample
// from looking flawless.
func usualShare(answers, bad int, least, tolerated float64) float64 {
	if answers == 0 {
		return least
	}
	return max(least, tolerated*float64(bad+1)/float64(answers+1))
}

// exceeds tests by the binomial tail whether so many of the answers are bad where a share is usual.
func exceeds(answers, bad int, share float64) bool {
	return share < 1 && binomialTail(answers, bad, share) < falseAlarm
}

// binomialTail is the chance of at least k of n where each has chance p.
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
