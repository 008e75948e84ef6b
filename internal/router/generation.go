package router

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/engine"
	"github.com/monsoonrail/monsoonrail/internal/silence"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

// generation is one attempt of a chat completion on one server.
type generation struct {
	run     *chatRun
	to      target
	attempt string
	// server receives the progress of the attempt.
	server ServerRun
	// hedgeTimer is nil unless the attempt may be hedged; it ends the attempt by calling cancel.
	hedgeTimer *hedgeTimer
	cancel     context.CancelFunc
	// out receives the text.
	out *answer.Answer
	// unregisterRun records in the guard that the request no longer runs on the server; nil until a byte of the request was sent.
	unregisterRun func()
	// opened means that the server accepted the generation.
	opened bool
	// next is the offset of the next expected chunk.
	next int
	// dispatchedAt is when the request was sent to the server; firstAt and lastAt are when the first and the last chunk
	// arrived.
	dispatchedAt time.Time
	firstAt      time.Time
	lastAt       time.Time
	// watch detects silent connections.
	watch *silence.Watch
	// firstTokenTimeout is how long to wait for the first token on the first connection.
	firstTokenTimeout time.Duration
	// resumes counts the new connections since the last chunk; resumedAt is when the latest of them was opened.
	resumes   int
	resumedAt time.Time
	// stall tracks a server whose probes time out.
	stall stall
}

func (g *generation) options(resume bool) engine.StreamOptions {
	opts := engine.StreamOptions{
		Address:       g.to.server.Address,
		Attempt:       g.attempt,
		Version:       g.to.version,
		Request:       g.run.plan.call.Request,
		Priority:      g.run.priority,
		Resume:        resume,
		Offset:        g.next,
		HeaderTimeout: g.firstTokenTimeout,
		BeforeSend:    g.registerRun,
	}
	if resume {
		opts.HeaderTimeout = g.stall.probeTimeout()
	}
	return opts
}

// registerRun records in the guard that the request is being sent to the server: if the server crashes from now on, the request may
// be the cause.
func (g *generation) registerRun() {
	g.run.mayHaveRun = true
	if g.unregisterRun == nil {
		g.unregisterRun = g.run.router.opts.Guard.BeginRun(g.to.server.ID, g.run.plan.fingerprint, time.Now())
	}
}

// endRun records in the guard that the request no longer runs on the server.
func (g *generation) endRun() {
	if g.unregisterRun != nil {
		g.unregisterRun()
	}
}

// stream opens the generation and reads it to its end. Where a connection breaks or goes silent, it resumes on a new connection
// to the same server.
func (g *generation) stream(ctx context.Context) error {
	g.dispatchedAt = time.Now()
	prompt := promptTokens(g.run.plan.call.Request)
	g.firstTokenTimeout = g.run.router.firstTokenTimes.timeout(g.firstTokenKey(), prompt)
	g.watch = silence.NewWatch(g.firstTokenTimeout, g.dispatchedAt)
	if err := g.run.recheckTarget(g.to); err != nil {
		return err
	}
	stream, err := g.begin(ctx)
	if err != nil {
		return err
	}
	g.opened = true
	g.hedgeTimer = g.startHedgeTimer()
	for {
		err := g.read(ctx, stream)
		stream.Close()
		if err == nil || !g.canResume(err) || ctx.Err() != nil {
			return err
		}
		if stream, err = g.resume(ctx); err != nil {
			return err
		}
	}
}

// begin opens the generation. If the connection is silent before the header, a new connection shows whether the request
// arrived: if it did, the answer is read from there, otherwise the request is sent again.
func (g *generation) begin(ctx context.Context) (*engine.Stream, error) {
	stream, err := g.open(ctx, false)
	if !engine.IsErrTimeout(err) || ctx.Err() != nil {
		return stream, err
	}
	g.watch.Next(time.Now())
	stream, err = g.resume(ctx)
	if !isGenerationLost(err) || ctx.Err() != nil {
		return stream, err
	}
	g.run.router.opts.Metrics.Counter("resends").Inc(1)
	g.dispatchedAt = time.Now()
	g.server.Resumed(g.dispatchedAt)
	g.watch = silence.NewWatch(g.firstTokenTimeout<<1, g.dispatchedAt)
	g.firstTokenTimeout = headerTimeout
	return g.open(ctx, false)
}

// open is a separate function, so that the request's goroutine doesn't keep its stack frame while it reads.
func (g *generation) open(ctx context.Context, resume bool) (*engine.Stream, error) {
	return g.run.router.opts.Engines.Open(ctx, g.options(resume))
}

// canResume reports whether a new connection to the same server may yield the rest of the answer.
func (g *generation) canResume(err error) bool {
	if !engine.IsErrBroken(err) {
		return false
	}
	if !g.firstAt.IsZero() {
		return g.resumes < maxResumes
	}
	longest := maxFirstTokenTimeout(promptTokens(g.run.plan.call.Request))
	return g.resumes < maxResumesBeforeFirstChunk && time.Since(g.dispatchedAt) < (maxResumes+1)*longest
}

// resume asks the server for the rest of the answer on new connections. A server that doesn't answer on maxProbes of them has
// crashed or stalled: a crash is recorded in the guard, and the request stays with the server while no other server may run
// it.
func (g *generation) resume(ctx context.Context) (*engine.Stream, error) {
	g.run.router.opts.Metrics.Counter("stream_resumes").Inc(1)
	g.resumes++
	var probes probeCount
	for {
		probedAt := time.Now()
		stream, err := g.open(ctx, true)
		if err == nil {
			g.resumedAt = time.Now()
			g.stall.end()
			g.watch.RecordProbe(silence.ProbeNoProgress, g.resumedAt)
			g.run.router.logOf(g.run.answer.ID).WithFields(log.Fields{
				"attempt": g.attempt, "server": string(g.to.server.ID), "offset": g.next, "resumes": g.resumes,
			}).Info(msgResumed)
			if !g.firstAt.IsZero() {
				g.server.Resumed(g.resumedAt)
			}
			return stream, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		if _, refused := engine.AsErrRefused(err); refused {
			return nil, engine.Error.Wrap(&errGenerationLost{cause: err})
		}
		probes.add(time.Since(probedAt), g.stall.probeTimeout())
		if probes.isUnreachable() && !g.mayBeBusy(probedAt) {
			crashed := engine.Error.Wrap(&errServerCrashed{cause: err})
			if !g.keepsWaiting(ctx, probedAt, crashed) {
				return nil, crashed
			}
		}
		if !sleep.For(ctx, retryDelay) {
			return nil, ctx.Err()
		}
	}
}

// mayBeBusy reports whether a server that let a probe time out may still be healthy: one that received the request recently
// gets as much time as one whose tokens were flowing.
func (g *generation) mayBeBusy(probedAt time.Time) bool {
	return g.probeTimedOut(probedAt) && g.firstAt.IsZero() && time.Since(g.dispatchedAt) < silence.MaxSilence
}

// errGenerationLost means that a healthy server no longer holds a generation whose stream broke. The server has not crashed,
// since a crashed server takes longer to restart than the next connection takes to open.
type errGenerationLost struct{ cause error }

func (e *errGenerationLost) Error() string {
	return "engine gave the generation up: " + e.cause.Error()
}
func (e *errGenerationLost) Unwrap() error { return e.cause }

func isGenerationLost(err error) bool {
	var lost *errGenerationLost
	return errors.As(err, &lost)
}

// errServerCrashed means that a server that was running a request doesn't answer on new connections either.
type errServerCrashed struct{ cause error }

func (e *errServerCrashed) Error() string { return "server died: " + e.cause.Error() }
func (e *errServerCrashed) Unwrap() error { return e.cause }

func isServerCrashed(err error) bool {
	var crashed *errServerCrashed
	return errors.As(err, &crashed)
}
