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

// PlainCall is a call of a plain service, already checked for its form.
type PlainCall struct {
	Team     api.Team
	Service  api.Service
	Priority api.Priority
	Method   string
	// Path begins with "/" and is still escaped; MatchPath is the same, cleaned and unescaped, for the configuration's rules.
	Path      string
	MatchPath string
	Query     string
	Header    http.Header
	Body      []byte
	// Deadline is how long the caller waits; 0 leaves it to the policy.
	Deadline    time.Duration
	Key         api.IdempotencyKey
	Fingerprint answer.Fingerprint
	// FirstUse is the caller's word that it never sent the key before.
	FirstUse bool
}

// Call returns the answer of a call, running it unless its key is known. The error is a *api.Problem or ErrElsewhere.
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
	deadline := now.Add(boundedDeadline(call.Deadline, policy.Deadline))
	key := KeyRequest{
		Team: call.Team, Key: call.Key, RequestID: r.newRequestID(), Fingerprint: call.Fingerprint, AtMostOnce: once,
		FirstUse: call.FirstUse, Retention: policy.KeepAnswers,
	}
	return r.begin(key, answer.KindPlain, func(ans *answer.Answer, key KeyRequest) {
		run := &plainRun{router: r, call: call, answer: ans, key: key, once: once, scope: scope, deadline: deadline,
			suspect: poison.FingerprintOf([]byte(call.Service), call.Fingerprint[:])}
		r.start(startOptions{answer: ans, key: key, kept: once || call.Key != "", deadline: deadline, run: run.run})
	})
}

// plainRun carries out one call of a plain service.
type plainRun struct {
	router   *Router
	call     PlainCall
	answer   *answer.Answer
	key      KeyRequest
	scope    fleet.Scope
	deadline time.Time
	// once tells that the call must never be sent again after its first byte was handed to a server.
	once bool
	// handed tells that a byte of the call was handed to a server.
	handed   bool
	tried    []api.ServerID
	attempts int
	failed   tries
	began    time.Time
	// headAt is when the answer's header came.
	headAt time.Time
	// suspect names the call's content for the guard; guarded tells that it runs on one server and no other.
	suspect poison.Fingerprint
	guarded bool
	server  api.ServerID
	// revision is the configuration in force at dispatch.
	revision api.Revision
	// late is that of the attempt under way; hedged tells that an attempt was given up because it was late.
	late   *plainLate
	hedged bool
	// moveTo is the server that gets the call next after it was late; nil if any may.
	moveTo *registry.Server
	// left holds what tells the guard that the call no longer runs on the servers on which it was late: they may still work on it.
	left []func()
}

func (p *plainRun) run(ctx context.Context) {
	p.began = time.Now()
	p.router.firstTry()
	cfg := p.router.opts.Configs.Current()
	req := AdmissionRequest{
		ID: p.answer.ID, Team: p.call.Team, Service: p.call.Service, Priority: p.call.Priority,
		Deadline: p.deadline, Policy: cfg.PolicyFor(p.scope, p.began), Weight: 1,
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
	p.router.explainAdmitted(req, p.began)
	defer p.leaveLate()
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
		allowed, problem := p.router.permitFor(p.suspect, p.call.Service, p.handed, now)
		if problem != nil && problem.Reason == api.ReasonNoServer && now.Sub(began) < serverWait(allowed.guarded, p.handed) && sleep.For(ctx, retryWait) {
			continue
		}
		if problem != nil {
			return nil, problem
		}
		p.guarded = allowed.guarded
		all := p.router.opts.Registry.OfService(p.call.Service)
		switch {
		case allowed.guarded:
			all = []*registry.Server{allowed.server}
		case p.moveTo != nil:
			all = []*registry.Server{p.moveTo}
		}
		able := leastBusy(usable(all, api.VersionID{}, p.tried, now))
		if len(able) > 0 {
			p.moveTo = nil
			i := p.router.opts.Servers.ChooseServer(ServerRequest{Service: p.call.Service, Priority: p.call.Priority, Now: now}, able)
			return able[i], nil
		}
		if now.Sub(began) > serverWait(allowed.guarded, p.handed) {
			problem := p.problem(api.ReasonNoServer, http.StatusServiceUnavailable, "no server of the service is up")
			problem.RetryAfter = retrySoon
			return nil, problem
		}
		if !sleep.For(ctx, retryWait) {
			return nil, p.problem(api.ReasonDeadline, http.StatusGatewayTimeout, "no server before the deadline")
		}
	}
}

// leastBusy returns the servers on which this node has the fewest calls. A plain call shows no progress, so that a server which
// stands still looks as good as the others but for the calls that don't end there.
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
	// A leaving server that was chosen a moment ago is found out here, before the first byte.
	if server.IsLeaving() {
		return &errStaleChoice{detail: "server is leaving"}
	}
	p.attempts++
	p.explainChoice(server)
	left := func() {}
	defer func() { left() }()
	dispatched := time.Now()
	run := p.router.opts.Servers.Dispatched(server, Dispatch{At: dispatched})
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.late = p.watchLate(server, dispatched, cancel)
	defer p.late.stop()
	err := p.router.opts.Plain.Call(callCtx, plain.CallOptions{
		Address: server.Address, Attempt: fmt.Sprintf("%s-%d", p.answer.ID, p.attempts),
		Method: p.call.Method, Path: p.call.Path, Query: p.call.Query, Header: p.call.Header, Body: p.call.Body,
		HeaderTimeout: plainHeaderTimeout, BlockTimeout: plainBlockTimeout, Fresh: p.once,
		Wrote: func() {
			p.handed = true
			left = p.router.opts.Guard.Begin(server.ID, p.suspect, time.Now())
		},
	}, p)
	if err != nil && ctx.Err() == nil && p.late.isGivenUp() {
		run.Finished(nil, time.Now())
		p.left = append(p.left, left)
		left = func() {}
		p.hedged = true
		p.moveTo = p.late.other
		p.router.DetectCrash(ctx, server, err)
		return &errLate{}
	}
	if err != nil {
		run.Finished(nil, time.Now())
		switch {
		case ctx.Err() != nil:
			p.router.opts.Guard.GiveUp(server.ID, p.suspect, time.Now())
		case plain.IsErrBroken(err):
			p.router.DetectCrash(ctx, server, err)
		case p.guarded && tcp.IsErrNotSent(err):
			p.router.noteUnreachable(ctx, server)
		}
		return err
	}
	server.MarkWell()
	p.router.plainTimes.observe(p.timesKey(), p.headAt.Sub(dispatched))
	p.router.opts.Guard.Finished(p.suspect, time.Now())
	run.Finished(&Completed{Total: time.Since(dispatched)}, time.Now())
	return p.finish(ctx)
}

// Head implements plain.Sink.
func (p *plainRun) Head(status int, header http.Header) error {
	if !p.late.begin() {
		return &errLate{}
	}
	p.headAt = time.Now()
	p.answer.SetHead(answer.Head{
		Status: status, Header: header, Server: p.server, Revision: p.revision, Created: p.headAt,
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
	p.answer.Finish(answer.Tail{})
	p.explainAnswered(bill)
	label := metric.Label{Name: "team", Value: string(p.call.Team)}
	p.router.opts.Metrics.ObserveDuration("latency", bill.At.Sub(p.began), label)
	return nil
}

// afterFailure returns a problem if the call must not be tried again.
func (p *plainRun) afterFailure(ctx context.Context, server *registry.Server, err error) *api.Problem {
	p.router.logOf(p.answer.ID).WithFields(log.Fields{"server": string(server.ID), "handed": p.handed}).
		WithError(err).Info(msgFailed)
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem
	}
	if refused, ok := plain.AsErrRefused(err); ok && refused.Cause == plain.RefusedLeaving {
		server.MarkLeaving()
	}
	if p.once && p.handed {
		return p.problem(api.ReasonServerFailed, http.StatusBadGateway,
			"the server failed after the call was handed to it; it is not sent again")
	}
	if ctx.Err() != nil {
		return p.problem(api.ReasonDeadline, http.StatusGatewayTimeout, "no whole answer before the deadline")
	}
	var stale *errStaleChoice
	if !errors.As(err, &stale) {
		p.tried = append(p.tried, server.ID)
		server.MarkFailed(time.Now())
	}
	now := time.Now()
	p.failed.add(tcp.IsErrNotSent(err), now)
	if isLate(err) {
		return nil
	}
	if p.failed.isLast(now, p.failed.unsentSince.Add(serverWait(p.guarded, p.handed))) {
		return p.problem(api.ReasonServerFailed, http.StatusBadGateway, "every server that was tried failed")
	}
	if !tcp.IsErrNotSent(err) && !p.router.takeRetry() {
		return p.problem(api.ReasonServerFailed, http.StatusBadGateway, "a server failed and no retry is left to spend")
	}
	p.answer.Restart()
	if !sleep.For(ctx, p.failed.wait(p.guarded)) {
		return p.problem(api.ReasonDeadline, http.StatusGatewayTimeout, "no whole answer before the deadline")
	}
	return nil
}

func (p *plainRun) fail(problem *api.Problem) {
	p.router.refuse(p.answer, p.key, problem)
}

func (p *plainRun) problem(reason api.Reason, status int, detail string) *api.Problem {
	problem := api.NewProblem(reason, status, outcomeOf(p.handed), detail)
	if p.once && p.handed {
		return problem
	}
	return comeBack(problem)
}
