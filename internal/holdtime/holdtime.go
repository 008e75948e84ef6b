// Package holdtime estimates how long a request will hold its place at a server, which the admission counts as its cost before
// the request runs, and how long a slow one takes, which must be left before its deadline. It does no I/O and holds no clock.
package holdtime

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Request is what is known of a request before it runs.
type Request struct {
	Class  api.Class
	Prompt api.Tokens
	// MaxAnswer bounds the answer; 0 if it is not bounded.
	MaxAnswer api.Tokens
}

// CostEstimator learns from the requests of one service. It isn't safe for concurrent use.
//
// The time that a request holds its place is no measure of its cost against another's: it holds the wait at the server, which
// is alike for short and long ones, and depends on the server. So requests are weighed by their tokens, and the sum of the
// times is learnt over all of them.
type CostEstimator struct {
	// answers holds the mean length of each class's answers.
	answers map[api.Class]*mean
	// held is the mean time in seconds that requests held their places, weight their mean weight.
	held, weight mean
}

// mean is an average over all values, and later over the latest.
type mean struct {
	// value is assumed until the first is added.
	value float64
	count int
}

func (m *mean) add(value float64) {
	m.count++
	m.value += max(learnRate, 1/float64(m.count)) * (value - m.value)
}

const (
	// promptWeight is the weight of a token of the prompt against one of the answer: engines read prompts so much faster.
	promptWeight = 0.01
	// learnRate is the least weight of the newest request. Costs are compared between nodes, so they should vary little.
	learnRate = 0.01
	// defaultAnswer is the number of tokens that is expected before any request was seen.
	defaultAnswer = 40
	// maxClasses bounds the classes; over it, any is forgotten.
	maxClasses = 1024
)

// New returns estimates that know nothing.
func New() *CostEstimator {
	return &CostEstimator{
		answers: map[api.Class]*mean{}, held: mean{value: defaultHold.Seconds()}, weight: mean{value: defaultAnswer},
	}
}

// Cost returns the time that a request is expected to hold its place.
func (e *CostEstimator) Cost(r Request) time.Duration {
	answer := float64(defaultAnswer)
	if m, ok := e.answers[r.Class]; ok {
		answer = m.value
	}
	if r.MaxAnswer > 0 {
		answer = min(answer, float64(r.MaxAnswer))
	}
	return e.CostWithAnswer(r, answer)
}

// CostWithAnswer returns what Cost would have returned, had the length of the answer been known as Observe takes it.
func (e *CostEstimator) CostWithAnswer(r Request, answer float64) time.Duration {
	return time.Duration(weigh(r.Prompt, answer) * e.held.value / e.weight.value * float64(time.Second))
}

// Observe takes in the length of a whole answer in tokens of a version of usual speed, 0 for a plain call, and the time that
// its request held its place.
func (e *CostEstimator) Observe(r Request, answer float64, held time.Duration) {
	weight := weigh(r.Prompt, answer)
	if e.weight.count == 0 {
		// What was assumed counts as one request like the first.
		e.held.add(weight * defaultHold.Seconds() / defaultAnswer)
		e.weight.add(weight)
	}
	e.held.add(held.Seconds())
	e.weight.add(weight)
	m, ok := e.answers[r.Class]
	if !ok {
		e.makeRoom()
		m = &mean{}
		e.answers[r.Class] = m
	}
	m.add(answer)
}

func (e *CostEstimator) makeRoom() {
	for class := range e.answers {
		if len(e.answers) < maxClasses {
			return
		}
		delete(e.answers, class)
	}
}

// weigh returns the weight of a request in tokens of an answer. A plain call weighs as much as one.
func weigh(prompt api.Tokens, answer float64) float64 {
	return max(answer+promptWeight*float64(prompt), 1)
}
