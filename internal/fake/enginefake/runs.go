package enginefake

import (
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxRuns bounds the recorded runs; the oldest go first.
const maxRuns = 1 << 20

// Run records that a request was handed to the engine.
type Run struct {
	Server    api.ServerID
	RequestID api.RequestID
	// Call is the name of the caller's call in the prompt; empty if there is none.
	Call string
	// Attempt counts the runs of the request on this engine from 1.
	Attempt int
	At      time.Time
	// BodyArrived tells that a byte of the request's body was read.
	BodyArrived bool
	// Began tells that the engine accepted the work.
	Began bool
	// Crashed tells that the engine was killed, or crashed, before the run's end.
	Crashed bool
	Version api.VersionID
}

// Runs returns every recorded run, the oldest first.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// noteDeath marks the runs that have not ended as the engine's life does.
func (e *Engine) noteDeath() {
	for i := range e.runs {
		run := &e.runs[i]
		if g, ok := e.generations[run.RequestID]; ok && g.attempt == run.Attempt && !g.ended {
			run.Crashed = run.Began
		}
	}
}

// noteArrival records a request of which headers have arrived.
func (e *Engine) noteArrival(id api.RequestID, body []byte) {
	attempt := 1
	if g, ok := e.generations[id]; ok {
		attempt = g.attempt + 1
	}
	if len(e.runs) >= maxRuns {
		e.runs = append(e.runs[:0], e.runs[maxRuns/2:]...)
	}
	e.runs = append(e.runs, Run{
		Server:      e.opts.ID,
		RequestID:   id,
		Call:        callOf(body),
		Attempt:     attempt,
		At:          time.Now(),
		BodyArrived: len(body) > 0,
	})
}

// callOf returns the name of the call in a body; the JSON encoding leaves it as it is but for what follows it.
func callOf(body []byte) string {
	call := script.ParseCall(string(body))
	if end := strings.IndexAny(call, "\"\\"); end >= 0 {
		call = call[:end]
	}
	return call
}
