package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/engine"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/session"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// chatRun carries out one chat completion over as many servers as it needs.
type chatRun struct {
	router *Router
	plan   *chatPlan
	answer *answer.Answer
	key    KeyRequest

	// handed tells that a byte of the request was handed to a server.
	handed bool
	// tried holds the servers that failed this request.
	tried []api.ServerID
	// version is the version whose text the answer holds; zero before the first chunk.
	version api.VersionID
	// draft is a whole first answer of a cascade, kept until the second one is there; nil if there is none.
	draft *draft
	// escalated is the version that follows a first answer rated too low; zero otherwise.
	escalated api.VersionID
	// arm is the choice that led to the escalation.
	arm VersionChoice
	// spent is the price of answers that were replaced.
	spent api.MicroUSD
	// firstToken is the time from the request's arrival to its first token, tokenInterval the mean time between tokens.
	firstToken    time.Duration
	tokenInterval time.Duration
	// began is when the request arrived here.
	began time.Time
	// attempts counts the generations begun.
	attempts int
	failed   tries
	// answered is that of Admitted; work sums the lengths of the request's whole answers as it takes them.
	answered func(tokens float64)
	work     float64
	// hedged tells that a generation was given up because it was late to begin.
	hedged bool
	// priority is the one at the servers; it is set once the request is let in.
	priority api.Priority
}

// target is a version and a server that may run the request now.
type target struct {
	version api.VersionID
	server  *registry.Server
	choice  VersionChoice
	// guarded tells that the request runs on this server and no other.
	guarded      bool
	repinnedFrom api.VersionID
	revision     api.Revision
}

func (c *chatRun) run(ctx context.Context) {
	c.began = time.Now()
	c.router.firstTry()
	req := c.admissionRequest()
	admitted, err := c.router.opts.Admission.Admit(ctx, req)
	if err != nil {
		c.fail(AsProblem(err, api.OutcomeNotRun))
		return
	}
	defer admitted.Release()
	c.router.explainAdmitted(req, c.began)
	c.answered = admitted.RecordTokens
	c.priority = admitted.priority(c.plan.call.Priority)
	c.runAdmitted(ctx)
}

func (c *chatRun) runAdmitted(ctx context.Context) {
	for {
		to, problem := c.choose(ctx)
		if problem != nil {
			c.failOrKeepDraft(ctx, problem)
			return
		}
		err := c.generate(ctx, to)
		if err == nil {
			return
		}
		if errors.Is(err, errEscalated) {
			continue
		}
		if problem := c.afterFailure(ctx, to, err); problem != nil {
			c.failOrKeepDraft(ctx, problem)
			return
		}
	}
}

// afterFailure returns a problem if the request must not be tried again.
func (c *chatRun) afterFailure(ctx context.Context, to target, err error) *api.Problem {
	c.router.logOf(c.answer.ID).WithFields(log.Fields{
		"server": string(to.server.ID), "version": to.version.String(), "handed": c.handed, "chunks": c.answer.Len(),
	}).WithError(err).Info(msgFailed)
	if ctx.Err() != nil {
		return c.problemEnded(ctx)
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem
	}
	var stale *errStaleChoice
	if !errors.As(err, &stale) {
		c.tried = append(c.tried, to.server.ID)
	}
	c.attempts++
	now := time.Now()
	c.failed.add(isUnsent(err), now)
	if isLate(err) {
		return nil
	}
	if stale == nil {
		noteFailure(to.server, err, now)
	}
	if c.failed.isLast(now, c.giveUpAt(c.failed.unsentSince, to.guarded)) {
		return c.problem(api.ReasonServerFailed, http.StatusBadGateway, "every server that was tried failed")
	}
	if !tcp.IsErrNotSent(err) && !c.router.takeRetry() {
		return c.problem(api.ReasonServerFailed, http.StatusBadGateway, "a server failed and no retry is left to spend")
	}
	if !sleep.For(ctx, c.failed.wait(to.guarded)) {
		return c.problemEnded(ctx)
	}
	return nil
}

// isUnsent reports whether no byte of an attempt reached a server; that a server which died can't be reached any more says
// nothing of that.
func isUnsent(err error) bool { return tcp.IsErrNotSent(err) && !isServerDied(err) }

// noteFailure keeps later requests away from a server as far as its failure tells.
func noteFailure(server *registry.Server, err error, now time.Time) {
	refused, ok := engine.AsErrRefused(err)
	switch {
	case ok && refused.Cause == engine.RefusedLeaving:
		server.MarkLeaving()
	case ok && refused.Cause == engine.RefusedFull:
	default:
		server.MarkFailed(now)
	}
}

// generate runs one generation on a target.
func (c *chatRun) generate(ctx context.Context, to target) error {
	release := to.server.Acquire()
	defer release()
	gen := &generation{run: c, to: to, attempt: fmt.Sprintf("%s-%d", c.answer.ID, c.attempts), out: c.answer}
	defer gen.leave()
	if !to.choice.EscalateTo.IsZero() {
		gen.out = c.router.opts.Answers.Draft(c.answer.ID)
		defer c.router.opts.Answers.Discard(gen.out)
	}
	gen.server = c.router.opts.Servers.Dispatched(to.server, Dispatch{
		Prefix: c.plan.prefix, PrefixTokens: c.plan.prefixTokens, PromptTokens: promptTokens(c.plan.call.Request),
		Version: to.version, At: time.Now(),
	})
	c.router.opts.Trials.Dispatched(c.answer.ID, c.suspectKey(to.version))
	c.explainChoice(to, gen.attempt)
	err := gen.streamUnlessLate(ctx)
	if err == nil || errors.Is(err, errEscalated) {
		to.server.MarkWell()
		c.router.opts.Guard.Finished(c.plan.suspect, time.Now())
		gen.server.Finished(gen.completed(), time.Now())
		return err
	}
	gen.server.Finished(nil, time.Now())
	if ctx.Err() != nil || isLate(err) {
		c.router.opts.Guard.GiveUp(to.server.ID, c.plan.suspect, time.Now())
	}
	isBroken := ctx.Err() == nil && engine.IsErrBroken(err) || isServerDied(err)
	if isBroken && !gen.stall.isTold() {
		c.router.DetectCrash(ctx, to.server, err)
	}
	if ctx.Err() == nil && to.guarded && isUnsent(err) {
		c.router.noteUnreachable(ctx, to.server)
	}
	if isLate(err) {
		c.router.opts.Trials.Dropped(c.answer.ID, to.version)
		c.endLate(ctx, gen, err)
		return err
	}
	diedMeanwhile := ctx.Err() == nil && isGivenUp(err) && c.router.opts.Guard.Lost(to.server.ID, c.plan.suspect)
	if isVersionFault(err) && !diedMeanwhile {
		c.router.opts.Trials.Failed(c.answer.ID, to.version)
	} else {
		c.router.opts.Trials.Dropped(c.answer.ID, to.version)
	}
	if gen.opened && ctx.Err() != nil {
		// The request is given up: its final answer doesn't wait for the engine.
		c.router.runs.Go(func() { c.cancelAtEngine(to.server.Address, gen.attempt, cancelTimeout) })
	} else if gen.opened {
		c.cancelAtEngine(to.server.Address, gen.attempt, cancelTimeout)
	}
	return err
}

// isVersionFault reports whether a failure may be the version's: an error of the engine while it ran the request, or a
// generation that it gave up, as against a server that is full, leaving or unreachable.
func isVersionFault(err error) bool {
	if isGivenUp(err) {
		return true
	}
	refused, ok := engine.AsErrRefused(err)
	return ok && refused.Cause == "" && refused.Status >= http.StatusInternalServerError
}

// cancelAtEngine frees the engine of a generation that nobody reads any more; it reports whether the engine has answered.
func (c *chatRun) cancelAtEngine(address, attempt string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(c.router.root, timeout)
	defer cancel()
	err := c.router.opts.Engines.Cancel(ctx, address, attempt)
	if err != nil {
		c.router.logOf(c.answer.ID).WithError(err).Debug("cancel failed")
	}
	return err == nil
}

// generated takes in a whole generation: the request's answer, or a first one that is rated before it is kept.
func (c *chatRun) generated(ctx context.Context, gen *generation, tail answer.Tail) error {
	took := time.Since(gen.dispatched)
	c.noteTimes(gen)
	c.work += float64(gen.next) / c.router.opts.Servers.Speed(c.plan.service, gen.to.version)
	c.answered(c.work)
	c.router.opts.Versions.ObserveLatency(gen.to.version, took)
	c.router.opts.Trials.Answered(c.answer.ID, gen.to.version, took)
	if gen.out != c.answer {
		return c.weighDraft(ctx, gen, tail)
	}
	return c.finish(ctx, gen.to, tail)
}

func (c *chatRun) noteTimes(gen *generation) {
	if gen.firstAt.IsZero() {
		return
	}
	c.firstToken = gen.firstAt.Sub(c.began)
	if gen.next > 1 {
		c.tokenInterval = gen.lastAt.Sub(gen.firstAt) / time.Duration(gen.next-1)
	}
}

// finish bills the request and ends its answer.
func (c *chatRun) finish(ctx context.Context, to target, tail answer.Tail) error {
	bill := Bill{
		RequestID: c.key.billID(),
		Key:       c.key.Key,
		Team:      c.plan.call.Team,
		Service:   c.plan.service,
		Version:   to.version,
		Usage:     tail.Usage,
		Cost:      c.spent + c.cost(to.version, tail.Usage),
		At:        time.Now(),
		IsWhole:   !c.plan.call.Request.Stream,
	}
	if err := c.router.opts.Bills.Add(ctx, bill); err != nil {
		return api.NewProblem(api.ReasonOverloaded, http.StatusServiceUnavailable, api.OutcomeRan,
			"the request ran but its bill could not be taken")
	}
	c.answer.Finish(tail)
	c.router.observeChat(c, to, bill)
	c.explainAnswered(to, bill, tail)
	// A first answer of a cascade that is kept was handed over already.
	if c.draft == nil || !c.escalated.IsZero() {
		c.router.opts.Ratings.Offer(c.rated(to, c.answer))
	}
	c.router.opts.Copier.Offer(AnsweredRequest{
		ID: c.answer.ID, Team: c.plan.call.Team, Service: c.plan.service, Class: c.plan.class, Version: to.version,
		Request: c.plan.call.Request, Fingerprint: c.plan.suspect,
	})
	return nil
}

func (c *chatRun) suspectKey(v api.VersionID) suspect.Key {
	return suspect.Key{Service: c.plan.service, Version: v, Class: c.plan.class}
}

func (c *chatRun) cost(v api.VersionID, usage api.Usage) api.MicroUSD {
	cfg := c.router.opts.Configs.Current()
	service, ok := cfg.FindService(c.plan.service)
	if !ok {
		return 0
	}
	version, ok := service.FindVersion(v)
	if !ok {
		return 0
	}
	return version.Cost(usage)
}

func (c *chatRun) fail(problem *api.Problem) {
	c.router.refuse(c.answer, c.key, problem)
}

func (c *chatRun) problem(reason api.Reason, status int, detail string) *api.Problem {
	return comeBack(api.NewProblem(reason, status, outcomeOf(c.handed), detail))
}

// problemEnded tells why a request's context ended.
func (c *chatRun) problemEnded(ctx context.Context) *api.Problem {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return c.problem(api.ReasonDeadline, http.StatusGatewayTimeout, "no whole answer before the deadline")
	}
	if c.router.root.Err() != nil {
		return c.problem(api.ReasonDraining, http.StatusServiceUnavailable, "this node stopped")
	}
	return c.problem(api.ReasonDeadline, http.StatusGatewayTimeout, "nobody waited for the answer")
}

// head returns what is known when the first chunk of a target's answer comes.
func (c *chatRun) head(to target) answer.Head {
	now := time.Now()
	return answer.Head{
		Version:      to.version,
		Server:       to.server.ID,
		RepinnedFrom: to.repinnedFrom,
		Revision:     to.revision,
		Created:      now,
		Session: c.router.opts.Sessions.Sign(session.Claims{
			Team: c.plan.call.Team, Service: c.plan.service, Version: to.version,
			IssuedAt: now, Expires: now.Add(sessionLifetime),
		}),
	}
}
