package enginefake

import (
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxRuns bounds the recorded runs; the oldest are dropped first.
const maxRuns = 1 << 20

// Run records that a request reached the engine.
type Run struct {
	Server    api.ServerID
	RequestID api.RequestID
	// Call is the name that the prompt gives to the caller's call; empty if it gives none.
	Call string
	// Attempt is the number of this run among those of the request on this engine, from 1.
	Attempt int
	At      time.Time
	// BodyArrived reports that at least one byte of the request's body was read.
	BodyArrived bool
	// Began reports that the engine accepted the request.
	Began bool
	// Crashed reports that the engine was killed or crashed before the run ended.
	Crashed bool
	Version api.VersionID
}

// Runs returns every recorded run, the oldest first.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// markCrashedRuns marks the unfinished runs when the engine goes down.
func (e *Engine) markCrashedRuns() {
	for i := range e.runs {
		run := &e.runs[i]
		if g, ok := e.generations[run.RequestID]; ok && g.attempt == run.Attempt && !g.ended {
			run.Crashed = run.Began
		}
	}
}

// recordRun records a request whose headers have arrived.
func (e *Engine) recordRun(id api.RequestID, body []byte) {
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

// callOf returns the name of the call in a JSON body. JSON encodes a name unchanged; a quote or a backslash ends it.
func callOf(body []byte) string {
	call := script.ParseCall(string(body))
	if end := strings.IndexAny(call, "\"\\"); end >= 0 {
		call = call[:end]
	}
	return call
}
