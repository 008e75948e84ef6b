package router

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/plain"
	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// PlainCall is a call of a plain service whose form has been validated.
type PlainCall struct {
	Team     api.Team
	Service  api.Service
	Priority api.Priority
	Method   string
	// Path begins with "/" and is still escaped; MatchPath is the same path cleaned and unescaped, for the configuration's
	// rules.
	Path      string
	MatchPath string
	Query     string
	Header    http.Header
	Body      []byte
	// Deadline is how long the caller waits; 0 means the policy's deadline.
	Deadline    time.Duration
	Key         api.IdempotencyKey
	Fingerprint answer.Fingerprint
	// FirstUse is the caller's assertion that it has never sent Key before.
	FirstUse bool
}

// Call returns the answer of a call; it runs the call unless its key is known. The error is a *api.Problem or an
// *ErrHeldByPeer.
func (r *Router) Call(call PlainCall) (*answer.Answer, error) {
	cfg := r.opts.Configs.Current()
	if cfg == nil {
		return nil, AdjustOutcome(problemNoConfig(), call.Key, call.FirstUse)
	}
	now := time.Now()
	service, ok := cfg.FindService(call.Service)
	scope := fleet.Scope{Team: call.Team, Service: call.Service, FailureDomain: r.opts.FailureDomain}
	policy := cfg.PolicyFor(scope, now)
	if !ok || service.Kind != fleet.KindPlain || !policy.IsServiceAllowed(call.Service) {
		problem := notRun(api.ReasonUnknownService, http.StatusNotFound,
			fmt.Sprintf("no plain service %q that the team may call", call.Service))
		return nil, AdjustOutcome(problem, call.Key, call.FirstUse)
	}
	once := service.IsNonRepeatable(call.Method, call.MatchPath)
	deadline := now.Add(boundedTimeout(call.Deadline, policy.Deadline))
	key := KeyRequest{
		Team: call.Team, Key: call.Key, RequestID: r.newRequestID(), Fingerprint: call.Fingerprint, AtMostOnce: once,
		FirstUse: call.FirstUse, Retention: policy.KeepAnswers,
	}
	return r.begin(key, answer.KindPlain, func(ans *answer.Answer, key KeyRequest) {
		run := &plainRun{router: r, call: call, answer: ans, key: key, atMostOnce: once, scope: scope, deadline: deadline,
			fingerprint: poison.FingerprintOf([]byte(call.Service), call.Fingerprint[:])}
		r.start(startOptions{answer: ans, key: key, runToCompletion: once || call.Key != "", deadline: deadline, run: run.run})
	})
}

// plainRun runs one call of a plain service.
type plainRun struct {
	router   *Router
	call     PlainCall
	answer   *answer.Answer
	key      KeyRequest
	scope    fleet.Scope
	deadline time.Time
	// atMostOnce means that the call must not be sent again once its first byte was sent to a server.
	atMostOnce bool
	// mayHaveRun means that a byte of the call was sent to a server.
	mayHaveRun    bool
	failedServers []api.ServerID
	attempts      int
	failures      failedAttempts
	arrivedAt     time.Time
	// headAt is when the header of the answer arrived.
	headAt time.Time
	// fingerprint identifies the call's content to the guard; restricted means that the call may run on one server only.
	fingerprint poison.Fingerprint
	restricted  bool
	server      api.ServerID
	// revision is the configuration in force at dispatch.
	revision api.Revision
	// hedgeTimer is the timer of the current attempt; hedged means that an attempt was abandoned because it was late.
	hedgeTimer *plainHedgeTimer
	hedged     bool
	// nextServer is the server that must get the call next because it was late on another; nil if any server may.
	nextServer *registry.Server
	// lateRunEnds are the functions that record in the guard that the call no longer runs on the servers on which it was late;
	// they are called at the end of the call, as those servers may still work on it.
	lateRunEnds []func()
}

func (p *plainRun) run(ctx context.Context) {
	p.arrivedAt = time.Now()
	p.router.countFirstAttempt()
	cfg := p.router.opts.Configs.Current()
	req := AdmissionRequest{
		ID: p.answer.ID, Team: p.call.Team, Service: p.call.Service, Priority: p.call.Priority,
		Deadline: p.deadline, Policy: cfg.PolicyFor(p.scope, p.arrivedAt), Weight: 1,
	}
	if team, ok := cfg.FindTeam(p.call.Team); ok {
		req.Weight = team.Weight
	}
	admitted, err := p.router.opts.Admission.Admit(ctx, req)
	if err != nil {
		p.fail(AsProblem(err, api.OutcomeNotRun))
		return
	}
	defer admitted.Release()
	p.router.logAdmitted(req, p.arrivedAt)
	defer p.endLateRuns()
	for {
		server, problem := p.choose(ctx)
		if problem != nil {
			p.fail(problem)
			return
		}
		err := p.attempt(ctx, server)
		if err == nil {
			return
		}
		if problem := p.afterFailure(ctx, server, err); problem != nil {
			p.fail(problem)
			return
		}
	}
}

func (p *plainRun) choose(ctx context.Context) (*registry.Server, *api.Problem) {
	began := time.Now()
	for {
		now := time.Now()
		allowed, problem := p.router.permitFor(p.fingerprint, p.call.Service, p.mayHaveRun, now)
		if problem != nil && problem.Reason == api.ReasonNoServer && now.Sub(began) < serverTimeout(allowed.restricted, p.mayHaveRun) && sleep.For(ctx, retryDelay) {
			continue
		}
		if problem != nil {
			return nil, problem
		}
		p.restricted = allowed.restricted
		all := p.router.opts.Registry.OfService(p.call.Service)
		switch {
		case allowed.restricted:
			all = []*registry.Server{allowed.server}
		case p.nextServer != nil:
			all = []*registry.Server{p.nextServer}
		}
		able := leastBusy(usable(all, api.VersionID{}, p.failedServers, now))
		if len(able) > 0 {
			p.nextServer = nil
			i := p.router.opts.Servers.ChooseServer(ServerRequest{Service: p.call.Service, Priority: p.call.Priority, Now: now}, able)
			return able[i], nil
		}
		if now.Sub(began) > serverTimeout(allowed.restricted, p.mayHaveRun) {
			problem := p.problem(api.ReasonNoServer, http.StatusServiceUnavailable, "no server of the service is up")
			problem.RetryAfter = shortRetryAfter
			return nil, problem
		}
		if !sleep.For(ctx, retryDelay) {
			return nil, p.problem(api.ReasonDeadline, http.StatusGatewayTimeout, "no server before the deadline")
		}
	}
}

// leastBusy returns the servers on which this node has the fewest calls in flight. A plain call shows no progress, so that a
// stalled server differs from the others only by its calls that don't end.
func leastBusy(able []*registry.Server) []*registry.Server {
	var least []*registry.Server
	fewest := math.MaxInt
	for _, server := range able {
		calls := server.InFlight()
		if calls < fewest {
			least, fewest = least[:0], calls
		}
		if calls == fewest {
			least = append(least, server)
		}
	}
	return least
}

func (p *plainRun) attempt(ctx context.Context, server *registry.Server) error {
	release := server.Acquire()
	defer release()
	p.server = server.ID
	p.revision = p.router.opts.Configs.Current().Revision
	// A server that began to leave after it was chosen is detected here, before the first byte is sent.
	if server.IsLeaving() {
		return &errStaleChoice{detail: "server is leaving"}
	}
	p.attempts++
	p.logAttempt(server)
	endRun := func() {}
	defer func() { endRun() }()
	dispatched := time.Now()
	run := p.router.opts.Servers.Dispatched(server, Dispatch{At: dispatched})
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.hedgeTimer = p.startHedgeTimer(server, dispatched, cancel)
	defer p.hedgeTimer.stop()
	err := p.router.opts.Plain.Call(callCtx, plain.CallOptions{
		Address: server.Address, Attempt: fmt.Sprintf("%s-%d", p.answer.ID, p.attempts),
		Method: p.call.Method, Path: p.call.Path, Query: p.call.Query, Header: p.call.Header, Body: p.call.Body,
		HeaderTimeout: plainHeaderTimeout, BlockTimeout: plainBlockTimeout, NewConnection: p.atMostOnce,
		BeforeSend: func() {
			p.mayHaveRun = true
			endRun = p.router.opts.Guard.BeginRun(server.ID, p.fingerprint, time.Now())
		},
	}, p)
	if err != nil && ctx.Err() == nil && p.hedgeTimer.isAbandoned() {
		run.Finished(nil, time.Now())
		p.lateRunEnds = append(p.lateRunEnds, endRun)
		endRun = func() {}
		p.hedged = true
		p.nextServer = p.hedgeTimer.other
		p.router.DetectCrash(ctx, server, err)
		return &errLate{}
	}
	if err != nil {
		run.Finished(nil, time.Now())
		switch {
		case ctx.Err() != nil:
			p.router.opts.Guard.Abandon(server.ID, p.fingerprint, time.Now())
		case plain.IsErrBroken(err):
			p.router.DetectCrash(ctx, server, err)
		case p.restricted && tcp.IsErrNotSent(err):
			p.router.recordIfUnreachable(ctx, server)
		}
		return err
	}
	if p.hedgeTimer.wasOverdue() {
		// A late answer does not show that the server has recovered.
		server.MarkFailed(time.Now())
	} else {
		server.ClearFailure()
	}
	p.router.plainHeaderTimes.observe(p.headerTimeKey(), p.headAt.Sub(dispatched))
	p.router.opts.Guard.RecordCompletion(p.fingerprint, time.Now())
	run.Finished(&Completed{Total: time.Since(dispatched)}, time.Now())
	return p.finish(ctx)
}

// Head implements plain.Sink.
func (p *plainRun) Head(head plain.Head) error {
	if !p.hedgeTimer.markAnswered() {
		return &errLate{}
	}
	p.headAt = time.Now()
	p.answer.SetHead(answer.Head{
		Status: head.Status, Header: head.Header, EndsWithConnection: head.EndsWithConnection,
		Server: p.server, Revision: p.revision, Created: p.headAt,
	})
	return nil
}

// Block implements plain.Sink.
func (p *plainRun) Block(block []byte) error {
	if err := p.answer.Append(block); err != nil {
		return p.problem(api.ReasonTooLarge, http.StatusBadGateway, "the answer is too large")
	}
	return nil
}

func (p *plainRun) finish(ctx context.Context) error {
	bill := Bill{
		RequestID: p.key.billID(), Key: p.key.Key, Team: p.call.Team, Service: p.call.Service, At: time.Now(), IsWhole: true,
	}
	if err := p.router.opts.Bills.Add(ctx, bill); err != nil {
		return api.NewProblem(api.ReasonOverloaded, http.StatusServiceUnavailable, api.OutcomeRan,
			"the call ran but its bill could not be taken")
	}
	label := metric.Label{Name: "team", Value: string(p.call.Team)}
	p.router.opts.Metrics.ObserveDuration("latency", bill.At.Sub(p.arrivedAt), label)
	p.answer.Finish(answer.Tail{})
	p.logAnswered(bill)
	return nil
}

// afterFailure records a failed attempt; it returns a problem if the call must not be retried.
func (p *plainRun) afterFailure(ctx context.Context, server *registry.Server, err error) *api.Problem {
	p.router.logOf(p.answer.ID).WithFields(log.Fields{"server": string(server.ID), "handed": p.mayHaveRun}).
		WithError(err).Info(msgFailed)
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem
	}
	if refused, ok := plain.AsErrRefused(err); ok && refused.Cause == plain.RefusedLeaving {
		server.MarkLeaving()
	}
	if p.atMostOnce && p.mayHaveRun {
		return p.problem(api.ReasonServerFailed, http.StatusBadGateway,
			"the server failed after the call was handed to it; it is not sent again")
	}
	if ctx.Err() != nil {
		return p.problem(api.ReasonDeadline, http.StatusGatewayTimeout, "no whole answer before the deadline")
	}
	var stale *errStaleChoice
	if !errors.As(err, &stale) {
		p.failedServers = append(p.failedServers, server.ID)
		server.MarkFailed(time.Now())
	}
	now := time.Now()
	p.failures.add(tcp.IsErrNotSent(err), now)
	if isLate(err) {
		return nil
	}
	if p.failures.isLast(now, p.failures.unsentSince.Add(serverTimeout(p.restricted, p.mayHaveRun))) {
		return p.problem(api.ReasonServerFailed, http.StatusBadGateway, "every server that was tried failed")
	}
	if !tcp.IsErrNotSent(err) && !p.router.spendRetry() {
		return p.problem(api.ReasonServerFailed, http.StatusBadGateway, "a server failed and no retry is left to spend")
	}
	p.answer.Restart()
	if !sleep.For(ctx, p.failures.delay(p.restricted)) {
		return p.problem(api.ReasonDeadline, http.StatusGatewayTimeout, "no whole answer before the deadline")
	}
	return nil
}

func (p *plainRun) fail(problem *api.Problem) {
	p.router.reject(p.answer, p.key, problem)
}

func (p *plainRun) problem(reason api.Reason, status int, detail string) *api.Problem {
	problem := api.NewProblem(reason, status, outcomeOf(p.mayHaveRun), detail)
	if p.atMostOnce && p.mayHaveRun {
		return problem
	}
	return withRetryAfter(problem)
}
