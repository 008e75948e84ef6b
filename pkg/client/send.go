package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// wireCall is a call on its way, over all tries.
type wireCall struct {
	method string
	path   string
	header http.Header
	body   []byte
	// repeatable tells that a second run does no harm.
	repeatable bool
	// key is the idempotency key of the next try; issued tells that a node issued it.
	key    api.IdempotencyKey
	issued bool
	// keySent tells that a try with the key may have reached a node, so that the key must not be changed.
	keySent bool
	// wantsKey asks for an issued key before the first try.
	wantsKey bool
	// outcome is what is known over all tries.
	outcome api.Outcome
	// ranBefore tells that an answer of the call had begun under another key, so that NotRun is false whatever becomes of this one.
	ranBefore bool
	tries     int
	silent    int
	tried     []api.Address
	node      api.Address
	// pinned is the version of the session token in header.
	pinned api.VersionID
	// session is the one that the call belongs to; nil for none.
	session *Session
}

// send sends a call until it is answered or another try would be unsafe or useless.
func (c *Client) send(ctx context.Context, call *wireCall) (*http.Response, error) {
	if call.outcome == "" {
		call.outcome = api.OutcomeNotRun
	}
	for {
		response, err := c.try(ctx, call)
		if err == nil {
			return response, nil
		}
		wait, again := c.judge(call, err)
		if !again || call.tries >= c.opts.MaxTries || !fits(ctx, wait) || !sleep.For(ctx, wait) {
			return nil, call.failed(err)
		}
	}
}

// failed wraps the error of the last try. A refusal because the session's version is withdrawn, or no longer allowed to the
// team, ends the session: no later call of it could be answered.
func (w *wireCall) failed(err error) error {
	var problem *api.Problem
	if errors.As(err, &problem) && (problem.Reason == api.ReasonWithdrawn || problem.Reason == api.ReasonNotAllowed) {
		w.session.end(api.SessionToken(w.header.Get(api.HeaderSession)))
	}
	outcome := w.outcome
	if w.ranBefore && outcome == api.OutcomeNotRun {
		outcome = api.OutcomeMayHaveRun
	}
	return Error.Wrap(&ErrFailed{Outcome: outcome, Tries: w.tries, Cause: err})
}

// try sends the call once, to a node that was not tried before if there is one.
func (c *Client) try(ctx context.Context, call *wireCall) (*http.Response, error) {
	call.tries++
	node, err := c.book.pick(ctx, call.tried)
	if err != nil {
		return nil, err
	}
	call.node = node
	if err := c.ensureKey(ctx, call); err != nil {
		return nil, err
	}
	header := call.header.Clone()
	if call.key != "" {
		header.Set(api.HeaderIdempotencyKey, string(call.key))
	}
	return c.once(ctx, call, header)
}

// once sends the call to call.node and returns its answer if its status tells success.
func (c *Client) once(ctx context.Context, call *wireCall, header http.Header) (*http.Response, error) {
	var conns atomic.Int32
	ctx, cancel := context.WithCancel(ctx)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { conns.Add(1) },
	})
	request, err := http.NewRequestWithContext(traced, call.method, call.node.URL+call.path, bytes.NewReader(call.body))
	if err != nil {
		cancel()
		return nil, &ErrConnection{Node: call.node.Node, Cause: err}
	}
	// The transport must not send the call again by itself: a lost first answer would stay hidden.
	request.GetBody = nil
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+c.opts.Key)
	setDeadline(ctx, request.Header)
	silence := c.watchFirstByte(call, cancel)
	response, err := c.opts.HTTP.Do(request)
	wasSilent := silence != nil && !silence.Stop()
	// It still does for a call without a body.
	call.keySent = call.keySent || conns.Load() > 1
	if err != nil {
		cancel()
		return nil, &ErrConnection{Node: call.node.Node, Sent: conns.Load() > 0, Silent: wasSilent, Cause: err}
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
	if response.StatusCode >= http.StatusBadRequest && isProblem(response) {
		defer func() { _ = response.Body.Close() }()
		return nil, readProblem(response)
	}
	return response, nil
}

// watchFirstByte gives up a try that stays without an answer too long, if another one is safe. Each further try waits
// longer, and a chat without a key longer still, since it generates the answer anew.
func (c *Client) watchFirstByte(call *wireCall, cancel context.CancelFunc) *time.Timer {
	patience := c.opts.FirstByte << min(call.silent, maxDoublings)
	switch {
	case call.key == "" && !call.repeatable:
		return nil
	case call.key == "" && call.wantsKey:
		patience *= keylessPatience
	}
	return time.AfterFunc(patience, cancel)
}

// cancelBody ends the request's context with its body.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// setDeadline tells the node how long the caller waits, less the time that a refusal takes on its way back.
func setDeadline(ctx context.Context, header http.Header) {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		left = max(left-min(left/10, wayBack), time.Millisecond)
		header.Set(api.HeaderDeadline, left.Round(time.Millisecond).String())
	}
}

// judge decides whether the call may be sent again after an error, and when.
func (c *Client) judge(call *wireCall, err error) (wait time.Duration, again bool) {
	var broken *ErrConnection
	if errors.As(err, &broken) {
		return c.judgeConnection(call, broken)
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		if call.isKeyUnused(problem) {
			c.dropKeys()
		}
		return call.judgeProblem(problem)
	}
	return 0, false
}

func (c *Client) judgeConnection(call *wireCall, broken *ErrConnection) (time.Duration, bool) {
	if !broken.Sent {
		c.book.avoidNode(call.node)
		call.tried = append(call.tried, call.node)
		call.dropUnsentKey()
		return call.backoff(), true
	}
	call.keySent = true
	call.outcome = api.OutcomeMayHaveRun
	if broken.Silent {
		// The connection may be silent for good while new ones work: the next try opens one, to any node.
		c.opts.HTTP.CloseIdleConnections()
		call.silent++
		call.tries--
		return 0, true
	}
	call.tried = append(call.tried, call.node)
	return call.backoff(), call.key != "" || call.repeatable
}

// judgeProblem decides by the problem's outcome: what didn't run may be sent again, what may have run only if
// that does no harm.
func (w *wireCall) judgeProblem(problem *api.Problem) (time.Duration, bool) {
	if w.isKeyUnused(problem) {
		w.replaceKey()
		return 0, true
	}
	if w.key != "" || w.outcome == api.OutcomeNotRun {
		w.outcome = problem.Outcome
	}
	w.tried = append(w.tried, w.node)
	if problem.Outcome != api.OutcomeNotRun && !w.repeatable {
		return 0, false
	}
	switch problem.Reason {
	case api.ReasonKeyExpired, api.ReasonIncarnationGone:
		w.replaceKey()
		return 0, w.issued
	case api.ReasonDraining:
		w.replaceKey()
		return w.backoff(), true
	case api.ReasonServerFailed, api.ReasonInternal:
		w.replaceKey()
		return max(problem.RetryAfter, w.backoff()), w.repeatable || problem.RetryAfter > 0
	}
	return max(problem.RetryAfter, w.backoff()), problem.RetryAfter > 0
}

// isKeyUnused reports whether a problem says that no node runs the key any more, and the call never had another chance
// to run under it: the node that answered can't know that the key is used for the first time, but the caller does.
func (w *wireCall) isKeyUnused(problem *api.Problem) bool {
	if !w.issued || w.keySent {
		return false
	}
	return problem.Reason == api.ReasonKeyExpired ||
		problem.Reason == api.ReasonIncarnationGone && problem.Status == http.StatusConflict
}

// dropUnsentKey lets the next node issue a key of its own.
func (w *wireCall) dropUnsentKey() {
	if w.issued && !w.keySent {
		w.key = ""
	}
}

// replaceKey asks for a new issued key: the old one has a final answer.
func (w *wireCall) replaceKey() {
	if w.issued {
		w.key = ""
		w.keySent = false
	}
}

// backoff doubles with each try and has a random part.
func (w *wireCall) backoff() time.Duration {
	wait := min(firstBackoff<<min(max(w.tries-1, 0), 8), maxBackoff)
	return wait/2 + time.Duration(rand.Int64N(int64(wait/2)+1))
}

// fits reports whether there is time left after a wait; else the caller is better off with the refusal at once.
func fits(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > wait
}

// isProblem tells a node's problem document from one that a plain service answered with.
func isProblem(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), api.ProblemContentType) &&
		response.Header.Get(api.HeaderConfigRevision) == ""
}

// readProblem reads the problem document of an answer.
func readProblem(response *http.Response) error {
	var problem api.Problem
	err := json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(&problem)
	if err != nil || !isProblem(response) || problem.Outcome == "" {
		return &ErrBadAnswer{Detail: "status " + response.Status + " without a problem document"}
	}
	problem.RetryAfter = retryAfter(response.Header)
	return &problem
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
