// Package router chooses the version and the server for each request and runs it there.
package router

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/engine"
	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/plain"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/session"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Options configures a router.
type Options struct {
	Node          api.NodeID
	Incarnation   api.Incarnation
	FailureDomain api.FailureDomain

	Log      log.Interface
	Metrics  *metric.Set
	Configs  Configs
	Registry *registry.Registry
	Answers  *answer.Store
	Engines  *engine.Client
	Plain    *plain.Client
	Sessions *session.Keys
	Versions VersionChooser
	Ratings  Rater
	Trials   Trials
	Copier   Copier
	// Random returns a random number from 0 to 1; it must be safe for concurrent use.
	Random    func() float64
	Servers   ServerChooser
	Admission Admission
	Bills     Biller
	Keys      KeyResolver
	Guard     Guard
	Pools     Pools
}

// Router runs requests. Each runs on its own goroutine, which outlives its caller's connection.
type Router struct {
	opts Options
	// lastID is the number of the latest request of this incarnation.
	lastID atomic.Uint64
	// root is canceled when the router is closed, which ends every request.
	root   context.Context
	cancel context.CancelFunc
	runs   sync.WaitGroup
	// firstTokenTimes determines how long to wait for a first token before a new connection is tried.
	firstTokenTimes firstTokenTimes
	// plainHeaderTimes determines when a call of a plain service is late.
	plainHeaderTimes headerTimes
	// resolving shares the resolution of a key between concurrent callers.
	resolving singleflight.Group

	mu sync.Mutex
	// running holds the running requests by id.
	running map[api.RequestID]*runHandle
	// closed means that new requests are rejected.
	closed bool

	retryMu sync.Mutex
	retries limit.RetryBudget
	// reserved are the retries that need not be earned by first attempts.
	reserved *rate.Limiter
}

// runHandle lets the sweeper end a request that no caller waits for.
type runHandle struct {
	answer *answer.Answer
	cancel context.CancelFunc
	// runToCompletion means that the request runs to its end even if no caller waits for it.
	runToCompletion bool
	// abandoned means that the request was ended because no caller waited for it.
	abandoned bool
}

// New returns a router; Close must be called.
func New(opts Options) *Router {
	root, cancel := context.WithCancel(context.Background())
	return &Router{opts: opts, root: root, cancel: cancel, running: make(map[api.RequestID]*runHandle), reserved: rate.NewLimiter(rate.Every(reservedRetryRefill), reservedRetries)}
}

// Drain waits until no request runs or ctx ends; it reports whether no request runs.
func (r *Router) Drain(ctx context.Context) bool {
	for r.Running() > 0 {
		if !sleep.For(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}

// Running returns the number of running requests.
func (r *Router) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// Close ends every running request and waits for its end.
func (r *Router) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.runs.Wait()
}

// newRequestID returns an id that contains this node and its incarnation, so that any node can find the answer.
func (r *Router) newRequestID() api.RequestID {
	n := strconv.FormatUint(r.lastID.Add(1), idBase)
	return api.RequestID(fmt.Sprintf("%s.%s.%s", r.opts.Node, r.opts.Incarnation, n))
}

// startOptions describes a request to be started.
type startOptions struct {
	answer          *answer.Answer
	key             KeyRequest
	runToCompletion bool
	deadline        time.Time
	// streamDeadline is the deadline of a run whose text has begun by its deadline; zero means the deadline.
	streamDeadline time.Time
	run            func(ctx context.Context)
}

// start runs a request on its own goroutine.
func (r *Router) start(opts startOptions) {
	ctx, cancel := r.runContext(opts)
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		cancel()
		r.reject(opts.answer, opts.key, problemDraining())
		return
	}
	r.running[opts.answer.ID] = &runHandle{answer: opts.answer, cancel: cancel, runToCompletion: opts.runToCompletion}
	r.runs.Add(1)
	r.mu.Unlock()
	go func() {
		defer r.runs.Done()
		defer cancel()
		defer r.removeRunning(opts.answer.ID)
		opts.run(ctx)
	}()
}

func (r *Router) removeRunning(id api.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, id)
}

// Sweep runs until ctx ends. It ends requests that no caller waits for and drops answers whose retention is over.
func (r *Router) Sweep(ctx context.Context) error {
	return sleep.Every(ctx, sweepInterval, func(now time.Time) {
		r.cancelAbandoned(now)
		r.opts.Answers.Expire(now)
		r.updateGauges()
	})
}

func (r *Router) cancelAbandoned(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, handle := range r.running {
		since, idle := handle.answer.IdleSince()
		if idle && !handle.runToCompletion && !handle.abandoned && now.Sub(since) >= abandonTimeout {
			handle.abandoned = true
			r.logOf(handle.answer.ID).WithField("idle_for", roundDuration(now.Sub(since))).Info(msgAbandoned)
			handle.cancel()
		}
	}
}

func (r *Router) updateGauges() {
	stats := r.opts.Answers.Stats()
	r.opts.Metrics.Gauge("answers").Update(int64(stats.Answers))
	r.opts.Metrics.Gauge("answers_running").Update(int64(stats.Running))
	r.opts.Metrics.Gauge("answers_bytes").Update(int64(stats.Bytes))
}

// reject ends an answer with a problem. The answer of a request that has not run, or that may run again, is forgotten, so that
// its key may be used again.
func (r *Router) reject(ans *answer.Answer, key KeyRequest, problem *api.Problem) {
	problem.RequestID = ans.ID
	mayHaveRun := problem.Outcome != api.OutcomeNotRun
	problem = key.adjustOutcome(problem)
	r.opts.Metrics.Counter("refusals", reasonLabel(problem)).Inc(1)
	r.logRejected(problem)
	ans.Fail(problem)
	if !mayHaveRun {
		r.release(key)
	}
	if !mayHaveRun || !key.AtMostOnce {
		r.opts.Answers.Forget(ans)
	}
}

func (r *Router) countFirstAttempt() {
	r.retryMu.Lock()
	defer r.retryMu.Unlock()
	r.retries.AddFirstAttempt()
}

// spendRetry pays for sending a request to another server after a first server may have worked on it.
func (r *Router) spendRetry() bool {
	r.retryMu.Lock()
	defer r.retryMu.Unlock()
	if r.retries.Spend() {
		return true
	}
	if r.reserved.Allow() {
		return true
	}
	r.opts.Metrics.Counter("retries_refused").Inc(1)
	return false
}
