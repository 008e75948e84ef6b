// Package plain speaks with plain services: HTTP calls handed on as they are, within bounds.
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

	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// headerRequestID names the call at the service.
	headerRequestID = "X-Request-Id"
	// headerRefused names the cause of a refusal.
	headerRefused = "X-Refused"
	// blockBytes is the most that one block of an answer's body holds.
	blockBytes = 16 << 10
)

// Error is the class of every error of the package.
var Error = errs.Class("plain")

// hopHeaders are between two neighbours only, or are the router's own, and are never handed on.
var hopHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
	api.HeaderIdempotencyKey, api.HeaderSession, api.HeaderDeadline, api.HeaderPriority, api.HeaderClass, api.HeaderService,
}

// ErrBroken means that the connection broke or went silent after the call was sent.
type ErrBroken struct {
	Cause error
	// TimedOut tells that nothing came for too long, although the connection stayed open.
	TimedOut bool
}

// Error implements error.
func (e *ErrBroken) Error() string { return "connection broke: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrBroken) Unwrap() error { return e.Cause }

// RefusalCause is the cause that a service names when it refuses a call.
type RefusalCause string

// RefusedLeaving is the cause of a service that takes no new work.
const RefusedLeaving RefusalCause = "Leaving"

// ErrRefused means that the service says that it did not take the call.
type ErrRefused struct {
	Status int
	Cause  RefusalCause
}

// Error implements error.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.Status, e.Cause)
}

// AsErrRefused returns the refusal that err holds.
func AsErrRefused(err error) (*ErrRefused, bool) {
	var target *ErrRefused
	return target, errors.As(err, &target)
}

// IsErrBroken reports whether err says that the connection broke or went silent after the call was sent.
func IsErrBroken(err error) bool {
	var target *ErrBroken
	return errors.As(err, &target)
}

// Client speaks with plain services over one HTTP client.
type Client struct {
	http *http.Client
	// fresh opens a connection for each call: one that is kept may have gone silent while nobody used it.
	fresh *http.Client
}

// NewClient returns a client over kept connections and one that opens a connection for each call. The HTTP clients must not follow
// redirects and must have no overall timeout.
func NewClient(kept, fresh *http.Client) *Client { return &Client{http: kept, fresh: fresh} }

// CallOptions describes a call.
type CallOptions struct {
	Address string
	// Attempt names the call at the service.
	Attempt string
	Method  string
	// Path begins with "/" and is still escaped; Query has no "?".
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// HeaderTimeout bounds the time to the answer's header, and BlockTimeout that between blocks.
	HeaderTimeout time.Duration
	BlockTimeout  time.Duration
	// NewConnection asks for a new connection, for a call that can't be sent again if a kept one turns out to be silent.
	NewConnection bool
	// BeforeSend, if set, is called before the first byte of the call is handed to the service.
	BeforeSend func()
}

// Sink takes an answer as it comes.
type Sink interface {
	// Head is called once, before any Block; an error ends the call.
	Head(status int, header http.Header) error
	// Block is called with bytes that it must copy; an error ends the call.
	Block(block []byte) error
}

// Call makes one call and hands the answer to sink. Its errors are *tcp.ErrNotSent, *ErrRefused,
// *ErrBroken, or what sink returned.
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
	client := c.http
	if opts.NewConnection {
		client = c.fresh
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
	if err := sink.Head(resp.StatusCode, handedOn(resp.Header)); err != nil {
		return err
	}
	return copyBody(resp.Body, sink, timer, opts.BlockTimeout)
}

func newRequest(ctx context.Context, opts CallOptions) (*http.Request, error) {
	url := "http://" + opts.Address + opts.Path
	if opts.Query != "" {
		url += "?" + opts.Query
	}
	// The reader is wrapped so that the transport can't rewind the body and send it a second time by itself.
	req, err := http.NewRequestWithContext(ctx, opts.Method, url, io.NopCloser(bytes.NewReader(opts.Body)))
	if err != nil {
		return nil, err
	}
	req.Header = handedOn(opts.Header)
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

// handedOn returns a copy of the headers without those that are never handed on.
func handedOn(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, named := range kept.Values("Connection") {
		kept.Del(named)
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}
