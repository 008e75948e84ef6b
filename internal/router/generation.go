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

// generation is one run of a request on one server.
type generation struct {
	run     *chatRun
	to      target
	attempt string
	// server is told of the run's progress.
	server ServerRun
	// hedgeTimer is nil unless the generation may be given up for being hedgeTimer; cancel ends it then.
	hedgeTimer *hedgeTimer
	cancel     context.CancelFunc
	// out receives the text.
	out *answer.Answer
	// unregisterRun tells the guard that the request no longer runs on the server; nil until a byte of it was handed over.
	unregisterRun func()
	// opened tells that the server accepted the generation.
	opened bool
	// next is the offset of the chunk that must come next.
	next int
	// dispatchedAt is when the request was handed to the server, firstAt and lastAt the times of the first and last chunk.
	dispatchedAt time.Time
	firstAt      time.Time
	lastAt       time.Time
	// watch finds silent connections.
	watch *silence.Watch
	// firstTokenTimeout is how long the first token is waited for on the first connection.
	firstTokenTimeout time.Duration
	// resumes counts the new connections since the last chunk, resumedAt is when the last was there.
	resumes   int
	resumedAt time.Time
	// stall is that of a server which lets probes run out of time.
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
		Wrote:         g.registerRun,
	}
	if resume {
		opts.HeaderTimeout = g.stall.probeTimeout()
	}
	return opts
}

// registerRun notes that the server gets the request: from now on the request may be what it dies of.
func (g *generation) registerRun() {
	g.run.mayHaveRun = true
	if g.unregisterRun == nil {
		g.unregisterRun = g.run.router.opts.Guard.Begin(g.to.server.ID, g.run.plan.fingerprint, time.Now())
	}
}

// endRun notes that the request no longer runs on the server.
func (g *generation) endRun() {
	if g.unregisterRun != nil {
		g.unregisterRun()
	}
}

// stream opens the generation and reads it to its end, over new connections of the same server where one breaks or goes silent.
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

// begin opens the generation. Where the connection is silent before the header, a new one tells whether the request
// arrived: if so it brings the answer, and if not the request is sent again.
func (g *generation) begin(ctx context.Context) (*engine.Stream, error) {
	stream, err := g.open(ctx, false)
	if !engine.IsErrSilent(err) || ctx.Err() != nil {
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

// open has a frame of its own, so that the request's goroutine keeps a small stack while it reads.
func (g *generation) open(ctx context.Context, resume bool) (*engine.Stream, error) {
	return g.run.router.opts.Engines.Open(ctx, g.options(resume))
}

// canResume reports whether a new connection to the same server may bring the rest.
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

// resume asks the server for the rest on a new connection. A server that doesn't answer on maxProbes of them has died, or has
// stalled: the guard is told the worse, and the request stays with it while no other server may take it.
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
			died := engine.Error.Wrap(&errServerCrashed{cause: err})
			if !g.keepsWaiting(ctx, probedAt, died) {
				return nil, died
			}
		}
		if !sleep.For(ctx, retryDelay) {
			return nil, ctx.Err()
		}
	}
}

// mayBeBusy reports whether a server that let a probe run out of time may still be well: one that has only just got a request
// is given as long as one whose tokens flowed.
func (g *generation) mayBeBusy(probedAt time.Time) bool {
	return g.probeTimedOut(probedAt) && g.firstAt.IsZero() && time.Since(g.dispatchedAt) < silence.MaxSilence
}

// errGenerationLost means that a server which is well no longer holds a generation whose stream broke. A server that died takes
// longer to come back than the next connection takes.
type errGenerationLost struct{ cause error }

func (e *errGenerationLost) Error() string {
	return "engine gave the generation up: " + e.cause.Error()
}
func (e *errGenerationLost) Unwrap() error { return e.cause }

func isGenerationLost(err error) bool {
	var lost *errGenerationLost
	return errors.As(err, &lost)
}

// errServerCrashed means that a server that ran a request doesn't answer on a new connection either.
type errServerCrashed struct{ cause error }

func (e *errServerCrashed) Error() string { return "server died: " + e.cause.Error() }
func (e *errServerCrashed) Unwrap() error { return e.cause }

func isServerCrashed(err error) bool {
	var crashed *errServerCrashed
	return errors.As(err, &crashed)
}
