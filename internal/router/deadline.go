package router

import (
	"context"
	"time"
)

// maxStretch bounds how long a stream that has begun may go on, in times of the policy's deadline.
const maxStretch = 3

// boundedDeadline returns how long a request may take until its answer is whole or, where it is streamed, begins.
func boundedDeadline(asked, policy time.Duration) time.Duration {
	if asked <= 0 || asked > policy {
		return policy
	}
	return asked
}

// boundedStretch returns how long a request may take whose stream has begun: what was done for it would be lost, and its
// caller left with a part, so that only the caller's own deadline ends it earlier.
func boundedStretch(asked, policy time.Duration) time.Duration {
	longest := maxStretch * policy
	if asked <= 0 || asked > longest {
		return longest
	}
	return asked
}

// runContext returns the context of a run: it ends at its deadline or, if the answer's text has begun by then, at its end.
func (r *Router) runContext(opts startOptions) (context.Context, context.CancelFunc) {
	if !opts.end.After(opts.deadline) {
		return context.WithDeadline(r.root, opts.deadline)
	}
	bounded, release := context.WithDeadline(r.root, opts.end)
	ctx, stop := context.WithCancelCause(bounded)
	timer := time.AfterFunc(time.Until(opts.deadline), func() {
		if opts.answer.Len() == 0 {
			stop(context.DeadlineExceeded)
		}
	})
	return ctx, func() {
		timer.Stop()
		stop(context.Canceled)
		release()
	}
}
