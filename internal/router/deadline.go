package router

import (
	"context"
	"time"
)

// maxStreamFactor bounds the duration of a stream that has begun, as a multiple of the policy's deadline.
const maxStreamFactor = 3

// boundedTimeout returns how long a request may take until its answer is complete or, if it is streamed, has begun.
func boundedTimeout(requested, policy time.Duration) time.Duration {
	if requested <= 0 || requested > policy {
		return policy
	}
	return requested
}

// boundedStreamDuration returns how long a request may take once its stream has begun. Ending it would waste the work done and
// leave the caller with a partial answer, so that only the caller's own deadline ends it earlier.
func boundedStreamDuration(requested, policy time.Duration) time.Duration {
	longest := maxStreamFactor * policy
	if requested <= 0 || requested > longest {
		return longest
	}
	return requested
}

// runContext returns the context of a run. It ends at the deadline or, if the answer's text has begun by then, at the stream's
// deadline.
func (r *Router) runContext(opts startOptions) (context.Context, context.CancelFunc) {
	if !opts.streamDeadline.After(opts.deadline) {
		return context.WithDeadline(r.root, opts.deadline)
	}
	bounded, release := context.WithDeadline(r.root, opts.streamDeadline)
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
