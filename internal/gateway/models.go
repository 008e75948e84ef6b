package gateway

import (
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// ModelPolicy chooses among the models of a route, ordered from small to large.
type ModelPolicy interface {
	// First returns the index of the model that answers first.
	First(models []route.Model) int
	// Next returns the index of the model that is to answer instead of models[index], which gave an answer with the confidence (from 0 to
	// 100), or index itself to keep that answer. load is the utilization of the service's slots; it exceeds 1 where requests wait.
	Next(models []route.Model, index, confidence, priority int, load float64) int
}

// Cascade is a ModelPolicy that asks the smallest model first and the largest one if the first answer's confidence is too low.
type Cascade struct {
	// MinConfidence is the least confidence, from 0 to 100, with which an answer is kept, indexed by the request's priority; the last
	// entry also applies to all priorities after it.
	MinConfidence []int
}

// First implements ModelPolicy.
func (c Cascade) First([]route.Model) int { return 0 }

const (
	// Up to lowLoad the thresholds apply unchanged; between lowLoad and highLoad they fall linearly to minThresholdShare of their value.
	// A large model takes ten times a small one's share of a server, which delays all requests that wait there.
	lowLoad  = 0.3
	highLoad = 0.8
	// minThresholdShare is the fraction of a threshold that remains from highLoad on.
	minThresholdShare = 0.1
)

// Next implements ModelPolicy.
func (c Cascade) Next(models []route.Model, index, confidence, priority int, load float64) int {
	threshold := float64(c.MinConfidence[min(priority, len(c.MinConfidence)-1)])
	loadExcess := min(max((load-lowLoad)/(highLoad-lowLoad), 0), 1)
	if float64(confidence) >= threshold*(1-loadExcess*(1-minThresholdShare)) {
		return index
	}
	return len(models) - 1
}
