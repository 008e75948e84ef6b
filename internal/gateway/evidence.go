package gateway

import (
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
)

// evidenceKey returns the key under which answers are compared between versions: the route and the model.
func (d *dispatcher) evidenceKey() route.Name { return d.route.Name + "/" + route.Name(d.model) }

// firstEventKey returns the key under which the times to the first event of a stream are compared.
func (d *dispatcher) firstEventKey() route.Name { return d.evidenceKey() + "/first" }

// observe records the outcome of an attempt at a server as evidence for or against the server's version.
func (d *dispatcher) observe(server *backend.TrackedServer, outcome versionrollout.Outcome) {
	isFilledEngine := d.isFillAttempt && d.service.Engine != nil
	if !outcome.IsFailure && (isFilledEngine || d.route.Kind != route.KindStream && d.isFirstEventSlow.Load()) {
		// observeFill has counted it, and how long it took is no evidence, or watchFirstEvent has counted it as slow.
		return
	}
	outcome.Service, outcome.Version, outcome.Route = d.service.Name, server.Version, d.evidenceKey()
	outcome.IsFill, outcome.Load = d.isFillAttempt && outcome.IsFailure, d.serverLoad
	d.g.opts.Versions.Observe(outcome)
	if outcome.Pace > 0 && !d.isFillAttempt {
		d.g.opts.Backends.ObservePace(server, string(outcome.Route), outcome.Pace)
	}
}

// lightEngineLoad and lightLoad are the parts of its slots below which an engine and another server that is being filled answer as usual: requests on an
// engine delay each other from the first one on.
const (
	lightEngineLoad = 0.25
	lightLoad       = 0.5
)

// isLightLoad reports whether the server said that it runs few of its slots.
func (d *dispatcher) isLightLoad() bool {
	if d.service.Engine != nil {
		return d.hasServerLoad && d.serverLoad < lightEngineLoad
	}
	return d.hasServerLoad && d.serverLoad < lightLoad
}

// observeFill records an answer that has begun of a server that is being filled.
func (d *dispatcher) observeFill(server *backend.TrackedServer) {
	if d.isFillAttempt {
		d.g.opts.Versions.Observe(versionrollout.Outcome{
			Service: d.service.Name, Version: server.Version, Route: d.evidenceKey(), IsFill: true, Load: d.serverLoad,
		})
	}
}

// observeFirstEvent records the time to the first event of a stream, unless watchFirstEvent has already counted it as slow.
func (d *dispatcher) observeFirstEvent(server *backend.TrackedServer, took time.Duration) {
	if d.service.Engine != nil {
		d.firstEventAt = time.Now()
		expected := d.g.reading.FirstEvent(d.service, d.askedModel(), d.unreadTokens) + time.Duration(d.ahead)
		server.ObserveTime(took, expected, d.firstEventAt)
		d.g.reading.Observe(d.service, d.askedModel(), d.unreadTokens, d.ahead, took)
	}
	if d.route.Kind != route.KindStream || d.isFillAttempt || d.isFirstEventSlow.Load() {
		return
	}
	d.g.opts.Versions.Observe(versionrollout.Outcome{
		Service: d.service.Name, Version: server.Version, Route: d.firstEventKey(), Pace: versionrollout.Pace(took, d.believedPromptTokens(), 0),
	})
}

// observeEvents records how long the events of a stream that has ended took after the first one.
func (d *dispatcher) observeEvents(server *backend.TrackedServer, events int) {
	if d.service.Engine == nil || d.firstEventAt.IsZero() {
		return
	}
	now := time.Now()
	took := now.Sub(d.firstEventAt)
	expected := d.g.writing.Observe(d.service.Name, d.askedModel(), events-1, took)
	server.ObserveTime(took, expected, now)
}

// watchFirstEvent starts a timer that counts the first event of a stream, or the answer to a call, as slow as soon as it is overdue. Without the
// timer, answers that are several times slower than usual would be counted last. The returned function stops the timer.
func (d *dispatcher) watchFirstEvent(server *backend.TrackedServer) (end func()) {
	// A new flag for each attempt, so that the timer of an earlier attempt can't set it.
	isFirstSlow := new(atomic.Bool)
	d.isFirstEventSlow = isFirstSlow
	d.isAnswerSlow, d.firstEventAt = false, time.Time{}
	d.slowPace = d.g.opts.Versions.SlowPace(d.service.Name, d.evidenceKey())
	key, limit := d.evidenceKey(), d.slowPace
	if d.route.Kind == route.KindStream {
		key = d.firstEventKey()
		limit = d.g.opts.Versions.SlowPace(d.service.Name, key)
	}
	if d.isFillAttempt && d.service.Engine != nil || limit == 0 {
		return func() {}
	}
	outcome := versionrollout.Outcome{Service: d.service.Name, Version: server.Version, Route: key, Pace: limit}
	timer := time.AfterFunc(versionrollout.DurationAtPace(limit, d.believedPromptTokens(), 0), func() {
		isFirstSlow.Store(true)
		d.g.opts.Versions.Observe(outcome)
	})
	return func() { timer.Stop() }
}

// minPaceEvents is the number of events from which on a stream's pace is compared with the pace of whole answers.
const minPaceEvents = 8

// watchPace counts a stream as slow as soon as its pace exceeds the slow threshold. events is the number of events received in this
// attempt.
func (d *dispatcher) watchPace(server *backend.TrackedServer, pace float64, events int) {
	if d.isAnswerSlow || events < minPaceEvents || d.slowPace == 0 || pace <= d.slowPace {
		return
	}
	d.isAnswerSlow = true
	d.observe(server, versionrollout.Outcome{Pace: pace})
}
