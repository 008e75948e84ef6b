package router

import (
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Each decision that touches a request leaves one line under these messages; docs/OPERATIONS.md reads them.
const (
	msgAdmitted = "request admitted"
	msgAttempt  = "attempt begun"
	msgFailed   = "attempt failed"
	msgResumed  = "stream resumed"
	msgReplaced = "first answer rated too low"
	msgAnswered = "request answered"
	msgRefused  = "request refused"
	msgGivenUp  = "request ended: nobody waits for its answer"
)

// logOf returns the log with a request's id.
func (r *Router) logOf(id api.RequestID) log.Interface {
	return r.opts.Log.WithField("request", string(id))
}

// short rounds a duration to what a reader of a log needs.
func short(d time.Duration) string { return d.Round(time.Microsecond).String() }

// reportAge returns how old a server's newest report is; empty if there was none.
func reportAge(server *registry.Server, now time.Time) string {
	age, ok := server.ReportAge(now)
	if !ok {
		return ""
	}
	return age.String()
}

// explainAdmitted tells that a request was let in, and how long it waited.
func (r *Router) explainAdmitted(req AdmissionRequest, arrived time.Time) {
	now := time.Now()
	r.logOf(req.ID).WithFields(log.Fields{
		"team": string(req.Team), "service": string(req.Service), "class": string(req.Class), "priority": int(req.Priority),
		"waited": short(now.Sub(arrived)), "deadline_in": short(req.Deadline.Sub(now)), "revision": int64(r.opts.Configs.Current().Revision),
	}).Info(msgAdmitted)
}

// explainChoice tells on which version and server a generation begins, and on what that was decided.
func (c *chatRun) explainChoice(to target, attempt string) {
	now := time.Now()
	c.router.logOf(c.answer.ID).WithFields(log.Fields{
		"attempt": attempt, "version": to.version.String(), "server": string(to.server.ID), "reason": to.choice.Reason,
		"revision": int64(to.revision), "report_age": reportAge(to.server, now), "in_flight": to.server.InFlight(),
		"guarded": to.guarded, "tried": len(c.tried),
	}).Info(msgAttempt)
}

// explainChoice tells on which server an attempt of the call begins.
func (p *plainRun) explainChoice(server *registry.Server) {
	p.router.logOf(p.answer.ID).WithFields(log.Fields{
		"attempt": p.attempts, "server": string(server.ID), "revision": int64(p.revision),
		"report_age": reportAge(server, time.Now()), "in_flight": server.InFlight(), "guarded": p.guarded,
		"once": p.once, "tried": len(p.tried),
	}).Info(msgAttempt)
}

// explainAnswered tells what the request's answer came from and cost.
func (c *chatRun) explainAnswered(to target, bill Bill, tail answer.Tail) {
	c.router.logOf(c.answer.ID).WithFields(log.Fields{
		"version": to.version.String(), "server": string(to.server.ID), "attempts": c.attempts + 1,
		"took": short(bill.At.Sub(c.began)), "first_token": short(c.firstToken), "tokens": int64(tail.Usage.CompletionTokens),
		"cost_microusd": int64(bill.Cost), "bill": string(bill.RequestID), "revision": int64(to.revision),
	}).Info(msgAnswered)
}

// explainAnswered tells what the call's answer came from.
func (p *plainRun) explainAnswered(bill Bill) {
	p.router.logOf(p.answer.ID).WithFields(log.Fields{
		"server": string(p.server), "attempts": p.attempts, "took": short(bill.At.Sub(p.began)), "bill": string(bill.RequestID),
		"revision": int64(p.revision),
	}).Info(msgAnswered)
}

// explainRefused tells why a request got no answer.
func (r *Router) explainRefused(problem *api.Problem) {
	r.logOf(problem.RequestID).WithFields(log.Fields{
		"reason": string(problem.Reason), "outcome": string(problem.Outcome), "status": problem.Status,
		"retry_after": problem.RetryAfter.String(), "detail": problem.Detail,
	}).Info(msgRefused)
}
