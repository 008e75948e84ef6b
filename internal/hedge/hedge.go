// Package hedge decides whether a request that is late to answer is sent to a second server.
// It does no I/O and holds no clock.
package hedge

import "time"

// Input holds everything that the decision depends on.
type Input struct {
	// Allowed is the policy's setting for the request.
	Allowed bool
	// Idempotent means that the request may run twice. A request that may not is never hedged.
	Idempotent bool
	// Suspect means that a server crashed while it ran the request, or may have.
	Suspect bool
	// InRollOut means that the request is part of a roll-out, whose exposure another attempt would change.
	InRollOut bool
	// AnswerBegun means that part of the answer has arrived; from then on silent connections are detected instead of slow
	// answers.
	AnswerBegun bool
	// AlreadyHedged means that the request was hedged before: a request that is late twice is hardly late because of its
	// server.
	AlreadyHedged bool
	// LateAfter is the time from dispatch after which the first part of the answer is later than expected of the server. A
	// percentile of the usual time is unsuitable: some requests always exceed it and would exhaust the retry budget before a
	// server becomes slow.
	LateAfter time.Duration
	// Remaining is the time from dispatch to the deadline; 0 means no deadline.
	Remaining time.Duration
}

// Delay returns the delay after dispatch at which a request is hedged if no part of its answer has arrived; false if it is
// never hedged. A request that would miss its deadline on another server too isn't hedged. The caller hedges only if another
// server can take the request and its retry budget pays for it, and bills one answer.
func Delay(in Input) (time.Duration, bool) {
	if !in.Allowed || !in.Idempotent || in.Suspect || in.InRollOut || in.AnswerBegun || in.AlreadyHedged {
		return 0, false
	}
	return in.LateAfter, in.Remaining == 0 || in.Remaining > 2*in.LateAfter
}
