// Package admission controls which requests are dispatched: it enforces the teams' rates, shares scarce servers fairly between teams
// and rejects requests that can't meet their deadlines.
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
	// maxQueue bounds the number of requests that wait for one service.
	maxQueue = 4096
	// maxQueueWait bounds the expected wait; requests that would wait longer are rejected immediately.
	maxQueueWait = 20 * time.Second
	// admitInterval is the interval at which the queues are checked for requests to admit or reject, besides the checks on each request
	// and release.
	admitInterval = 50 * time.Millisecond
	// minRetryAfter is the shortest time after which a caller is asked to retry.
	minRetryAfter = time.Second
)

// Capacity returns how many requests this node may have in flight on a service's servers, including its current ones.
type Capacity interface {
	MaxInFlight(service api.Service) int
}

// Options configures New.
type Options struct {
	Capacity Capacity
	Metrics  *metric.Set
	// Incarnation and FailureDomain are this node's own.
	Incarnation   api.Incarnation
	FailureDomain api.FailureDomain
	// Nodes returns the number of nodes that may be running, including unreachable ones.
	Nodes func() int
	// FleetRate returns a team's limit for the whole fleet in requests per second; 0 means none.
	FleetRate func(team api.Team) float64
}

// Gate is the admission controller of a node. It implements router.Admission.
type Gate struct {
	opts Options

	mu     sync.Mutex
	rates  *limit.RateLimiter
	usage  *limit.Usage
	queues map[api.Service]*serviceQueue
	// reports holds the newest report of each other reporting node or failure domain, by UsageReport.Key.
	reports     map[string]UsageReport
	aggregation aggregation
}

// serviceQueue holds the requests that wait for one service.
type serviceQueue struct {
	queue   *limit.Queue
	waiting map[api.RequestID]chan decision
	// inFlight counts the admitted requests that have not ended.
	inFlight int
	// estimates predicts the cost of requests relative to one another.
	estimates *holdtime.CostEstimator
	// holdTimes holds the observed times for which requests occupy a slot, by class.
	holdTimes *holdtime.SlotTimes
}

// decision is the result of a wait; rejection is nil if the request was admitted.
type decision struct {
	rejection *limit.Rejection
	// boosted means that the request is to be sent to the server at high priority.
	boosted bool
	// charged is the cost that was added to the team's usage on admission.
	charged time.Duration
}

// New returns a gate. Its Run method must run, or requests may wait without a decision.
func New(opts Options) *Gate {
	return &Gate{opts: opts, rates: limit.NewRateLimiter(), usage: limit.NewUsage(), queues: make(map[api.Service]*serviceQueue),
		reports: make(map[string]UsageReport), aggregation: newAggregation()}
}

// Admit implements router.Admission.
func (g *Gate) Admit(ctx context.Context, req router.AdmissionRequest) (router.Admitted, error) {
	now := time.Now()
	g.mu.Lock()
	retryAfter, ok := g.rates.Allow(limit.RateOptions{
		Team: req.Team, FleetRate: req.Policy.RequestsPerSecond, Nodes: g.opts.Nodes(),
	}, now)
	if !ok {
		g.mu.Unlock()
		return router.Admitted{}, newProblem(api.ReasonOverLimit, http.StatusTooManyRequests, "the team is over its rate", retryAfter)
	}
	sq := g.queueOf(req.Service)
	decided := make(chan decision, 1)
	sq.waiting[req.ID] = decided
	maxInFlight := g.opts.Capacity.MaxInFlight(req.Service)
	sq.queue.SetInFlight(sq.inFlight)
	g.deliverRejections(sq, sq.queue.Enqueue(limit.Request{
		ID: req.ID, Team: req.Team, Weight: req.Weight, Cost: sq.estimates.Cost(holdtimeRequest(req)), Priority: req.Priority,
		Deadline: req.Deadline, ServiceTime: sq.holdTimes.RequiredTime(req.Class, sq.inFlight+sq.queue.Len(), maxInFlight),
	}, now))
	g.admitUpTo(sq, maxInFlight, now)
	g.mu.Unlock()
	return g.wait(ctx, req, sq, decided)
}

func (g *Gate) wait(ctx context.Context, req router.AdmissionRequest, sq *serviceQueue, decided chan decision) (router.Admitted, error) {
	startedAt := time.Now()
	select {
	case result := <-decided:
		if result.rejection != nil {
			return router.Admitted{}, rejectionProblem(result.rejection)
		}
		g.opts.Metrics.ObserveDuration("queue_wait", time.Since(startedAt), metric.Label{Name: "team", Value: string(req.Team)})
		return g.newAdmitted(req, sq, result), nil
	case <-ctx.Done():
		g.cancel(req, sq, decided)
		return router.Admitted{}, newProblem(api.ReasonDeadline, http.StatusGatewayTimeout, "no server came free before the deadline",
			minRetryAfter)
	}
}

// cancel removes a request from the queue, or releases its slot if it was admitted meanwhile.
func (g *Gate) cancel(req router.AdmissionRequest, sq *serviceQueue, decided chan decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sq.queue.Cancel(req.Team, req.ID)
	delete(sq.waiting, req.ID)
	select {
	case result := <-decided:
		if result.rejection == nil {
			sq.inFlight--
		}
	default:
	}
}

// holdtimeRequest returns the properties of a request from which its cost is estimated.
func holdtimeRequest(req router.AdmissionRequest) holdtime.Request {
	return holdtime.Request{Class: req.Class, Prompt: req.PromptTokens, MaxAnswer: req.MaxAnswerTokens}
}

// newAdmitted returns the callbacks of a request that was just admitted.
func (g *Gate) newAdmitted(req router.AdmissionRequest, sq *serviceQueue, result decision) router.Admitted {
	startedAt := time.Now()
	answerTokens := 0.0
	var once sync.Once
	return router.Admitted{
		Boosted:      result.boosted,
		RecordTokens: func(tokens float64) { answerTokens = tokens },
		Release:      func() { once.Do(func() { g.release(req, sq, result.charged, answerTokens, time.Since(startedAt)) }) },
	}
}

// release releases a request's slot and corrects its team's usage from the expected cost to that of the actual answer. Without the
// correction, teams with longer answers than others of their class would get more than their share. A chat completion without an answer
// changes neither the usage nor the estimates.
func (g *Gate) release(req router.AdmissionRequest, sq *serviceQueue, charged time.Duration, answerTokens float64, holdTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	sq.inFlight--
	sq.holdTimes.Add(req.Class, holdTime)
	if answerTokens > 0 || req.PromptTokens == 0 {
		g.usage.Add(req.Team, sq.estimates.CostWithAnswer(holdtimeRequest(req), answerTokens)-charged, now)
		sq.estimates.Observe(holdtimeRequest(req), answerTokens, holdTime)
	}
	g.admitWaiting(req.Service, sq, now)
}

func (g *Gate) queueOf(service api.Service) *serviceQueue {
	sq, ok := g.queues[service]
	if !ok {
		sq = &serviceQueue{
			queue:     limit.NewQueue(limit.QueueOptions{MaxRequests: maxQueue, MaxWait: maxQueueWait}, g.usage),
			waiting:   make(map[api.RequestID]chan decision),
			estimates: holdtime.New(),
			holdTimes: holdtime.NewSlotTimes(),
		}
		g.queues[service] = sq
	}
	return sq
}

// admitWaiting admits waiting requests up to the current capacity of the servers. The caller holds g.mu.
func (g *Gate) admitWaiting(service api.Service, sq *serviceQueue, now time.Time) {
	if sq.queue.Len() > 0 {
		g.admitUpTo(sq, g.opts.Capacity.MaxInFlight(service), now)
	}
}

// admitUpTo admits waiting requests until maxInFlight are in flight. The caller holds g.mu.
func (g *Gate) admitUpTo(sq *serviceQueue, maxInFlight int, now time.Time) {
	for sq.queue.Len() > 0 && sq.inFlight < maxInFlight {
		next, rejections, ok := sq.queue.Next(now)
		g.deliverRejections(sq, rejections)
		if !ok {
			return
		}
		sq.inFlight++
		g.deliver(sq, next.ID, decision{boosted: next.Boosted, charged: next.Cost})
	}
}

func (g *Gate) deliverRejections(sq *serviceQueue, rejections []limit.Rejection) {
	for i := range rejections {
		g.deliver(sq, rejections[i].ID, decision{rejection: &rejections[i]})
	}
}

// deliver ends a wait. It never blocks, since the channel has a buffer for the only decision.
func (g *Gate) deliver(sq *serviceQueue, id api.RequestID, result decision) {
	if decided, ok := sq.waiting[id]; ok {
		delete(sq.waiting, id)
		decided <- result
	}
}

// Run admits waiting requests when capacity becomes free without an event on this node, and rejects those that can no longer meet their
// deadlines. It returns when ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	return sleep.Every(ctx, admitInterval, g.tick)
}

func (g *Gate) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, sq := range g.queues {
		g.deliverRejections(sq, sq.queue.Expire(now))
		g.admitWaiting(service, sq, now)
		g.opts.Metrics.Gauge("queue_length", metric.Label{Name: "service", Value: string(service)}).Update(int64(sq.queue.Len()))
	}
}

func rejectionProblem(r *limit.Rejection) error {
	detail := "servers are short and the team has used its share"
	status := http.StatusServiceUnavailable
	if r.Reason == api.ReasonDeadline {
		detail = "the answer could not be whole before the deadline"
	}
	return newProblem(r.Reason, status, detail, r.RetryAfter)
}

func newProblem(reason api.Reason, status int, detail string, retryAfter time.Duration) *api.Problem {
	p := api.NewProblem(reason, status, api.OutcomeNotRun, detail)
	p.RetryAfter = max(retryAfter, minRetryAfter)
	return p
}
