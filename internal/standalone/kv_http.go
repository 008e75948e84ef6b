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

// maxErrorBytes bounds the body that is read of an answer other than 200.
const maxErrorBytes = 64 << 10

// ErrAnswerTooLarge means that an answer was over the bound.
type ErrAnswerTooLarge struct {
	// Limit is the bound in bytes.
	Limit int64
}

// Error implements error.
func (e *ErrAnswerTooLarge) Error() string {
	return fmt.Sprintf("answer is over the bound of %d bytes", e.Limit)
}

// post sends a request and decodes its answer. An error is ErrUnavailable, ErrRejected, ErrTooLarge or
// ErrLeaseNotFound where nothing took effect, and ErrUnknownOutcome otherwise.
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
		g.dropSilent(ctx)
		return kv.Error.Wrap(&kv.ErrUnknownOutcome{Cause: err})
	}
	if err := json.Unmarshal(body, resp); err != nil {
		return kv.Error.Wrap(&kv.ErrUnknownOutcome{Cause: &kv.ErrBadAnswer{Cause: err}})
	}
	return nil
}

// send returns an answer with status 200, whose body the caller closes, or the error of any other.
func (g *gateway) send(ctx context.Context, url string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, kv.Error.Wrap(&kv.ErrUnavailable{Cause: err})
	}
	// A request can only have left if it was given a connection. The transport asks for another one only if
	// it wrote nothing to the last.
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
		g.dropSilent(ctx)
		if !connected.Load() {
			return nil, kv.Error.Wrap(&kv.ErrUnavailable{Cause: err})
		}
		return nil, kv.Error.Wrap(&kv.ErrUnknownOutcome{Cause: err})
	}
	if answer.StatusCode != http.StatusOK {
		defer answer.Body.Close()
		return nil, kv.Error.Wrap(readRefusal(answer))
	}
	return answer, nil
}

// dropSilent closes the idle connections after a timeout, since they may have gone silent as well.
func (g *gateway) dropSilent(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		g.opts.Client.CloseIdleConnections()
	}
}

// readRefusal returns the error of an answer whose status is not 200.
func readRefusal(answer *http.Response) error {
	var refusal kvwire.ErrorResponse
	body, err := readBounded(answer.Body, maxErrorBytes)
	if err == nil {
		// A body that isn't JSON leaves the message empty.
		_ = json.Unmarshal(body, &refusal)
	}
	return refusalError(answer.StatusCode, refusal.Message)
}

func refusalError(status int, message string) error {
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

// asRead turns the unknown outcome of a call that changes nothing into the error of a read.
func asRead(err error) error {
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

// withLease names the lease in an error that says that it has ended.
func withLease(err error, id kv.LeaseID) error {
	if kv.IsErrLeaseNotFound(err) {
		return kv.Error.Wrap(&kv.ErrLeaseNotFound{ID: id})
	}
	return err
}
