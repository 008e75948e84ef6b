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

// chatRun runs one chat completion in as many attempts as it needs.
type chatRun struct {
	router *Router
	plan   *chatPlan
	answer *answer.Answer
	key    KeyRequest

	// mayHaveRun means that a byte of the request was sent to a server.
	mayHaveRun bool
	// failedServers lists the servers on which an attempt of the request failed.
	failedServers []api.ServerID
	// textVersion is the version that generated the text of answer; zero before the first chunk.
	textVersion api.VersionID
	// draft is a complete first answer of a cascade, kept until the escalated answer is complete; nil if there is none.
	draft *draft
	// escalatedTo is the version to which the request was escalated; zero otherwise.
	escalatedTo api.VersionID
	// escalationChoice is the choice that led to the escalation.
	escalationChoice VersionChoice
	// replacedCost is the cost of answers that were replaced.
	replacedCost api.MicroUSD
	// firstToken is the time from the request's arrival to its first token, tokenInterval the mean interval between tokens.
	firstToken    time.Duration
	tokenInterval time.Duration
	// arrivedAt is when the request arrived at this node.
	arrivedAt time.Time
	// attempts counts the attempts that have failed; it numbers the next one.
	attempts int
	failures failedAttempts
	// recordTokens is Admitted.RecordTokens. normalizedTokens sums the lengths of the request's complete answers, in tokens of
	// a version of usual speed.
	recordTokens     func(tokens float64)
	normalizedTokens float64
	// hedged means that an attempt was abandoned because its first chunk was late.
	hedged bool
	// priority is the request's priority at the servers; it is set at admission.
	priority api.Priority
}

// target is a version and a server on which the request may run now.
type target struct {
	version api.VersionID
	server  *registry.Server
	choice  VersionChoice
	// restricted means that the request may run on this server only.
	restricted   bool
	repinnedFrom api.VersionID
	revision     api.Revision
}

func (c *chatRun) run(ctx context.Context) {
	c.arrivedAt = time.Now()
	c.router.countFirstAttempt()
	req := c.admissionRequest()
	admitted, err := c.router.opts.Admission.Admit(ctx, req)
	if err != nil {
		c.fail(AsProblem(err, api.OutcomeNotRun))
		return
	}
	defer admitted.Release()
	c.router.logAdmitted(req, c.arrivedAt)
	c.recordTokens = admitted.RecordTokens
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

// afterFailure records a failed attempt; it returns a problem if the request must not be retried.
func (c *chatRun) afterFailure(ctx context.Context, to target, err error) *api.Problem {
	c.router.logOf(c.answer.ID).WithFields(log.Fields{
		"server": string(to.server.ID), "version": to.version.String(), "handed": c.mayHaveRun, "chunks": c.answer.Len(),
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
		c.failedServers = append(c.failedServers, to.server.ID)
	}
	c.attempts++
	now := time.Now()
	c.failures.add(isUnsent(err), now)
	if isLate(err) {
		return nil
	}
	if stale == nil {
		markServerFailure(to.server, err, now)
	}
	if c.failures.isLast(now, c.noServerDeadline(c.failures.unsentSince, to.restricted)) {
		return c.problem(api.ReasonServerFailed, http.StatusBadGateway, "every server that was tried failed")
	}
	if !tcp.IsErrNotSent(err) && !c.router.spendRetry() {
		return c.problem(api.ReasonServerFailed, http.StatusBadGateway, "a server failed and no retry is left to spend")
	}
	if !sleep.For(ctx, c.failures.delay(to.restricted)) {
		return c.problemEnded(ctx)
	}
	return nil
}

// isUnsent reports whether no byte of an attempt reached a server. A refused connection to a server that crashed doesn't show
// this, since the request may have run there before.
func isUnsent(err error) bool { return tcp.IsErrNotSent(err) && !isServerCrashed(err) }

// markServerFailure makes later requests avoid a server that failed or is leaving; a server that is merely full isn't marked.
func markServerFailure(server *registry.Server, err error, now time.Time) {
	refused, ok := engine.AsErrRefused(err)
	switch {
	case ok && refused.Cause == engine.RefusedLeaving:
		server.MarkLeaving()
	case ok && refused.Cause == engine.RefusedFull:
	default:
		server.MarkFailed(now)
	}
}

// generate runs one attempt on a target.
func (c *chatRun) generate(ctx context.Context, to target) error {
	release := to.server.Acquire()
	defer release()
	gen := &generation{run: c, to: to, attempt: fmt.Sprintf("%s-%d", c.answer.ID, c.attempts), out: c.answer}
	defer gen.endRun()
	if !to.choice.EscalateTo.IsZero() {
		gen.out = c.router.opts.Answers.Draft(c.answer.ID)
		defer c.router.opts.Answers.Discard(gen.out)
	}
	gen.server = c.router.opts.Servers.Dispatched(to.server, Dispatch{
		Prefix: c.plan.prefix, PrefixTokens: c.plan.prefixTokens, PromptTokens: promptTokens(c.plan.call.Request),
		Version: to.version, At: time.Now(),
	})
	c.router.opts.Trials.Dispatched(c.answer.ID, c.suspectKey(to.version))
	c.logAttempt(to, gen.attempt)
	err := gen.streamUnlessHedged(ctx)
	if err == nil || errors.Is(err, errEscalated) {
		to.server.ClearFailure()
		c.router.opts.Guard.RecordCompletion(c.plan.fingerprint, time.Now())
		gen.server.Finished(gen.completed(), time.Now())
		return err
	}
	gen.server.Finished(nil, time.Now())
	if ctx.Err() != nil || isLate(err) {
		c.router.opts.Guard.Abandon(to.server.ID, c.plan.fingerprint, time.Now())
	}
	isBroken := ctx.Err() == nil && engine.IsErrBroken(err) || isServerCrashed(err)
	if isBroken && !gen.stall.isReported() {
		c.router.DetectCrash(ctx, to.server, err)
	}
	if ctx.Err() == nil && to.restricted && isUnsent(err) {
		c.router.recordIfUnreachable(ctx, to.server)
	}
	if isLate(err) {
		c.router.opts.Trials.Discarded(c.answer.ID, to.version)
		c.cancelLate(ctx, gen, err)
		return err
	}
	crashedMeanwhile := ctx.Err() == nil && isGenerationLost(err) && c.router.opts.Guard.CheckLost(to.server.ID, c.plan.fingerprint)
	if isVersionFault(err) && !crashedMeanwhile {
		c.router.opts.Trials.Failed(c.answer.ID, to.version)
	} else {
		c.router.opts.Trials.Discarded(c.answer.ID, to.version)
	}
	if gen.opened && ctx.Err() != nil {
		// The request has been abandoned: its final answer doesn't wait for the engine.
		c.router.runs.Go(func() { c.cancelAtEngine(to.server.Address, gen.attempt, cancelTimeout) })
	} else if gen.opened {
		c.cancelAtEngine(to.server.Address, gen.attempt, cancelTimeout)
	}
	return err
}

// isVersionFault reports whether a failure may be the version's: an error of the engine while it ran the request, or a
// generation that the engine lost, as opposed to a server that is full, leaving or unreachable.
func isVersionFault(err error) bool {
	if isGenerationLost(err) {
		return true
	}
	refused, ok := engine.AsErrRefused(err)
	return ok && refused.Cause == "" && refused.Status >= http.StatusInternalServerError
}

// cancelAtEngine cancels a generation that is no longer read; it reports whether the engine confirmed.
func (c *chatRun) cancelAtEngine(address, attempt string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(c.router.root, timeout)
	defer cancel()
	err := c.router.opts.Engines.Cancel(ctx, address, attempt)
	if err != nil {
		c.router.logOf(c.answer.ID).WithError(err).Debug("could not cancel the generation")
	}
	return err == nil
}

// generated accepts a complete generation: the request's answer, or the first answer of a cascade, which is rated before it is
// kept.
func (c *chatRun) generated(ctx context.Context, gen *generation, tail answer.Tail) error {
	took := time.Since(gen.dispatchedAt)
	c.noteTimes(gen)
	c.normalizedTokens += float64(gen.next) / c.router.opts.Servers.RelativeSpeed(c.plan.service, gen.to.version)
	c.recordTokens(c.normalizedTokens)
	c.router.opts.Versions.ObserveLatency(gen.to.version, took)
	c.router.opts.Trials.Answered(c.answer.ID, gen.to.version, took)
	if gen.out != c.answer {
		return c.rateDraft(ctx, gen, tail)
	}
	return c.finish(ctx, gen.to, tail)
}

func (c *chatRun) noteTimes(gen *generation) {
	if gen.firstAt.IsZero() {
		return
	}
	c.firstToken = gen.firstAt.Sub(c.arrivedAt)
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
		Cost:      c.replacedCost + c.cost(to.version, tail.Usage),
		At:        time.Now(),
		IsWhole:   !c.plan.call.Request.Stream,
	}
	if err := c.router.opts.Bills.Add(ctx, bill); err != nil {
		return api.NewProblem(api.ReasonOverloaded, http.StatusServiceUnavailable, api.OutcomeRan,
			"the request ran but its bill could not be taken")
	}
	// A caller that has its whole answer finds it in the metrics.
	c.router.observeChat(c, to, bill)
	c.answer.Finish(tail)
	c.logAnswered(to, bill, tail)
	// A first answer of a cascade that is kept has already been submitted for rating.
	if c.draft == nil || !c.escalatedTo.IsZero() {
		c.router.opts.Ratings.Offer(c.rated(to, c.answer))
	}
	c.router.opts.Copier.Offer(AnsweredRequest{
		ID: c.answer.ID, Team: c.plan.call.Team, Service: c.plan.service, Class: c.plan.class, Version: to.version,
		Request: c.plan.call.Request, Fingerprint: c.plan.fingerprint,
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
	c.router.reject(c.answer, c.key, problem)
}

func (c *chatRun) problem(reason api.Reason, status int, detail string) *api.Problem {
	return withRetryAfter(api.NewProblem(reason, status, outcomeOf(c.mayHaveRun), detail))
}

// problemEnded returns the problem of a request whose context has ended.
func (c *chatRun) problemEnded(ctx context.Context) *api.Problem {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return c.problem(api.ReasonDeadline, http.StatusGatewayTimeout, "no whole answer before the deadline")
	}
	if c.router.root.Err() != nil {
		return c.problem(api.ReasonDraining, http.StatusServiceUnavailable, "this node stopped")
	}
	return c.problem(api.ReasonDeadline, http.StatusGatewayTimeout, "nobody waited for the answer")
}

// head returns the answer's head; it is called when the first chunk of a target's generation arrives.
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
