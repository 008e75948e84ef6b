package standalone

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/monsoonrail/monsoonrail/internal/kv"

	"github.com/monsoonrail/monsoonrail/internal/standalone/kvwire"
)

// maxErrorBytes bounds the body that is read of an answer whose status is not 200.
const maxErrorBytes = 64 << 10

// ErrAnswerTooLarge means that an answer was larger than the limit.
type ErrAnswerTooLarge struct {
	// Limit is the limit in bytes.
	Limit int64
}

// Error implements error.
func (e *ErrAnswerTooLarge) Error() string {
	return fmt.Sprintf("answer is over the bound of %d bytes", e.Limit)
}

// post sends a request and decodes its answer into resp. The error is ErrUnavailable, ErrRejected, ErrTooLarge or
// ErrLeaseNotFound if nothing took effect, and ErrUnknownOutcome otherwise.
func (g *gateway) post(ctx context.Context, url string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Timeout)
	defer cancel()
	answer, err := g.send(ctx, url, req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := readBounded(answer.Body, g.opts.MaxAnswerBytes)
	if err != nil {
		g.closeIdleAfterTimeout(ctx)
		return kv.Error.Wrap(&kv.ErrUnknownOutcome{Cause: err})
	}
	if err := json.Unmarshal(body, resp); err != nil {
		return kv.Error.Wrap(&kv.ErrUnknownOutcome{Cause: &kv.ErrBadAnswer{Cause: err}})
	}
	return nil
}

// send returns an answer with status 200, whose body the caller must close; any other status is an error.
func (g *gateway) send(ctx context.Context, url string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, kv.Error.Wrap(&kv.ErrUnavailable{Cause: err})
	}
	// A request can only have been sent if it got a connection. The transport requests another connection only if it wrote
	// nothing to the previous one.
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	post, err := http.NewRequestWithContext(traced, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, kv.Error.Wrap(&kv.ErrUnavailable{Cause: err})
	}
	post.Header.Set("Content-Type", "application/json")
	answer, err := g.opts.Client.Do(post)
	if err != nil {
		g.closeIdleAfterTimeout(ctx)
		if !connected.Load() {
			return nil, kv.Error.Wrap(&kv.ErrUnavailable{Cause: err})
		}
		return nil, kv.Error.Wrap(&kv.ErrUnknownOutcome{Cause: err})
	}
	if answer.StatusCode != http.StatusOK {
		defer answer.Body.Close()
		return nil, kv.Error.Wrap(readErrorAnswer(answer))
	}
	return answer, nil
}

// closeIdleAfterTimeout closes the idle connections if ctx ended by its deadline, since they may have gone silent as well.
func (g *gateway) closeIdleAfterTimeout(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		g.opts.Client.CloseIdleConnections()
	}
}

// readErrorAnswer returns the error of an answer whose status is not 200.
func readErrorAnswer(answer *http.Response) error {
	var response kvwire.ErrorResponse
	body, err := readBounded(answer.Body, maxErrorBytes)
	if err == nil {
		// A body that isn't JSON leaves the message empty.
		_ = json.Unmarshal(body, &response)
	}
	return errorForStatus(answer.StatusCode, response.Message)
}

func errorForStatus(status int, message string) error {
	rejected := &kv.ErrRejected{Status: status, Message: message}
	switch {
	case status == http.StatusTooManyRequests || message == kvwire.MessageNoLeader:
		return &kv.ErrUnavailable{Cause: rejected}
	case message == kvwire.MessageLeaseNotFound:
		return &kv.ErrLeaseNotFound{}
	case message == kvwire.MessageTooLarge:
		return &kv.ErrTooLarge{}
	case status >= http.StatusInternalServerError:
		return &kv.ErrUnknownOutcome{Cause: rejected}
	}
	return rejected
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &ErrAnswerTooLarge{Limit: limit}
	}
	return body, nil
}

// asReadError converts the unknown outcome of a call without side effects: to ErrBadAnswer or ErrUnavailable.
func asReadError(err error) error {
	var bad *kv.ErrBadAnswer
	var large *ErrAnswerTooLarge
	switch {
	case errors.As(err, &bad):
		return kv.Error.Wrap(bad)
	case errors.As(err, &large):
		return kv.Error.Wrap(&kv.ErrBadAnswer{Cause: large})
	}
	return kv.Error.Wrap(&kv.ErrUnavailable{Cause: err})
}

// withLease adds the lease's id to ErrLeaseNotFound; it returns other errors unchanged.
func withLease(err error, id kv.LeaseID) error {
	if kv.IsErrLeaseNotFound(err) {
		return kv.Error.Wrap(&kv.ErrLeaseNotFound{ID: id})
	}
	return err
}
