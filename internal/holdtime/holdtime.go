// Package holdtime estimates how long requests occupy a slot of a server. Admission control charges the expected time as a request's cost
// before it runs, and requires an upper bound of the time to be left before its deadline. The package does no I/O and uses no clock.
package holdtime

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Request holds the properties of a request that are known before it runs.
type Request struct {
	Class  api.Class
	Prompt api.Tokens
	// MaxAnswer is the maximum length of the answer; 0 if there is none.
	MaxAnswer api.Tokens
}

// CostEstimator estimates the cost of the requests of one service. It isn't safe for concurrent use.
//
// A request's own slot time doesn't measure its cost relative to other requests: it includes the wait at the server, which is the same
// for short and long requests, and depends on the server. Requests are therefore weighted by their tokens, and the slot time per weight
// is averaged over all requests.
type CostEstimator struct {
	// answerTokens holds the mean length of the answers of each class.
	answerTokens map[api.Class]*mean
	// slotSeconds is the mean slot time of requests in seconds, weight their mean weight.
	slotSeconds, weight mean
}

// mean is the average of all values at first, and later a moving average.
type mean struct {
	// value is the default until the first value is added.
	value float64
	count int
}

func (m *mean) add(value float64) {
	m.count++
	m.value += max(minLearningRate, 1/float64(m.count)) * (value - m.value)
}

const (
	// promptTokenWeight is the weight of a prompt token relative to an answer token: engines read prompts that much faster.
	promptTokenWeight = 0.01
	// minLearningRate is the minimum weight of the newest request. Costs are compared between nodes, so they should vary little.
	minLearningRate = 0.01
	// defaultAnswerTokens is the expected length of an answer before the first request is observed.
	defaultAnswerTokens = 40
	// maxClasses bounds the number of classes; above it, arbitrary ones are evicted.
	maxClasses = 1024
)

// New returns an estimator without observations.
func New() *CostEstimator {
	return &CostEstimator{
		answerTokens: map[api.Class]*mean{}, slotSeconds: mean{value: defaultSlotTime.Seconds()}, weight: mean{value: defaultAnswerTokens},
	}
}

// Cost returns the expected slot time of a request.
func (e *CostEstimator) Cost(r Request) time.Duration {
	answer := float64(defaultAnswerTokens)
	if m, ok := e.answerTokens[r.Class]; ok {
		answer = m.value
	}
	if r.MaxAnswer > 0 {
		answer = min(answer, float64(r.MaxAnswer))
	}
	return e.CostWithAnswer(r, answer)
}

// CostWithAnswer returns the cost of a request whose answer has the given length, in the unit of Observe.
func (e *CostEstimator) CostWithAnswer(r Request, answer float64) time.Duration {
	return time.Duration(weigh(r.Prompt, answer) * e.slotSeconds.value / e.weight.value * float64(time.Second))
}

// Observe records a completed request: the length of its answer in tokens of a version of usual speed, 0 for a plain call, and its
// slot time.
func (e *CostEstimator) Observe(r Request, answer float64, slotTime time.Duration) {
	weight := weigh(r.Prompt, answer)
	if e.weight.count == 0 {
		// The default counts as one request of the same weight as the first.
		e.slotSeconds.add(weight * defaultSlotTime.Seconds() / defaultAnswerTokens)
		e.weight.add(weight)
	}
	e.slotSeconds.add(slotTime.Seconds())
	e.weight.add(weight)
	classAnswers, ok := e.answerTokens[r.Class]
	if !ok {
		e.evictClasses()
		classAnswers = &mean{}
		e.answerTokens[r.Class] = classAnswers
	}
	classAnswers.add(answer)
}

func (e *CostEstimator) evictClasses() {
	for class := range e.answerTokens {
		if len(e.answerTokens) < maxClasses {
			return
		}
		delete(e.answerTokens, class)
	}
}

// weigh returns the weight of a request in answer tokens. A plain call has the weight of one token.
func weigh(prompt api.Tokens, answer float64) float64 {
	return max(answer+promptTokenWeight*float64(prompt), 1)
}
