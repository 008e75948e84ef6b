// Package serverpace learns how long the servers of a service take for what requests ask of them, from the answers that this node gets. Its types do
// no I/O and read no clock.
package serverpace

import (
	"math"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/workload"
)

const (
	// priorTokenTime and priorBase are the time per prompt token, at a model of usual price, and the time of an empty prompt that are assumed before
	// the first answer; priorWeight is how many answers that outweighs.
	priorTokenTime = 20 * time.Microsecond
	priorBase      = 30 * time.Millisecond
	priorWeight    = 3
	// priorPromptTokens is the length of the prompts of these assumed answers.
	priorPromptTokens = 5000
	// evenTokens is the length of a prompt up to which an error of a given time counts the same; for longer ones it is the relative error.
	evenTokens = 1000
	// readingMemory is the number of answers after which earlier ones have lost half of their weight.
	readingMemory = 400
	// maxSurprise bounds an answer's time in multiples of the expected one, since others may have delayed it.
	maxSurprise = 3
	// maxAhead is the part of an answer's own work up to which other work at the server makes it no less comparable.
	maxAhead = 0.5
	// maxTokenTimeRatio bounds the learnt time per token in multiples of the assumed one, and of its inverse.
	maxTokenTimeRatio = 20
)

// Reading estimates how long a usual server takes to read prompts, by model. It is safe for concurrent use; the zero value is ready.
type Reading struct {
	mu     sync.Mutex
	models map[modelKey]*line
}

type modelKey struct {
	service route.Service
	model   route.Model
}

// line is a weighted least-squares fit of the time to the first event over the number of prompt tokens, in nanoseconds.
type line struct {
	prior float64
	// sums over the answers: their weights, and the weighted tokens, squared tokens, times, and tokens times times.
	weight, tokens, squares, times, products float64
}

// PriorRatio returns how many times as long as for a model of usual price a prompt is assumed to take.
func PriorRatio(engine *route.Engine, model route.Model) float64 {
	cost, ok := engine.Cost[model]
	if !ok || cost <= 0 {
		return 1
	}
	logs, count := 0.0, 0
	for _, other := range engine.Cost {
		if other > 0 {
			logs += math.Log(other)
			count++
		}
	}
	return cost / math.Exp(logs/float64(count))
}

// TokenWork returns the work that a usual server does to read a prompt token, in nanoseconds.
func (r *Reading) TokenWork(service *route.ServiceInfo, model route.Model) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokenTime, _ := r.of(service, model).fit()
	return tokenTime
}

// UsualWork returns the work of a number of prompt tokens for the mean of the service's models.
func (r *Reading) UsualWork(service *route.ServiceInfo, tokens int) workload.Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	logs, count := 0.0, 0
	for model, cost := range service.Engine.Cost {
		if cost > 0 {
			tokenTime, _ := r.of(service, model).fit()
			logs += math.Log(tokenTime)
			count++
		}
	}
	if count == 0 {
		return workload.Work(tokens) * workload.Work(priorTokenTime)
	}
	return workload.Work(math.Exp(logs/float64(count)) * float64(tokens))
}

// FirstEvent returns the time that a usual server without other work takes to the first event of an answer.
func (r *Reading) FirstEvent(service *route.ServiceInfo, model route.Model, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokenTime, base := r.of(service, model).fit()
	return time.Duration(base + tokenTime*float64(max(tokens, 0)))
}

// Observe records the time to the first event of an answer for which the server had the tokens to read, and other work ahead of them.
func (r *Reading) Observe(service *route.ServiceInfo, model route.Model, tokens int, ahead workload.Work, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.of(service, model)
	tokenTime, base := l.fit()
	expected := base + tokenTime*float64(tokens)
	if float64(ahead) > maxAhead*expected {
		return
	}
	l.add(float64(tokens), min(float64(took), maxSurprise*expected))
}

// of returns the line of a model; the caller holds r.mu.
func (r *Reading) of(service *route.ServiceInfo, model route.Model) *line {
	key := modelKey{service: service.Name, model: model}
	l, ok := r.models[key]
	if ok {
		return l
	}
	l = &line{prior: float64(priorTokenTime)}
	if service.Engine != nil {
		l.prior *= PriorRatio(service.Engine, model)
	}
	for range priorWeight {
		l.add(0, float64(priorBase))
		l.add(priorPromptTokens, float64(priorBase)+priorPromptTokens*l.prior)
	}
	if r.models == nil {
		r.models = make(map[modelKey]*line)
	}
	r.models[key] = l
	return l
}

// add adds an answer, and reduces the weight of earlier ones.
func (l *line) add(tokens, took float64) {
	const keep = 1 - math.Ln2/readingMemory
	weight := 1 / (1 + tokens/evenTokens) / (1 + tokens/evenTokens)
	l.weight = keep*l.weight + weight
	l.tokens = keep*l.tokens + weight*tokens
	l.squares = keep*l.squares + weight*tokens*tokens
	l.times = keep*l.times + weight*took
	l.products = keep*l.products + weight*tokens*took
}

// fit returns the time per token and that of an empty prompt.
func (l *line) fit() (tokenTime, base float64) {
	tokenTime = l.prior
	if spread := l.weight*l.squares - l.tokens*l.tokens; spread > 0 {
		tokenTime = (l.weight*l.products - l.tokens*l.times) / spread
	}
	tokenTime = min(max(tokenTime, l.prior/maxTokenTimeRatio), l.prior*maxTokenTimeRatio)
	return tokenTime, max(0, (l.times-tokenTime*l.tokens)/l.weight)
}
