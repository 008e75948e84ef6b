package gateway

import (
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
)

// evidenceKind names answers that are alike: those of a route and a model.
func (r *run) evidenceKind() route.Name { return r.route.Name + "/" + route.Name(r.model) }

// firstKind names the times to the first event of such answers.
func (r *run) firstKind() route.Name { return r.evidenceKind() + "/first" }

// observe tells how a server answered.
func (r *run) observe(member *backend.TrackedServer, outcome versionrollout.Outcome) {
	outcome.Service, outcome.Version, outcome.Route = r.service.Name, member.Version, r.evidenceKind()
	outcome.IsUnderLoad = r.isFilling
	r.g.opts.Versions.Observe(outcome)
	if outcome.Pace > 0 && !r.isFilling {
		r.g.opts.Backends.ObservePace(member, string(outcome.Route), outcome.Pace)
	}
}

// observeFirst tells how long a stream took to its first event, unless that was counted as slow before.
func (r *run) observeFirst(member *backend.TrackedServer, took time.Duration) {
	if r.route.Kind != route.KindStream || r.isFilling || r.isFirstSlow.Load() {
		return
	}
	r.g.opts.Versions.Observe(versionrollout.Outcome{
		Service: r.service.Name, Version: member.Version, Route: r.firstKind(), Pace: versionrollout.Pace(took, r.PromptTokens, 0),
	})
}

// watchFirst counts a stream's first event as slow once it is, without waiting for it: answers that are several times slower than
// usual would be counted last. The returned function ends the watch.
func (r *run) watchFirst(member *backend.TrackedServer) (end func()) {
	// The timer of an earlier offer must not touch this one's.
	isFirstSlow := new(atomic.Bool)
	r.isFirstSlow = isFirstSlow
	r.isSlow = false
	if r.route.Kind != route.KindStream {
		return func() {}
	}
	r.slowPace = r.g.opts.Versions.SlowPace(r.service.Name, r.evidenceKind())
	limit := r.g.opts.Versions.SlowPace(r.service.Name, r.firstKind())
	if r.isFilling || limit == 0 {
		return func() {}
	}
	outcome := versionrollout.Outcome{Service: r.service.Name, Version: member.Version, Route: r.firstKind(), Pace: limit}
	timer := time.AfterFunc(versionrollout.DurationAtPace(limit, r.PromptTokens, 0), func() {
		isFirstSlow.Store(true)
		r.g.opts.Versions.Observe(outcome)
	})
	return func() { timer.Stop() }
}

// minPaceEvents is from how many events on a stream's pace is compared with that of whole answers.
const minPaceEvents = 8

// watchPace counts a stream, of which a server has sent so many events, as slow once it is.
func (r *run) watchPace(member *backend.TrackedServer, pace float64, events int) {
	if r.isSlow || events < minPaceEvents || r.slowPace == 0 || pace <= r.slowPace {
		return
	}
	r.isSlow = true
	r.observe(member, versionrollout.Outcome{Pace: pace})
}
