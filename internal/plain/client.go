// Package plain is the client of plain services: it forwards HTTP calls without interpreting them, within timeouts.
package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// headerRequestID carries the call's id.
	headerRequestID = "X-Request-Id"
	// headerRefused carries the RefusalCause of a service's rejection.
	headerRefused = "X-Refused"
	// blockBytes is the maximum size of a block of an answer's body.
	blockBytes = 16 << 10
)

// Error is the class of every error of the package.
var Error = errs.Class("plain")

// unforwardedHeaders are never forwarded: they are hop-by-hop headers or those of the caller API.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
	api.HeaderIdempotencyKey, api.HeaderSession, api.HeaderDeadline, api.HeaderPriority, api.HeaderClass, api.HeaderService,
}

// ErrBroken means that the connection broke or went silent after the call was sent, so that the service may have run it.
type ErrBroken struct {
	Cause error
	// TimedOut means that no data arrived within the timeout although the connection stayed open.
	TimedOut bool
}

// Error implements error.
func (e *ErrBroken) Error() string { return "connection broke: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrBroken) Unwrap() error { return e.Cause }

// RefusalCause is the cause that a service gives when it rejects a call.
type RefusalCause string

// RefusedLeaving means that the service takes no new work.
const RefusedLeaving RefusalCause = "Leaving"

// ErrRefused means that the service reported that it rejected the call without running it.
type ErrRefused struct {
	Status int
	Cause  RefusalCause
}

// Error implements error.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.Status, e.Cause)
}

// AsErrRefused returns the *ErrRefused in err's chain.
func AsErrRefused(err error) (*ErrRefused, bool) {
	var target *ErrRefused
	return target, errors.As(err, &target)
}

// IsErrBroken reports whether err is an *ErrBroken.
func IsErrBroken(err error) bool {
	var target *ErrBroken
	return errors.As(err, &target)
}

// Client calls plain services; it is safe for concurrent use.
type Client struct {
	pooled *http.Client
	// unpooled opens a connection for each call: a pooled one may have gone silent while idle.
	unpooled *http.Client
}

// NewClient returns a client. The HTTP client pooled reuses connections; unpooled must open a connection for each call. Both must not
// follow redirects and must have no overall timeout.
func NewClient(pooled, unpooled *http.Client) *Client {
	return &Client{pooled: pooled, unpooled: unpooled}
}

// CallOptions describes a call.
type CallOptions struct {
	// Address is the service's "host:port".
	Address string
	// Attempt is the call's id at the service.
	Attempt string
	Method  string
	// Path is the escaped path and begins with "/"; Query is without "?".
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// HeaderTimeout bounds the time until the response header, BlockTimeout the time between two blocks of the body.
	HeaderTimeout time.Duration
	BlockTimeout  time.Duration
	// NewConnection sends the call over a new connection, for a call that must not be sent again if a pooled connection has gone silent.
	NewConnection bool
	// BeforeSend, if set, is called before the first byte of the call is sent.
	BeforeSend func()
}

// Head is the head of an answer.
type Head struct {
	Status int
	Header http.Header
	// EndsWithConnection means that the body has neither a length nor chunks, so that its end doesn't show that it is complete.
	EndsWithConnection bool
}

// Sink receives an answer as it arrives.
type Sink interface {
	// Head is called once, before any Block; an error ends the call.
	Head(head Head) error
	// Block is called with a part of the body, which is valid only during the call of Block; an error ends the call.
	Block(block []byte) error
}

// Call makes one call and passes the answer to sink. Its errors are *tcp.ErrNotSent, *ErrRefused, *ErrBroken, or an error that sink
// returned.
func (c *Client) Call(ctx context.Context, opts CallOptions, sink Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		sent = true
		if opts.BeforeSend != nil {
			opts.BeforeSend()
		}
	}}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), opts)
	if err != nil {
		return Error.Wrap(&tcp.ErrNotSent{Cause: err})
	}
	timer := time.AfterFunc(opts.HeaderTimeout, cancel)
	defer timer.Stop()
	client := c.pooled
	if opts.NewConnection {
		client = c.unpooled
	}
	resp, err := client.Do(req)
	if err != nil && !sent {
		return Error.Wrap(&tcp.ErrNotSent{Cause: err})
	}
	if err != nil {
		return Error.Wrap(&ErrBroken{Cause: err, TimedOut: ctx.Err() != nil})
	}
	defer resp.Body.Close()
	if cause := resp.Header.Get(headerRefused); cause != "" {
		return Error.Wrap(&ErrRefused{Status: resp.StatusCode, Cause: RefusalCause(cause)})
	}
	head := Head{Status: resp.StatusCode, Header: forwardedHeader(resp.Header), EndsWithConnection: framing.OfResponse(resp) == framing.Close}
	if err := sink.Head(head); err != nil {
		return err
	}
	return copyBody(resp.Body, sink, timer, opts.BlockTimeout)
}

func newRequest(ctx context.Context, opts CallOptions) (*http.Request, error) {
	url := "http://" + opts.Address + opts.Path
	if opts.Query != "" {
		url += "?" + opts.Query
	}
	// The reader is wrapped so that GetBody is not set and the transport can't resend the body by itself.
	req, err := http.NewRequestWithContext(ctx, opts.Method, url, io.NopCloser(bytes.NewReader(opts.Body)))
	if err != nil {
		return nil, err
	}
	req.Header = forwardedHeader(opts.Header)
	req.Header.Set(headerRequestID, opts.Attempt)
	req.ContentLength = int64(len(opts.Body))
	if len(opts.Body) == 0 {
		req.Body = http.NoBody
	}
	return req, nil
}

func copyBody(body io.Reader, sink Sink, timer *time.Timer, blockTimeout time.Duration) error {
	block := make([]byte, blockBytes)
	for {
		timer.Reset(blockTimeout)
		n, err := body.Read(block)
		if n > 0 {
			if sinkErr := sink.Block(block[:n]); sinkErr != nil {
				return sinkErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return Error.Wrap(&ErrBroken{Cause: err, TimedOut: errors.Is(err, context.Canceled)})
		}
	}
}

// forwardedHeader returns a copy of a header without unforwardedHeaders and those that its Connection header lists.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	if forwarded == nil {
		forwarded = make(http.Header)
	}
	for _, named := range forwarded.Values("Connection") {
		forwarded.Del(named)
	}
	for _, name := range unforwardedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
