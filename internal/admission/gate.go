// Package admission lets requests in: within the teams' rates, fairly when servers are short, and never too late.
package admission

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/holdtime"
	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxQueue bounds the requests that wait for one service.
	maxQueue = 4096
	// maxQueueWait bounds the expected wait; longer ones are refused at once.
	maxQueueWait = 20 * time.Second
	// pumpInterval is how often waiting requests are looked at without an event.
	pumpInterval = 50 * time.Millisecond
	// minRetryAfter is the least time after which another try has a chance.
	minRetryAfter = time.Second
)

// Capacity tells how many requests a service's servers can take from this node now, beyond those that run.
type Capacity interface {
	MaxInFlight(service api.Service) int
}

// Options holds what a gate is made of.
type Options struct {
	Capacity Capacity
	Metrics  *metric.Set
	// Incarnation and FailureDomain are this node's own.
	Incarnation   api.Incarnation
	FailureDomain api.FailureDomain
	// Nodes counts the nodes that may be running, those that can't be reached too.
	Nodes func() int
	// FleetRate returns a team's bound in requests a second over the fleet; 0 means none.
	FleetRate func(team api.Team) float64
}

// Gate implements router.Admission.
type Gate struct {
	opts Options

	mu    sync.Mutex
	rates *limit.RateLimiter
	usage *limit.Usage
	lines map[api.Service]*line
	// reports holds the newest report of each other source.
	reports map[string]UsageReport
	sums    sums
}

// line holds the requests that wait for one service.
type line struct {
	queue   *limit.Queue
	waiting map[api.RequestID]chan verdict
	// running counts the requests that were let in and have not ended.
	running int
	// estimates holds what requests are expected to cost against one another.
	estimates *holdtime.CostEstimator
	// holds are the learnt times that requests hold a slot.
	holds *holdtime.SlotTimes
}

// verdict is the end of a wait; refusal is nil if the request was let in.
type verdict struct {
	refusal *limit.Rejection
	// boosted tells that the request goes to the server at high priority.
	boosted bool
	// cost is what the request was counted at.
	cost time.Duration
}

// New returns a gate; Run must be running.
func New(opts Options) *Gate {
	return &Gate{opts: opts, rates: limit.NewRateLimiter(), usage: limit.NewUsage(), lines: make(map[api.Service]*line),
		reports: make(map[string]UsageReport), sums: newSums()}
}

// Admit implements router.Admission.
func (g *Gate) Admit(ctx context.Context, req router.AdmissionRequest) (router.Admitted, error) {
	now := time.Now()
	g.mu.Lock()
	after, ok := g.rates.Allow(limit.RateOptions{
		Team: req.Team, FleetRate: req.Policy.RequestsPerSecond, Nodes: g.opts.Nodes(),
	}, now)
	if !ok {
		g.mu.Unlock()
		return router.Admitted{}, problem(api.ReasonOverLimit, http.StatusTooManyRequests, "the team is over its rate", after)
	}
	ln := g.line(req.Service)
	decided := make(chan verdict, 1)
	ln.waiting[req.ID] = decided
	room := g.opts.Capacity.MaxInFlight(req.Service)
	ln.queue.SetInFlight(ln.running)
	g.settle(ln, ln.queue.Enqueue(limit.Request{
		ID: req.ID, Team: req.Team, Weight: req.Weight, Cost: ln.estimates.Cost(knownOf(req)), Priority: req.Priority,
		Deadline: req.Deadline, ServiceTime: ln.holds.RequiredTime(req.Class, ln.running+ln.queue.Len(), room),
	}, now))
	g.letIn(ln, room, now)
	g.mu.Unlock()
	return g.wait(ctx, req, ln, decided)
}

func (g *Gate) wait(ctx context.Context, req router.AdmissionRequest, ln *line, decided chan verdict) (router.Admitted, error) {
	began := time.Now()
	select {
	case got := <-decided:
		if got.refusal != nil {
			return router.Admitted{}, refused(got.refusal)
		}
		g.opts.Metrics.ObserveDuration("queue_wait", time.Since(began), metric.Label{Name: "team", Value: string(req.Team)})
		return g.admitted(req, ln, got), nil
	case <-ctx.Done():
		g.cancel(req, ln, decided)
		return router.Admitted{}, problem(api.ReasonDeadline, http.StatusGatewayTimeout, "no server came free before the deadline", minRetryAfter)
	}
}

// cancel takes a request out of the line, or gives its place back if it was let in meanwhile.
func (g *Gate) cancel(req router.AdmissionRequest, ln *line, decided chan verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ln.queue.Cancel(req.Team, req.ID)
	delete(ln.waiting, req.ID)
	select {
	case got := <-decided:
		if got.refusal == nil {
			ln.running--
		}
	default:
	}
}

// knownOf is what is known of a request before it runs.
func knownOf(req router.AdmissionRequest) holdtime.Request {
	return holdtime.Request{Class: req.Class, Prompt: req.PromptTokens, MaxAnswer: req.MaxAnswerTokens}
}

// admitted returns the place of a request that was let in now.
func (g *Gate) admitted(req router.AdmissionRequest, ln *line, got verdict) router.Admitted {
	began := time.Now()
	answer := 0.0
	var once sync.Once
	return router.Admitted{
		Boosted:      got.boosted,
		RecordTokens: func(tokens float64) { answer = tokens },
		Release:      func() { once.Do(func() { g.release(req, ln, got.cost, answer, time.Since(began)) }) },
	}
}

// release gives a request's place back and counts its team's use at what the answer cost, not what was expected: teams whose
// answers are longer than those of their class would get more than their share. A chat completion without an answer tells nothing.
func (g *Gate) release(req router.AdmissionRequest, ln *line, counted time.Duration, answer float64, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	ln.running--
	ln.holds.Add(req.Class, held)
	if answer > 0 || req.PromptTokens == 0 {
		g.usage.Add(req.Team, ln.estimates.CostWithAnswer(knownOf(req), answer)-counted, now)
		ln.estimates.Observe(knownOf(req), answer, held)
	}
	g.pump(req.Service, ln, now)
}

func (g *Gate) line(service api.Service) *line {
	ln, ok := g.lines[service]
	if !ok {
		ln = &line{
			queue:     limit.NewQueue(limit.QueueOptions{MaxRequests: maxQueue, MaxWait: maxQueueWait}, g.usage),
			waiting:   make(map[api.RequestID]chan verdict),
			estimates: holdtime.New(),
			holds:     holdtime.NewSlotTimes(),
		}
		g.lines[service] = ln
	}
	return ln
}

// pump lets in as many requests as servers can take now; g.mu is held.
func (g *Gate) pump(service api.Service, ln *line, now time.Time) {
	if ln.queue.Len() > 0 {
		g.letIn(ln, g.opts.Capacity.MaxInFlight(service), now)
	}
}

// letIn lets in as many requests as there is room for; g.mu is held.
func (g *Gate) letIn(ln *line, room int, now time.Time) {
	for ln.queue.Len() > 0 && ln.running < room {
		next, refusals, ok := ln.queue.Next(now)
		g.settle(ln, refusals)
		if !ok {
			return
		}
		ln.running++
		g.decide(ln, next.ID, verdict{boosted: next.Boosted, cost: next.Cost})
	}
}

func (g *Gate) settle(ln *line, refusals []limit.Rejection) {
	for i := range refusals {
		g.decide(ln, refusals[i].ID, verdict{refusal: &refusals[i]})
	}
}

// decide ends a wait; the channel holds one verdict, so that this never blocks.
func (g *Gate) decide(ln *line, id api.RequestID, end verdict) {
	if decided, ok := ln.waiting[id]; ok {
		delete(ln.waiting, id)
		decided <- end
	}
}

// Run is a duty: it lets requests in as servers come free elsewhere and refuses those that would be too late.
func (g *Gate) Run(ctx context.Context) error {
	return sleep.Every(ctx, pumpInterval, g.tick)
}

func (g *Gate) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, ln := range g.lines {
		g.settle(ln, ln.queue.Expire(now))
		g.pump(service, ln, now)
		g.opts.Metrics.Gauge("queue_length", metric.Label{Name: "service", Value: string(service)}).Update(int64(ln.queue.Len()))
	}
}

func refused(r *limit.Rejection) error {
	detail := "servers are short and the team has used its share"
	status := http.StatusServiceUnavailable
	if r.Reason == api.ReasonDeadline {
		detail = "the answer could not be whole before the deadline"
	}
	return problem(r.Reason, status, detail, r.RetryAfter)
}

func problem(reason api.Reason, status int, detail string, after time.Duration) *api.Problem {
	p := api.NewProblem(reason, status, api.OutcomeNotRun, detail)
	p.RetryAfter = max(after, minRetryAfter)
	return p
}
