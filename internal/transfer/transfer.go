// Package transfer bounds calls whose answers may be large: by the time to the head of the answer and by pauses within its body. A bound on
// the whole duration would have to know the size of the answer and the bandwidth of the link.
package transfer

import (
	"context"
	"io"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("transfer")

// ErrStalled means that an answer, or the rest of one, did not arrive for a time.
type ErrStalled struct{}

// Error implements error.
func (e *ErrStalled) Error() string { return "answer stalled" }

// Bounds limit one call.
type Bounds struct {
	// Head bounds the time to the first byte of the body.
	Head time.Duration
	// Stall bounds each pause within the body.
	Stall time.Duration
	// Total bounds the whole call, so that a body that trickles in ends as well.
	Total time.Duration
}

// Call is a call in progress; its methods are called by one goroutine.
type Call struct {
	stall  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
	end    context.CancelFunc
}

// Begin returns the context for a call, which ends when a bound is exceeded. End must be called after the call.
func Begin(ctx context.Context, bounds Bounds) (context.Context, *Call) {
	ctx, end := context.WithTimeout(ctx, bounds.Total)
	ctx, cancel := context.WithCancelCause(ctx)
	c := &Call{stall: bounds.Stall, cancel: cancel, end: end}
	c.timer = time.AfterFunc(bounds.Head, func() { cancel(Error.Wrap(&ErrStalled{})) })
	return ctx, c
}

// Body returns a reader of the call's body that records its progress.
func (c *Call) Body(body io.Reader) io.Reader { return &progressReader{call: c, next: body} }

// End releases the resources of the call.
func (c *Call) End() {
	c.timer.Stop()
	c.cancel(nil)
	c.end()
}

// maxReadBytes bounds one read: the reader of a chunked body returns only once it has filled the buffer or reached the end of a chunk.
const maxReadBytes = 2 << 10

// progressReader restarts the timer of its call with each read that returns bytes.
type progressReader struct {
	call *Call
	next io.Reader
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.next.Read(p[:min(len(p), maxReadBytes)])
	if n > 0 {
		r.call.timer.Reset(r.call.stall)
	}
	return n, err
}
