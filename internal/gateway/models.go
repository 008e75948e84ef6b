package gateway

import (
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// ModelPolicy chooses among the models of a route, ordered from small to large.
type ModelPolicy interface {
	// First returns the index of the model of a request's first run.
	First(models []route.Model) int
	// Next returns the index of the model that is to answer instead of one with a confidence, or the same index to keep its answer.
	Next(models []route.Model, index, confidence, priority int) int
}

// Cascade asks a small model first and a larger one where the small one doubts its answer.
type Cascade struct {
	// MinConfidence is the least confidence, from 0 to 100, with which an answer is kept, by the request's priority; the last holds
	// for all later ones.
	MinConfidence []int
}

// First implements ModelPolicy.
func (c Cascade) First([]route.Model) int { return 0 }

// Next implements ModelPolicy.
func (c Cascade) Next(models []route.Model, index, confidence, priority int) int {
	if confidence >= c.MinConfidence[min(priority, len(c.MinConfidence)-1)] {
		return index
	}
	return len(models) - 1
}
