package serverpace

import (
	"math"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

// Writing estimates the usual time between the events of an answer, by model. It is safe for concurrent use; the zero value is ready.
type Writing struct {
	mu     sync.Mutex
	models map[modelKey]eventTimes
}

// eventTimes are sums over answers, of which earlier ones count less.
type eventTimes struct{ events, nanoseconds float64 }

// writingMemory is the number of answers after which earlier ones have lost half of their weight.
const writingMemory = 400

// Observe records how long the events of an answer took after the first one, and returns the time that was expected; 0 if none was.
func (w *Writing) Observe(service route.Service, model route.Model, events int, took time.Duration) (expected time.Duration) {
	if events <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	key := modelKey{service: service, model: model}
	sums := w.models[key]
	if sums.events > 0 {
		expected = time.Duration(sums.nanoseconds / sums.events * float64(events))
	}
	counted := took
	if expected > 0 {
		counted = min(took, maxSurprise*expected)
	}
	const keep = 1 - math.Ln2/writingMemory
	if w.models == nil {
		w.models = make(map[modelKey]eventTimes)
	}
	w.models[key] = eventTimes{events: keep*sums.events + float64(events), nanoseconds: keep*sums.nanoseconds + float64(counted)}
	return expected
}
