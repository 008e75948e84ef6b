package versionrollout

import (
	"sort"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

const (
	// paceSamples is the number of the newest answers of other versions whose median is the usual pace of a route.
	paceSamples = 41
	// minPaceSamples is the least number of samples of a route on which an answer can count as slow.
	minPaceSamples = 5
	// slowFactor is the multiple of the usual pace from which on an answer counts as slow.
	slowFactor = 4
)

// paces estimates the usual pace of answers, by route. Pace is an answer's duration in seconds per unit of work, see Pace.
type paces struct {
	routes map[route.Name]*paceRing
}

// paceRing is a ring buffer of the newest paces of a route.
type paceRing struct {
	// samples holds seconds per unit of work.
	samples [paceSamples]float64
	count   int
}

// add records the pace of an answer of another version than the target.
func (p *paces) add(name route.Name, pace float64) {
	ring, ok := p.routes[name]
	if !ok {
		ring = &paceRing{}
		p.routes[name] = ring
	}
	ring.samples[ring.count%paceSamples] = pace
	ring.count++
}

// slowPace returns the pace from which on an answer counts as slow; 0 if there are too few samples.
func (p *paces) slowPace(name route.Name) float64 {
	ring, ok := p.routes[name]
	if !ok || ring.count < minPaceSamples {
		return 0
	}
	sorted := append([]float64(nil), ring.samples[:min(ring.count, paceSamples)]...)
	sort.Float64s(sorted)
	return slowFactor * sorted[len(sorted)/2]
}

// isSlow reports whether an answer with this pace counts as slow.
func (p *paces) isSlow(name route.Name, pace float64) bool {
	slow := p.slowPace(name)
	return slow > 0 && pace >= slow
}

// Pace returns an answer's duration in seconds per unit of work, which makes answers of different sizes comparable: the duration grows
// with the tokens of the prompt and with the events of the answer, of which the latter take several times longer.
func Pace(took time.Duration, tokensIn, events int) float64 {
	return took.Seconds() / workUnits(tokensIn, events)
}

// DurationAtPace returns how long an answer of the given size takes at a pace; it is the inverse of Pace.
func DurationAtPace(pace float64, tokensIn, events int) time.Duration {
	return time.Duration(pace * workUnits(tokensIn, events) * float64(time.Second))
}

// workUnits returns the size of an answer in units of work.
func workUnits(tokensIn, events int) float64 {
	const (
		// baseSize, tokensPerUnit and unitsPerEvent weigh a request's fixed part, its prompt and its events so that a unit of each takes
		// about the same time.
		baseSize      = 1.0
		tokensPerUnit = 1000.0
		unitsPerEvent = 1.0
	)
	return baseSize + float64(tokensIn)/tokensPerUnit + unitsPerEvent*float64(events)
}
