package router

import (
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Log messages, one for each decision about a request; docs/OPERATIONS.md explains them.
const (
	msgAdmitted  = "request admitted"
	msgAttempt   = "attempt begun"
	msgFailed    = "attempt failed"
	msgResumed   = "stream resumed"
	msgEscalated = "first answer rated too low"
	msgAnswered  = "request answered"
	msgRejected  = "request refused"
	msgAbandoned = "request canceled: no caller waits for its answer"
)

// logOf returns a logger with a request's id.
func (r *Router) logOf(id api.RequestID) log.Interface {
	return r.opts.Log.WithField("request", string(id))
}

// roundDuration rounds a duration to microseconds for the log.
func roundDuration(d time.Duration) string { return d.Round(time.Microsecond).String() }

// reportAge returns the age of a server's newest load report; empty if there is none.
func reportAge(server *registry.Server, now time.Time) string {
	age, ok := server.ReportAge(now)
	if !ok {
		return ""
	}
	return age.String()
}

// logAdmitted logs that a request was admitted and how long it waited.
func (r *Router) logAdmitted(req AdmissionRequest, arrived time.Time) {
	now := time.Now()
	r.logOf(req.ID).WithFields(log.Fields{
		"team": string(req.Team), "service": string(req.Service), "class": string(req.Class), "priority": int(req.Priority),
		"waited": roundDuration(now.Sub(arrived)), "deadline_in": roundDuration(req.Deadline.Sub(now)), "revision": int64(r.opts.Configs.Current().Revision),
	}).Info(msgAdmitted)
}

// logAttempt logs the version and server of an attempt and what the choice was based on.
func (c *chatRun) logAttempt(to target, attempt string) {
	now := time.Now()
	c.router.logOf(c.answer.ID).WithFields(log.Fields{
		"attempt": attempt, "version": to.version.String(), "server": string(to.server.ID), "reason": to.choice.Reason,
		"revision": int64(to.revision), "report_age": reportAge(to.server, now), "in_flight": to.server.InFlight(),
		"guarded": to.restricted, "tried": len(c.failedServers),
	}).Info(msgAttempt)
}

// logAttempt logs the server of an attempt.
func (p *plainRun) logAttempt(server *registry.Server) {
	p.router.logOf(p.answer.ID).WithFields(log.Fields{
		"attempt": p.attempts, "server": string(server.ID), "revision": int64(p.revision),
		"report_age": reportAge(server, time.Now()), "in_flight": server.InFlight(), "guarded": p.restricted,
		"once": p.atMostOnce, "tried": len(p.failedServers),
	}).Info(msgAttempt)
}

// logAnswered logs the origin and the cost of the request's answer.
func (c *chatRun) logAnswered(to target, bill Bill, tail answer.Tail) {
	c.router.logOf(c.answer.ID).WithFields(log.Fields{
		"version": to.version.String(), "server": string(to.server.ID), "attempts": c.attempts + 1,
		"took": roundDuration(bill.At.Sub(c.arrivedAt)), "first_token": roundDuration(c.firstToken), "tokens": int64(tail.Usage.CompletionTokens),
		"cost_microusd": int64(bill.Cost), "bill": string(bill.RequestID), "revision": int64(to.revision),
	}).Info(msgAnswered)
}

// logAnswered logs the origin of the call's answer.
func (p *plainRun) logAnswered(bill Bill) {
	p.router.logOf(p.answer.ID).WithFields(log.Fields{
		"server": string(p.server), "attempts": p.attempts, "took": roundDuration(bill.At.Sub(p.arrivedAt)), "bill": string(bill.RequestID),
		"revision": int64(p.revision),
	}).Info(msgAnswered)
}

// logRejected logs why a request got no answer.
func (r *Router) logRejected(problem *api.Problem) {
	r.logOf(problem.RequestID).WithFields(log.Fields{
		"reason": string(problem.Reason), "outcome": string(problem.Outcome), "status": problem.Status,
		"retry_after": problem.RetryAfter.String(), "detail": problem.Detail,
	}).Info(msgRejected)
}
