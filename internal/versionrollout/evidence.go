package versionrollout

import (
	"math"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

const (
	// minBad is the least number of bad answers on which a version is stopped.
	minBad = 4
	// falseAlarm bounds the chance that a version no worse than the others is stopped at one look; a roll-out has some hundred.
	falseAlarm = 1e-5
	// usualBad is the share of bad answers that counts as usual where the other versions had fewer.
	usualBad = 0.03
	// tolerated multiplies the other versions' share of bad answers.
	tolerated = 1.5
)

// Counts are the answers of a version to requests of one route.
type Counts struct {
	Answers int
	// Bad counts those that failed or came far later than usual.
	Bad int
}

// Evidence holds the counts of the target's answers and of the other versions', by route.
type Evidence struct {
	Target, Others map[route.Name]Counts
}

// NewEvidence returns evidence without counts.
func NewEvidence() Evidence {
	return Evidence{Target: make(map[route.Name]Counts), Others: make(map[route.Name]Counts)}
}

// Note counts an answer.
func (e Evidence) Note(isTarget bool, name route.Name, isBad bool) {
	counts := e.Others
	if isTarget {
		counts = e.Target
	}
	c := counts[name]
	c.Answers++
	if isBad {
		c.Bad++
	}
	counts[name] = c
}

// Add sums in the evidence of another node.
func (e Evidence) Add(other Evidence) {
	add := func(to, from map[route.Name]Counts) {
		for name, c := range from {
			sum := to[name]
			to[name] = Counts{Answers: sum.Answers + c.Answers, Bad: sum.Bad + c.Bad}
		}
	}
	add(e.Target, other.Target)
	add(e.Others, other.Others)
}

// IsBad reports whether the target is worse than the other versions, on a route or over all, with few false alarms.
func (e Evidence) IsBad() bool {
	var target, others Counts
	for name, c := range e.Target {
		if isWorse(c, e.Others[name]) {
			return true
		}
		target = Counts{Answers: target.Answers + c.Answers, Bad: target.Bad + c.Bad}
	}
	for _, c := range e.Others {
		others = Counts{Answers: others.Answers + c.Answers, Bad: others.Bad + c.Bad}
	}
	return isWorse(target, others)
}

// isWorse tests by the binomial tail whether the target's bad answers are more than the others' share explains.
func isWorse(target, others Counts) bool {
	if target.Bad < minBad {
		return false
	}
	usual := usualBad
	if others.Answers > 0 {
		// One more bad answer than seen keeps a small sample from looking flawless.
		usual = max(usual, tolerated*float64(others.Bad+1)/float64(others.Answers+1))
	}
	if usual >= 1 {
		return false
	}
	return binomialTail(target.Answers, target.Bad, usual) < falseAlarm
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
