package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
)

const (
	// silenceFactor times the route's maximum pause is the time without events after which a stream is resumed at another server.
	silenceFactor = 2
	// defaultMaxPause is the maximum pause between events if the route sets none.
	defaultMaxPause = 5 * time.Second
)

// relay forwards the events of a stream to the caller as they arrive.
func (d *dispatcher) relay(ctx context.Context, server *backend.TrackedServer, answer *upstream.Answer, startedAt time.Time) attemptResult {
	memory := d.g.opts.AnswerMemory.Reserve(string(server.ID))
	defer memory.Release()
	// The connection's unread bytes are memory, too: it is closed before other answers may take the memory.
	defer answer.Close()
	progressAt := time.Now()
	answer.OnSilence(func() (time.Time, bool) { return d.awaitEvents(ctx, server, progressAt) })
	events := upstream.NewEventReader(answer.Body, memory)
	eventsBefore := d.eventsSent
	isProgress := true
	for {
		// Only an event with an id is progress: a server in trouble may send other bytes without end.
		if isProgress {
			progressAt = time.Now()
			if err := answer.SetReadDeadline(d.silenceDeadline()); err != nil {
				return d.streamFailed(ctx, server, err, startedAt)
			}
		}
		event, err := events.Next()
		if err != nil {
			end := d.streamEnd(answer, event, err)
			d.recordEnd(server, end)
			if end.Verdict() == framing.Broken {
				return d.streamFailed(ctx, server, brokenOff(err), startedAt)
			}
			return d.streamEnded(ctx, server, answer, end.Verdict(), startedAt, eventsBefore)
		}
		isProgress = event.ID != ""
		if !d.wasSent(event.ID) && !d.writeEvent(answer, event, !events.HasBufferedEvent()) {
			d.abandon()
		}
		d.watchPace(server, d.pace(startedAt, eventsBefore), d.eventsSent-eventsBefore)
	}
}

// pace returns the pace of the current attempt. eventsBefore is the number of events that earlier attempts had sent.
func (d *dispatcher) pace(startedAt time.Time, eventsBefore int) float64 {
	return versionrollout.Pace(time.Since(startedAt), d.believedPromptTokens(), d.eventsSent-eventsBefore)
}

// brokenOff returns the error of an answer that was broken off, whose last read returned err.
func brokenOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// streamEnded handles the end of a server's stream that was not broken off.
func (d *dispatcher) streamEnded(
	ctx context.Context, server *backend.TrackedServer, answer *upstream.Answer, verdict framing.Verdict, startedAt time.Time, eventsBefore int,
) attemptResult {
	d.sendHead(answer)
	server.RecordSuccess()
	d.observeEvents(server, d.eventsSent-eventsBefore)
	if !d.isAnswerSlow {
		d.observe(server, versionrollout.Outcome{Pace: d.pace(startedAt, eventsBefore)})
	}
	if verdict == framing.Complete {
		d.answerCompleted()
		d.countAttempt(server, outcomeAnswered)
		d.endStream(verdict, "")
		return resultDone
	}
	d.countAttempt(server, outcomeUnconfirmed)
	// Two servers in a row that have no further events are enough, unless the caller's framing has to show that the stream is complete.
	isEnough := d.isUnconfirmed && d.mayEndUnconfirmed()
	d.isUnconfirmed = true
	if d.mayRepeat() && d.lastEventID != "" && !isEnough {
		d.countCrash(ctx, server, io.EOF, startedAt)
		return resultUnconfirmed
	}
	if isEnough {
		d.answerCompleted()
	}
	d.endStream(verdict, "")
	return resultDone
}

// mayEndUnconfirmed reports whether the answer to the caller may end where nothing shows that it is complete.
func (d *dispatcher) mayEndUnconfirmed() bool {
	return framing.MayEnd(framing.Unconfirmed, d.answer.framing)
}

// endStream ends the answer to the caller after the last event, or aborts it if a proper end would claim more than the verdict.
func (d *dispatcher) endStream(verdict framing.Verdict, reason string) {
	if !framing.MayEnd(verdict, d.answer.framing) {
		d.finish("stream broken off", reasonUnconfirmed)
		d.answer.abort()
	}
	d.answer.end()
	d.finish("request answered", reason)
}

// silenceDeadline returns the time at which a stream without further events counts as broken. If no other server may resume the stream,
// that is the request's deadline, since a busy server may still send events late.
func (d *dispatcher) silenceDeadline() time.Time {
	if d.isLastAttempt() {
		return d.deadline
	}
	until := time.Now().Add(d.silence())
	if until.After(d.deadline) {
		return d.deadline
	}
	return until
}

// silence returns the time without events that is unusually long.
func (d *dispatcher) silence() time.Duration {
	return silenceFactor * cmp.Or(d.route.MaxPause, defaultMaxPause)
}

// wasSent reports whether the event was already sent to the caller; a resumed stream may begin with such events.
func (d *dispatcher) wasSent(id string) bool {
	last, err := strconv.ParseInt(d.lastEventID, 10, 64)
	if err != nil {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err == nil && n <= last
}

// sendHead sends the head of the answer once: a stream that is resumed at another server keeps the head from the first one.
func (d *dispatcher) sendHead(answer *upstream.Answer) {
	if d.answer.isHeadSent.Load() {
		return
	}
	d.countFirstEvent()
	d.streamType = mediaType(answer.Header)
	server := answer.Framing()
	if server == framing.Length {
		// A length would have to be kept to also by the servers at which the stream is resumed.
		server = framing.Chunked
	}
	d.answer.sendHead(answer.Status, answer.Header, server)
}

// mediaType returns the media type of a body in lower case without parameters; empty if the header names none.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// checkResumed returns an error if an answer is no continuation of the stream that was begun, such as a page with an error's text and a success
// status. An answer that names no media type may be one.
func (d *dispatcher) checkResumed(header http.Header) error {
	got := mediaType(header)
	if !d.answer.isHeadSent.Load() || got == "" || d.streamType == "" || got == d.streamType {
		return nil
	}
	return &errNotResumed{sent: d.streamType, got: got}
}

// errNotResumed means that the body of an answer is not a continuation of the stream that was begun.
type errNotResumed struct{ sent, got string }

// Error implements error.
func (e *errNotResumed) Error() string {
	return fmt.Sprintf("media type %q instead of %q", e.got, e.sent)
}

// writeEvent sends an event to the caller, and reports false if the caller has disconnected.
func (d *dispatcher) writeEvent(answer *upstream.Answer, event upstream.Event, flush bool) bool {
	d.answerBegun()
	d.sendHead(answer)
	d.isUnconfirmed = false
	if _, err := d.answer.w.Write(event.Raw); err != nil {
		return false
	}
	if event.ID != "" {
		d.lastEventID = event.ID
	}
	d.hasSentDataWithoutID = event.ID == "" && (event.HasData || d.hasSentDataWithoutID)
	d.eventsSent++
	return !flush || d.answer.control.Flush() == nil
}

// streamFailed handles a stream that broke off, paused for too long or reached the deadline.
func (d *dispatcher) streamFailed(ctx context.Context, server *backend.TrackedServer, err error, startedAt time.Time) attemptResult {
	if ctx.Err() != nil && !isEndedByStop(ctx) && time.Now().Before(d.deadline) {
		d.abandon()
	}
	if !time.Now().Before(d.deadline) {
		d.countCrash(ctx, server, err, startedAt)
		d.possibleRuns++
		d.failRequest(&rejection{status: http.StatusGatewayTimeout, reason: reasonDeadline})
		return resultDone
	}
	return d.attemptFailed(ctx, server, upstream.Error.Wrap(&upstream.ErrNoAnswer{Cause: err}), startedAt)
}
