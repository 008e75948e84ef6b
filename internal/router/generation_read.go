package router

import (
	"context"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/internal/engine"
	"github.com/monsoonrail/monsoonrail/internal/silence"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// read reads chunks until the end, or until the connection breaks or has been silent for too long.
func (g *generation) read(ctx context.Context, stream *engine.Stream) error {
	for {
		chunk, err := g.nextChunk(ctx, stream)
		if err != nil {
			return err
		}
		if !g.hedgeTimer.markAnswered() {
			return &errLate{}
		}
		if chunk.Done {
			return g.finish(ctx, chunk)
		}
		if chunk.Offset < g.next {
			continue
		}
		if chunk.Offset > g.next {
			return engine.Error.Wrap(&engine.ErrBroken{Cause: &engine.ErrBadStream{Detail: "a chunk is missing"}})
		}
		if err := g.acceptChunk(chunk); err != nil {
			return err
		}
	}
}

// nextChunk waits for a chunk for as long as the watch allows.
func (g *generation) nextChunk(ctx context.Context, stream *engine.Stream) (engine.Chunk, error) {
	now := time.Now()
	action, until := g.watch.Next(now)
	if action != silence.ActionWait {
		return engine.Chunk{}, engine.Error.Wrap(&engine.ErrBroken{Cause: context.DeadlineExceeded, TimedOut: true})
	}
	chunk, err := stream.Next(ctx, until.Sub(now))
	if engine.IsErrTimeout(err) {
		// The watch must see that its deadline has passed, so that it treats the resumption as its probe.
		g.watch.Next(time.Now())
	}
	if err == nil {
		g.watch.RecordToken(time.Now())
		g.resumes = 0
	}
	return chunk, err
}

// acceptChunk appends a chunk to the answer, or compares it with the chunk that an earlier attempt appended.
func (g *generation) acceptChunk(chunk engine.Chunk) error {
	g.observe()
	if sent, ok := g.out.Chunk(g.next); ok {
		if string(sent) == chunk.Text {
			g.next++
			return nil
		}
		if problem := g.restart(); problem != nil {
			return problem
		}
		return engine.Error.Wrap(&engine.ErrBroken{Cause: &engine.ErrBadStream{Detail: "text differs from the earlier run"}})
	}
	if g.next == 0 {
		g.out.SetHead(g.run.head(g.to))
	}
	if err := g.out.Append([]byte(chunk.Text)); err != nil {
		return g.run.problem(api.ReasonTooLarge, http.StatusBadGateway, "the answer is too large")
	}
	if g.out == g.run.answer {
		g.run.textVersion = g.to.version
	}
	g.next++
	return nil
}

func (g *generation) observe() {
	g.lastAt = time.Now()
	if g.firstAt.IsZero() {
		g.firstAt = g.lastAt
		g.learnFirstTokenTime()
	}
	g.server.Progressed(g.next+1, g.lastAt)
}

// learnFirstTokenTime records the time to the first token, unless the connection and not the server delayed the token: then the
// token is there at once on a new connection.
func (g *generation) learnFirstTokenTime() {
	if !g.resumedAt.IsZero() && g.firstAt.Sub(g.resumedAt) <= readyChunkWindow {
		g.server.Resumed(g.firstAt)
		return
	}
	g.run.router.firstTokenTimes.observe(g.firstTokenKey(), g.firstAt.Sub(g.dispatchedAt))
}

func (g *generation) firstTokenKey() firstTokenKey {
	return firstTokenKey{version: g.to.version, class: g.run.plan.class}
}

// restart discards the answer's text, which only callers allow that have not received it or that accept restarts. The
// resumption that follows yields the whole text of this attempt.
func (g *generation) restart() *api.Problem {
	call := g.run.plan.call
	if call.Request.Stream && !call.AcceptsRestart {
		return g.run.problem(api.ReasonServerFailed, http.StatusBadGateway,
			"the server failed midway and a second run gave another text")
	}
	g.out.Restart()
	g.next = 0
	return nil
}

func (g *generation) finish(ctx context.Context, end engine.Chunk) error {
	if want := int(end.Usage.CompletionTokens); want > 0 && g.next < want {
		return engine.Error.Wrap(&engine.ErrBroken{Cause: &engine.ErrBadStream{Detail: "the stream ended early"}})
	}
	if g.out.Len() > g.next {
		if problem := g.restart(); problem != nil {
			return problem
		}
		return engine.Error.Wrap(&engine.ErrBroken{Cause: &engine.ErrBadStream{Detail: "text is shorter than the earlier run's"}})
	}
	if g.next == 0 {
		g.out.SetHead(g.run.head(g.to))
	}
	return g.run.generated(ctx, g, answer.Tail{FinishReason: end.FinishReason, Usage: end.Usage})
}

// completed describes a completed attempt.
func (g *generation) completed() *Completed {
	done := &Completed{
		Version: g.to.version, PromptTokens: promptTokens(g.run.plan.call.Request), AnswerTokens: api.Tokens(g.next), Total: time.Since(g.dispatchedAt),
	}
	if !g.firstAt.IsZero() {
		done.FirstToken = g.firstAt.Sub(g.dispatchedAt)
	}
	return done
}
