// Package hedge decides whether a request that is late to answer is sent to a second server.
// It does no I/O and holds no clock.
package hedge

import "time"

// Input is all that a decision rests on.
type Input struct {
	// Allowed is the policy's setting for the request.
	Allowed bool
	// Idempotent tells that the request may run twice. A request that may not is never hedged.
	Idempotent bool
	// Suspect tells that a server died while running the request, or might have.
	Suspect bool
	// InRollOut tells that the request is part of a roll-out, whose exposure another run would change.
	InRollOut bool
	// AnswerBegun tells that a part of the answer has come in; from then on silence, not slowness, is watched.
	AnswerBegun bool
	// AlreadyHedged tells that the request was hedged before: one that is late twice is hardly so for its server.
	AlreadyHedged bool
	// LateAfter is the time from dispatch after which a first part is late by what was expected of the server. A percentile of
	// what is usual won't do: some requests are always beyond it, and would use the budget up before a server turns slow.
	LateAfter time.Duration
	// Remaining is the time from dispatch until the deadline; 0 if there is none.
	Remaining time.Duration
}

// Delay returns how long after dispatch a request is hedged if no part of its answer has come; false if it never is. One that
// would be late elsewhere too, by its deadline, isn't. The caller hedges only if another server can take the request and its
// retry budget pays for it, and bills one answer.
func Delay(in Input) (time.Duration, bool) {
	if !in.Allowed || !in.Idempotent || in.Suspect || in.InRollOut || in.AnswerBegun || in.AlreadyHedged {
		return 0, false
	}
	return in.LateAfter, in.Remaining == 0 || in.Remaining > 2*in.LateAfter
}
