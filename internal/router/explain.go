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
	msgAdmitted  = "request admitted"
	msgAttempt   = "attempt begun"
	msgFailed    = "attempt failed"
	msgResumed   = "stream resumed"
	msgEscalated = "first answer rated too low"
	msgAnswered  = "request answered"
	msgRejected  = "request refused"
	msgAbandoned = "request ended: nobody waits for its answer"
)

// logOf returns the log with a request's id.
func (r *Router) logOf(id api.RequestID) log.Interface {
	return r.opts.Log.WithField("request", string(id))
}

// roundDuration rounds a duration to what a reader of a log needs.
func roundDuration(d time.Duration) string { return d.Round(time.Microsecond).String() }

// reportAge returns how old a server's newest report is; empty if there was none.
func reportAge(server *registry.Server, now time.Time) string {
	age, ok := server.ReportAge(now)
	if !ok {
		return ""
	}
	return age.String()
}

// logAdmitted tells that a request was let in, and how long it waited.
func (r *Router) logAdmitted(req AdmissionRequest, arrived time.Time) {
	now := time.Now()
	r.logOf(req.ID).WithFields(log.Fields{
		"team": string(req.Team), "service": string(req.Service), "class": string(req.Class), "priority": int(req.Priority),
		"waited": roundDuration(now.Sub(arrived)), "deadline_in": roundDuration(req.Deadline.Sub(now)), "revision": int64(r.opts.Configs.Current().Revision),
	}).Info(msgAdmitted)
}

// logAttempt tells on which version and server a generation begins, and on what that was decided.
func (c *chatRun) logAttempt(to target, attempt string) {
	now := time.Now()
	c.router.logOf(c.answer.ID).WithFields(log.Fields{
		"attempt": attempt, "version": to.version.String(), "server": string(to.server.ID), "reason": to.choice.Reason,
		"revision": int64(to.revision), "report_age": reportAge(to.server, now), "in_flight": to.server.InFlight(),
		"guarded": to.restricted, "tried": len(c.failedServers),
	}).Info(msgAttempt)
}

// logAttempt tells on which server an attempt of the call begins.
func (p *plainRun) logAttempt(server *registry.Server) {
	p.router.logOf(p.answer.ID).WithFields(log.Fields{
		"attempt": p.attempts, "server": string(server.ID), "revision": int64(p.revision),
		"report_age": reportAge(server, time.Now()), "in_flight": server.InFlight(), "guarded": p.restricted,
		"once": p.atMostOnce, "tried": len(p.failedServers),
	}).Info(msgAttempt)
}

// logAnswered tells what the request's answer came from and cost.
func (c *chatRun) logAnswered(to target, bill Bill, tail answer.Tail) {
	c.router.logOf(c.answer.ID).WithFields(log.Fields{
		"version": to.version.String(), "server": string(to.server.ID), "attempts": c.attempts + 1,
		"took": roundDuration(bill.At.Sub(c.arrivedAt)), "first_token": roundDuration(c.firstToken), "tokens": int64(tail.Usage.CompletionTokens),
		"cost_microusd": int64(bill.Cost), "bill": string(bill.RequestID), "revision": int64(to.revision),
	}).Info(msgAnswered)
}

// logAnswered tells what the call's answer came from.
func (p *plainRun) logAnswered(bill Bill) {
	p.router.logOf(p.answer.ID).WithFields(log.Fields{
		"server": string(p.server), "attempts": p.attempts, "took": roundDuration(bill.At.Sub(p.arrivedAt)), "bill": string(bill.RequestID),
		"revision": int64(p.revision),
	}).Info(msgAnswered)
}

// logRejected tells why a request got no answer.
func (r *Router) logRejected(problem *api.Problem) {
	r.logOf(problem.RequestID).WithFields(log.Fields{
		"reason": string(problem.Reason), "outcome": string(problem.Outcome), "status": problem.Status,
		"retry_after": problem.RetryAfter.String(), "detail": problem.Detail,
	}).Info(msgRejected)
}
