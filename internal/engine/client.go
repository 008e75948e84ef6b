// Package engine is the client of model engines: token streams with resumption, cancellation and load reports.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// headerRequestID carries the generation's id.
	headerRequestID = "X-Request-Id"
	// headerPriority carries the priority by which the engine orders its work.
	headerPriority = "X-Priority"
	// headerResumeOffset requests the chunks of an existing generation from an offset on.
	headerResumeOffset = "X-Resume-Offset"
	// headerRefused carries the RefusalCause of an engine's rejection.
	headerRefused = "X-Refused"
	// maxReportBytes bounds a load report.
	maxReportBytes = 64 << 10
	// maxRefusalBytes bounds how much of a rejection's body is read.
	maxRefusalBytes = 4 << 10
)

// Client calls engines; it is safe for concurrent use.
type Client struct {
	pooled *http.Client
	// unpooled opens a connection for each request: a pooled one may have gone silent while idle.
	unpooled *http.Client
	// idleClosedAt is when the idle connections of pooled were last closed, as Unix time in nanoseconds.
	idleClosedAt atomic.Int64
}

// idleCloseInterval is the minimum interval between two closings of the idle connections.
const idleCloseInterval = time.Second

// NewClient returns a client. The HTTP client pooled reuses connections; unpooled must open a connection for each request. Both must
// have no overall timeout, since streams are long.
func NewClient(pooled, unpooled *http.Client) *Client {
	return &Client{pooled: pooled, unpooled: unpooled}
}

// closeIdleConnections closes the idle pooled connections: if one went silent, others may have as well.
func (c *Client) closeIdleConnections() {
	now := time.Now().UnixNano()
	last := c.idleClosedAt.Load()
	if now-last >= int64(idleCloseInterval) && c.idleClosedAt.CompareAndSwap(last, now) {
		c.pooled.CloseIdleConnections()
	}
}

// StreamOptions describes a generation to start or resume.
type StreamOptions struct {
	// Address is the engine's "host:port".
	Address string
	// Attempt is the generation's id at the engine; a resumption uses the same id.
	Attempt  string
	Version  api.VersionID
	Request  api.ChatRequest
	Priority api.Priority
	// Resume requests the chunks of an existing generation from Offset on, over a new connection, instead of a new generation.
	Resume bool
	Offset int
	// HeaderTimeout bounds the time until the response header.
	HeaderTimeout time.Duration
	// BeforeSend, if set, is called before the first byte of the request is sent.
	BeforeSend func()
}

// Open starts or resumes a generation. Its errors are *ErrRefused (the engine answered without running it),
// *tcp.ErrNotSent (no byte left this node) or *ErrBroken.
func (c *Client) Open(ctx context.Context, opts StreamOptions) (*Stream, error) {
	body := opts.Request
	body.Model = opts.Version.String()
	body.Stream = true
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, Error.Wrap(&tcp.ErrNotSent{Cause: err})
	}
	ctx, cancel := context.WithCancel(ctx)
	sent, beforeSend := false, opts.BeforeSend
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		sent = true
		if beforeSend != nil {
			beforeSend()
		}
	}}
	client := c.pooled
	if opts.Resume {
		c.closeIdleConnections()
		client = c.unpooled
	}
	stream := newStream(opts.Attempt, cancel, opts.HeaderTimeout)
	request := opts.request(raw)
	// http.Client.Do would copy the headers and the URL for redirects, which aren't followed here.
	resp, err := transportOf(client).RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	timedOut := !stream.readTimer.Stop()
	if err != nil {
		cancel()
		if timedOut {
			c.closeIdleConnections()
		}
		return nil, openError(err, sent, timedOut)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, readRefusal(resp)
	}
	stream.receive(resp.Body)
	return stream, nil
}

func transportOf(client *http.Client) http.RoundTripper {
	if client.Transport == nil {
		return http.DefaultTransport
	}
	return client.Transport
}

// Header values shared by all requests; transports don't modify them.
var (
	contentJSON  = []string{"application/json"}
	acceptEvents = []string{"text/event-stream"}
)

// request returns the HTTP request of a generation, without a context. GetBody is not set, so that the transport can't resend the
// request by itself, which would hide a second run.
func (o *StreamOptions) request(body []byte) http.Request {
	// The header values share one backing array to save allocations.
	values := []string{o.Attempt, priorityName(o.Priority), ""}
	header := http.Header{
		"Content-Type": contentJSON, "Accept": acceptEvents, headerRequestID: values[0:1:1], headerPriority: values[1:2:2],
	}
	if o.Resume {
		values[2] = strconv.Itoa(o.Offset)
		header[headerResumeOffset] = values[2:3:3]
	}
	return http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: o.Address, Path: "/v1/chat/completions"}, Header: header,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
}

func priorityName(p api.Priority) string {
	switch p {
	case api.PriorityHigh:
		return "high"
	case api.PriorityLow:
		return "low"
	default:
		return "normal"
	}
}

func openError(err error, sent, timedOut bool) error {
	if !sent {
		return Error.Wrap(&tcp.ErrNotSent{Cause: err})
	}
	return Error.Wrap(&ErrBroken{Cause: err, TimedOut: timedOut || isTimeout(err)})
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func readRefusal(resp *http.Response) error {
	defer resp.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	return Error.Wrap(&ErrRefused{
		Status: resp.StatusCode,
		Cause:  RefusalCause(resp.Header.Get(headerRefused)),
		Detail: string(detail),
	})
}

// Cancel requests the end of a generation at the engine, with best effort: the engine's status is ignored.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/requests/"+attempt, nil)
	if err != nil {
		return Error.Wrap(&tcp.ErrNotSent{Cause: err})
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return Error.Wrap(&ErrBroken{Cause: err})
	}
	return Error.Wrap(resp.Body.Close())
}

// Load fetches an engine's load report over a pooled connection.
func (c *Client) Load(ctx context.Context, address string) (registry.Report, error) {
	return load(ctx, c.pooled, address)
}

// Probe fetches an engine's load report over a new connection, to check whether the engine is alive.
func (c *Client) Probe(ctx context.Context, address string) (registry.Report, error) {
	return load(ctx, c.unpooled, address)
}

func load(ctx context.Context, client *http.Client, address string) (registry.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return registry.Report{}, Error.Wrap(&tcp.ErrNotSent{Cause: err})
	}
	resp, err := client.Do(req)
	if err != nil {
		return registry.Report{}, Error.Wrap(&ErrBroken{Cause: err})
	}
	if resp.StatusCode != http.StatusOK {
		return registry.Report{}, readRefusal(resp)
	}
	defer resp.Body.Close()
	var report registry.Report
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report); err != nil {
		return registry.Report{}, Error.Wrap(&ErrBroken{Cause: err})
	}
	if report.Running < 0 || report.Queued < 0 || report.Slots < 0 || report.TokensPerSecond < 0 {
		return registry.Report{}, Error.Wrap(&ErrRefused{Status: resp.StatusCode, Detail: "load report with negative numbers"})
	}
	return report, nil
}
