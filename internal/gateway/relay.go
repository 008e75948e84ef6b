package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
)

const (
	// pausePatience is how often the route's longest pause passes before a silent stream goes on elsewhere.
	pausePatience = 2
	// defaultPause is the longest pause where the route names none.
	defaultPause = 5 * time.Second
)

// relay hands a stream's events on as they come.
func (r *run) relay(ctx context.Context, member *backend.TrackedServer, answer *upstream.Answer, offered time.Time) verdict {
	events := upstream.NewEventReader(answer.Body)
	control := http.NewResponseController(r.w)
	before := r.events
	for {
		if err := answer.SetReadDeadline(r.silenceEnds()); err != nil {
			return r.streamFailed(ctx, member, err, offered)
		}
		event, err := events.Next()
		isEnd := errors.Is(err, io.EOF)
		if err != nil && !isEnd {
			return r.streamFailed(ctx, member, err, offered)
		}
		if len(event.Raw) > 0 && !r.hasSent(event.ID) {
			if !r.write(control, answer, event, !events.HasBuffered() || isEnd) {
				r.finish("caller left", "")
				return verdictDone
			}
		}
		pace := versionrollout.Pace(time.Since(offered), r.PromptTokens, r.events-before)
		if isEnd {
			r.startAnswer(answer)
			member.RecordSuccess()
			if !r.isSlow {
				r.observe(member, versionrollout.Outcome{Pace: pace})
			}
			r.countOffer(member, offerAnswered)
			r.finish("request answered", "")
			return verdictDone
		}
		r.watchPace(member, pace, r.events-before)
	}
}

// silenceEnds is when a stream without events is taken for broken: at the deadline where no other server may go on with it, as a server
// that is busy goes on late.
func (r *run) silenceEnds() time.Time {
	if !r.route.MayRepeat() || r.runs+1 >= r.route.MaxAttempts {
		return r.deadline
	}
	pause := r.route.MaxPause
	if pause == 0 {
		pause = defaultPause
	}
	until := time.Now().Add(pausePatience * pause)
	if until.After(r.deadline) {
		return r.deadline
	}
	return until
}

// hasSent reports whether the caller has an event already: a stream that goes on may begin with it.
func (r *run) hasSent(id string) bool {
	last, err := strconv.ParseInt(r.lastEvent, 10, 64)
	if err != nil {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err == nil && n <= last
}

// startAnswer sends the head of the answer, once: a stream that goes on at another server keeps the head of its first.
func (r *run) startAnswer(answer *upstream.Answer) {
	if r.hasHead {
		return
	}
	r.hasHead = true
	r.countFirstEvent()
	copyAnswerHeader(r.w.Header(), answer.Header)
	r.w.WriteHeader(answer.Status)
}

// write sends an event, and reports false if the caller has left.
func (r *run) write(control *http.ResponseController, answer *upstream.Answer, event upstream.Event, isLast bool) bool {
	r.startAnswer(answer)
	if _, err := r.w.Write(event.Raw); err != nil {
		return false
	}
	if event.ID != "" {
		r.lastEvent = event.ID
	}
	r.events++
	return !isLast || control.Flush() == nil
}

// streamFailed takes in that a stream broke, fell silent or ran into the deadline.
func (r *run) streamFailed(ctx context.Context, member *backend.TrackedServer, err error, offered time.Time) verdict {
	if ctx.Err() != nil && time.Now().Before(r.deadline) {
		r.finish("caller left", "")
		return verdictDone
	}
	if !time.Now().Before(r.deadline) {
		r.runs++
		r.giveUp(&refusal{status: http.StatusGatewayTimeout, reason: reasonDeadline})
		return verdictDone
	}
	return r.failed(member, upstream.Error.Wrap(&upstream.ErrNoAnswer{Cause: err}), offered)
}
