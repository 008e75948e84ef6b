package versionrollout

import (
	"sort"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

const (
	// paceSamples is how many answers of the other versions the usual pace of a route is taken from.
	paceSamples = 41
	// minPaceSamples is the least number on which an answer is called slow.
	minPaceSamples = 9
	// slowFactor is how many times the usual pace an answer takes to be called slow.
	slowFactor = 4
)

// paces learns how long the answers of a route usually take for their size.
type paces struct {
	routes map[route.Name]*paceRing
}

type paceRing struct {
	// samples holds seconds per unit of size, the newest paceSamples of them.
	samples [paceSamples]float64
	count   int
}

// note takes in an answer of the other versions.
func (p *paces) note(name route.Name, pace float64) {
	ring, ok := p.routes[name]
	if !ok {
		ring = &paceRing{}
		p.routes[name] = ring
	}
	ring.samples[ring.count%paceSamples] = pace
	ring.count++
}

// slowPace returns the pace from which on an answer is called slow, 0 if too little is known.
func (p *paces) slowPace(name route.Name) float64 {
	ring, ok := p.routes[name]
	if !ok || ring.count < minPaceSamples {
		return 0
	}
	known := append([]float64(nil), ring.samples[:min(ring.count, paceSamples)]...)
	sort.Float64s(known)
	return slowFactor * known[len(known)/2]
}

// isSlow reports whether an answer took far longer than usual.
func (p *paces) isSlow(name route.Name, pace float64) bool {
	slow := p.slowPace(name)
	return slow > 0 && pace >= slow
}

// Pace is an answer's time in seconds for its size: the time of an answer grows with the tokens read and with the events made, of
// which the latter take several times longer.
func Pace(took time.Duration, tokensIn, events int) float64 {
	return took.Seconds() / size(tokensIn, events)
}

// DurationAtPace is the time of an answer of a pace.
func DurationAtPace(pace float64, tokensIn, events int) time.Duration {
	return time.Duration(pace * size(tokensIn, events) * float64(time.Second))
}

func size(tokensIn, events int) float64 {
	const (
		// baseSize, tokensPerUnit and unitsPerEvent weigh a request's fixed part, its prompt and its events alike in time.
		baseSize      = 1.0
		tokensPerUnit = 1000.0
		unitsPerEvent = 1.0
	)
	return baseSize + float64(tokensIn)/tokensPerUnit + unitsPerEvent*float64(events)
}
