package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/internal/membudget"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
)

const (
	// maxWholeBytes bounds an answer that is read completely before any of it is sent to the caller.
	maxWholeBytes = 4 << 20
	// maxDrainBytes bounds how much of a discarded answer is read so that its connection can be reused.
	maxDrainBytes = 16 << 10
)

// wholeAnswer is a server's answer that was read to its end.
type wholeAnswer struct {
	status  int
	header  http.Header
	body    []byte
	framing framing.Framing
	// memory holds the body until it is released.
	memory *membudget.Reservation
}

// forwardWhole reads an answer completely before it forwards it, so that a caller never gets a partial answer.
func (d *dispatcher) forwardWhole(ctx context.Context, server *backend.TrackedServer, answer *upstream.Answer, startedAt time.Time) attemptResult {
	read, err := d.readWhole(ctx, server, answer)
	if err != nil {
		return d.attemptFailed(ctx, server, err, startedAt)
	}
	defer read.memory.Release()
	server.RecordSuccess()
	d.answerBegun()
	d.answerCompleted()
	d.observe(server, versionrollout.Outcome{Pace: versionrollout.Pace(time.Since(startedAt), 0, 0)})
	d.sendWhole(read)
	d.countAttempt(server, outcomeAnswered)
	d.finish("request answered", "")
	return resultDone
}

// handleErrorAnswer handles an answer with an error status. A server error is kept for failRequest if the request may be retried at
// another server; any other error is forwarded, unless its status would promise the caller of a request that must not be repeated that it has not run.
func (d *dispatcher) handleErrorAnswer(ctx context.Context, server *backend.TrackedServer, answer *upstream.Answer, info AnswerInfo, startedAt time.Time) attemptResult {
	read, err := d.readWhole(ctx, server, answer)
	if err != nil || !info.IsSigned {
		if err == nil {
			read.memory.Release()
			err = upstream.Error.Wrap(&upstream.ErrNoAnswer{Cause: &errUnsigned{status: answer.Status}})
		}
		return d.attemptFailed(ctx, server, err, startedAt)
	}
	isServerError := read.status >= http.StatusInternalServerError
	d.observe(server, versionrollout.Outcome{IsFailure: isServerError})
	d.countAttempt(server, outcomeFailed)
	if isServerError {
		server.RecordErrorAnswer()
	}
	if isServerError && d.mayRepeat() {
		d.releaseErrorAnswer()
		d.lastErrorAnswer = read
		return resultMayHaveRun
	}
	defer read.memory.Release()
	if d.answer.isHeadSent.Load() || !d.route.MayRepeat() && promisesNotRun(read.status) {
		d.possibleRuns++
		d.failRequest(&rejection{status: http.StatusBadGateway, reason: reasonServerFailure})
		return resultDone
	}
	d.sendWhole(read)
	d.finish("request answered", reasonServerFailure)
	return resultDone
}

// promisesNotRun reports whether callers take an answer's status as the promise that the request has not run, and send it again even if it must run once
// only. A server whose answer doesn't say so may have run the request.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// errUnsigned means that an error answer came from something other than the server, such as a proxy.
type errUnsigned struct{ status int }

func (e *errUnsigned) Error() string { return "unsigned answer with status " + strconv.Itoa(e.status) }

func (d *dispatcher) readWhole(ctx context.Context, server *backend.TrackedServer, answer *upstream.Answer) (*wholeAnswer, error) {
	if !d.isLastAttempt() {
		answer.OnSilence(func() (time.Time, bool) { return d.awaitLonger(ctx) })
		if err := answer.SetReadDeadline(time.Now().Add(d.answerTimeout())); err != nil {
			return nil, upstream.Error.Wrap(&upstream.ErrNoAnswer{Cause: err})
		}
	}
	memory := d.g.opts.AnswerMemory.Reserve(string(server.ID))
	body, err := memory.ReadAll(io.LimitReader(answer.Body, maxWholeBytes))
	d.recordEnd(server, framing.End{Framing: answer.Framing(), Place: framing.NotEvents, Cause: endCause(err)})
	if err == nil && len(body) == maxWholeBytes {
		err = upstream.Error.Wrap(&upstream.ErrEventTooLarge{MaxBytes: maxWholeBytes})
	}
	if err != nil {
		answer.Close()
		memory.Release()
		return nil, upstream.Error.Wrap(&upstream.ErrNoAnswer{Cause: err})
	}
	return &wholeAnswer{status: answer.Status, header: answer.Header, body: body, framing: answer.Framing(), memory: memory}, nil
}

// releaseErrorAnswer gives back the memory of the error answer that was kept.
func (d *dispatcher) releaseErrorAnswer() {
	if d.lastErrorAnswer != nil {
		d.lastErrorAnswer.memory.Release()
	}
}

// sendWhole sends an answer that was read to its end to the caller. One that ended with its connection does so for the caller too, since a
// length would claim that it is complete.
func (d *dispatcher) sendWhole(answer *wholeAnswer) {
	known := answer.framing
	if known == framing.Chunked {
		known = framing.Length
	}
	if known == framing.Length {
		d.answer.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	d.answer.sendHead(answer.status, answer.header, known)
	if _, err := d.answer.w.Write(answer.body); err != nil {
		d.abandon()
	}
	d.answer.end()
}

// drain discards the rest of a short answer, so that its connection can be reused.
func drain(answer *upstream.Answer) {
	// If draining fails, the answer's Close closes the connection.
	_, _ = io.CopyN(io.Discard, answer.Body, maxDrainBytes)
}
