package enginefake

import (
	"net/http"
	"slices"
	"time"
)

// load is the load at a point in time, as the load report shows it after LoadLag.
type load struct {
	Running int
	Queued  int
	Slots   int
	// TokensPerSecond is the speed of one generation in the current batch.
	TokensPerSecond float64
	Versions        []string
	Leaving         bool
	MeasuredAt      time.Time
}

// Running returns the number of generations that occupy a slot.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slots.running
}

// recordLoad records the current load and drops the records that LoadLag has made obsolete; Engine.mu is held.
func (e *Engine) recordLoad() {
	now := time.Now()
	current := load{
		Running:         e.slots.running,
		Queued:          len(e.slots.queue),
		Slots:           e.opts.Slots,
		TokensPerSecond: e.speed(),
		Leaving:         e.faults.leaving,
		MeasuredAt:      now,
		Versions:        []string{},
	}
	for id, status := range e.loaded {
		if status == StatusLoaded {
			current.Versions = append(current.Versions, id.String())
		}
	}
	slices.Sort(current.Versions)
	e.loads = append(e.loads, current)
	for len(e.loads) > 1 && !e.loads[1].MeasuredAt.Add(e.opts.LoadLag).After(now) {
		e.loads = e.loads[1:]
	}
}

// serveLoad returns the load as of LoadLag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	at := time.Now().Add(-e.opts.LoadLag)
	reported := e.loads[0]
	for _, l := range e.loads[1:] {
		if l.MeasuredAt.After(at) {
			break
		}
		reported = l
	}
	if reported.MeasuredAt.Before(at) {
		reported.MeasuredAt = at
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, reported)
}
