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

// wireCall is the state of a call over all its tries.
type wireCall struct {
	method string
	path   string
	header http.Header
	body   []byte
	// repeatable means that a second run does no harm.
	repeatable bool
	// key is the idempotency key of the next try; issued means that a node issued it.
	key    api.IdempotencyKey
	issued bool
	// keySent means that a try with the key may have reached a node, so that the key must not be changed.
	keySent bool
	// needsKey means that the call gets an issued key before it is sent, unless it has a key.
	needsKey bool
	// outcome states what is known about the call's execution over all tries.
	outcome api.Outcome
	// mayHaveRunBefore means that an earlier wireCall of the same call may have run, so that the outcome of the whole is never NotRun.
	mayHaveRunBefore bool
	tries            int
	// timeouts counts the tries that timed out without a response header; they don't count as tries.
	timeouts   int
	triedNodes []api.Address
	node       api.Address
	// pinned is the version of the session token in header.
	pinned api.VersionID
	// session is the call's session; nil for none.
	session *Session
}

// send sends a call until it is answered or another try is unsafe or useless. Its errors wrap *ErrFailed.
func (c *Client) send(ctx context.Context, call *wireCall) (*http.Response, error) {
	if call.outcome == "" {
		call.outcome = api.OutcomeNotRun
	}
	for {
		response, err := c.try(ctx, call)
		if err == nil {
			return response, nil
		}
		wait, retry := c.retryDelay(call, err)
		if !retry || call.tries >= c.opts.MaxTries || !hasTimeFor(ctx, wait) || !sleep.For(ctx, wait) {
			return nil, call.wrapError(err)
		}
	}
}

// wrapError wraps the error of the last try in *ErrFailed. A rejection because the session's version is withdrawn, or no longer allowed
// to the team, ends the session, since none of its later calls could be answered.
func (w *wireCall) wrapError(err error) error {
	var problem *api.Problem
	if errors.As(err, &problem) && (problem.Reason == api.ReasonWithdrawn || problem.Reason == api.ReasonNotAllowed) {
		w.session.clear(api.SessionToken(w.header.Get(api.HeaderSession)))
	}
	outcome := w.outcome
	if w.mayHaveRunBefore && outcome == api.OutcomeNotRun {
		outcome = api.OutcomeMayHaveRun
	}
	return Error.Wrap(&ErrFailed{Outcome: outcome, Tries: w.tries, Cause: err})
}

// try sends the call once, preferably to a node that was not tried before.
func (c *Client) try(ctx context.Context, call *wireCall) (*http.Response, error) {
	call.tries++
	node, err := c.addresses.pick(ctx, call.triedNodes)
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
	return c.sendTo(ctx, call, header)
}

// sendTo sends the call to call.node and returns the response, unless that is a problem document of the node.
func (c *Client) sendTo(ctx context.Context, call *wireCall, header http.Header) (*http.Response, error) {
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
	// Without GetBody the transport can't resend the call by itself, which would hide a lost first answer.
	request.GetBody = nil
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+c.opts.Key)
	setDeadline(ctx, request.Header)
	timer := c.startFirstByteTimer(call, cancel)
	response, err := c.opts.HTTP.Do(request)
	timedOut := timer != nil && !timer.Stop()
	// The transport still resends a call without a body; more than one connection shows that it did.
	call.keySent = call.keySent || conns.Load() > 1
	if err != nil {
		cancel()
		return nil, &ErrConnection{Node: call.node.Node, Sent: conns.Load() > 0, Silent: timedOut, Cause: err}
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
	if response.StatusCode >= http.StatusBadRequest && isProblem(response) {
		defer func() { _ = response.Body.Close() }()
		return nil, readProblem(response)
	}
	return response, nil
}

// startFirstByteTimer cancels a try whose response header doesn't arrive in time; it returns nil if another try would be unsafe. The
// timeout doubles with each timed out try, and is longer for a chat without a key, since another try generates the answer anew.
func (c *Client) startFirstByteTimer(call *wireCall, cancel context.CancelFunc) *time.Timer {
	timeout := c.opts.FirstByte << min(call.timeouts, maxTimeoutDoublings)
	switch {
	case call.key == "" && !call.repeatable:
		return nil
	case call.key == "" && call.needsKey:
		timeout *= keylessTimeoutFactor
	}
	return time.AfterFunc(timeout, cancel)
}

// cancelBody cancels the request's context when the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// setDeadline sets the deadline header to the remaining time of ctx, less a margin in which the node's rejection can arrive.
func setDeadline(ctx context.Context, header http.Header) {
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		remaining = max(remaining-min(remaining/10, maxResponseMargin), time.Millisecond)
		header.Set(api.HeaderDeadline, remaining.Round(time.Millisecond).String())
	}
}

// retryDelay returns whether the call may be sent again after an error, and how long to wait before.
func (c *Client) retryDelay(call *wireCall, err error) (wait time.Duration, retry bool) {
	var broken *ErrConnection
	if errors.As(err, &broken) {
		return c.retryDelayForConnection(call, broken)
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		if call.isKeyUnused(problem) {
			c.dropKeys()
		}
		return call.retryDelayForProblem(problem)
	}
	return 0, false
}

func (c *Client) retryDelayForConnection(call *wireCall, broken *ErrConnection) (time.Duration, bool) {
	if !broken.Sent {
		c.addresses.avoidNode(call.node)
		call.triedNodes = append(call.triedNodes, call.node)
		call.dropUnsentKey()
		return call.backoff(), true
	}
	call.keySent = true
	call.outcome = api.OutcomeMayHaveRun
	if broken.Silent {
		// The connection may stay silent while new ones work, so the next try opens a new connection, to any node.
		c.opts.HTTP.CloseIdleConnections()
		call.timeouts++
		call.tries--
		return 0, true
	}
	call.triedNodes = append(call.triedNodes, call.node)
	return call.backoff(), call.key != "" || call.repeatable
}

// retryDelayForProblem returns the delay before a retry after a problem. A call that did not run may be retried; one that may have run
// only if it is repeatable.
func (w *wireCall) retryDelayForProblem(problem *api.Problem) (time.Duration, bool) {
	if w.isKeyUnused(problem) {
		w.replaceKey()
		return 0, true
	}
	if w.key != "" || w.outcome == api.OutcomeNotRun {
		w.outcome = problem.Outcome
	}
	w.triedNodes = append(w.triedNodes, w.node)
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

// isKeyUnused reports whether a problem states that no node can run the key any more, and no earlier try can have run under it. The
// node that answered can't know that this is the first try with the key, but the client does.
func (w *wireCall) isKeyUnused(problem *api.Problem) bool {
	if !w.issued || w.keySent {
		return false
	}
	return problem.Reason == api.ReasonKeyExpired ||
		problem.Reason == api.ReasonIncarnationGone && problem.Status == http.StatusConflict
}

// dropUnsentKey removes an issued key that was never sent, so that the next node issues its own.
func (w *wireCall) dropUnsentKey() {
	if w.issued && !w.keySent {
		w.key = ""
	}
}

// replaceKey removes an issued key that has a final answer, so that the next try gets a new one.
func (w *wireCall) replaceKey() {
	if w.issued {
		w.key = ""
		w.keySent = false
	}
}

// backoff returns the wait before the next try: it doubles with each try, up to maxBackoff, and half of it is jitter.
func (w *wireCall) backoff() time.Duration {
	wait := min(firstBackoff<<min(max(w.tries-1, 0), 8), maxBackoff)
	return wait/2 + time.Duration(rand.Int64N(int64(wait/2)+1))
}

// hasTimeFor reports whether ctx's deadline is after the wait; otherwise the caller gets the error at once instead.
func hasTimeFor(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > wait
}

// isProblem reports whether a response is a problem document of a node rather than of a plain service, whose answers carry a
// configuration revision.
func isProblem(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), api.ProblemContentType) &&
		response.Header.Get(api.HeaderConfigRevision) == ""
}

// readProblem reads the problem document of a response and returns it as an error; *ErrBadAnswer if there is none.
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
