package gateway

import (
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// ModelPolicy chooses among the models of a route, ordered from small to large.
type ModelPolicy interface {
	// First returns the index of the model of a request's first run.
	First(models []route.Model) int
	// Next returns the index of the model that is to answer instead of one with a confidence, or the same index to keep its answer. load
	// is the part of the service's slots that are taken, from 0 to 1 and beyond.
	Next(models []route.Model, index, confidence, priority int, load float64) int
}

// Cascade asks a small model first and a larger one where the small one doubts its answer.
type Cascade struct {
	// MinConfidence is the least confidence, from 0 to 100, with which an answer is kept, by the request's priority; the last holds
	// for all later ones.
	MinConfidence []int
}

// First implements ModelPolicy.
func (c Cascade) First([]route.Model) int { return 0 }

const (
	// calmLoad is the load up to which the thresholds hold as they are, fullLoad that from which only the least of them is asked for:
	// a large model takes ten times a small one's share of a server, at the cost of all who wait there.
	calmLoad = 0.3
	fullLoad = 0.8
	// leastShare is the part of a threshold that holds under full load.
	leastShare = 0.1
)

// Next implements ModelPolicy.
func (c Cascade) Next(models []route.Model, index, confidence, priority int, load float64) int {
	threshold := float64(c.MinConfidence[min(priority, len(c.MinConfidence)-1)])
	strain := min(max((load-calmLoad)/(fullLoad-calmLoad), 0), 1)
	if float64(confidence) >= threshold*(1-strain*(1-leastShare)) {
		return index
	}
	return len(models) - 1
}
