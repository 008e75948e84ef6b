// Package engine speaks with model engines: streams of tokens with resumption, cancellation and load reports.
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
	// headerRequestID names the generation at the engine.
	headerRequestID = "X-Request-Id"
	// headerPriority orders work within the engine.
	headerPriority = "X-Priority"
	// headerResumeOffset asks for the chunks of a known generation from an offset on.
	headerResumeOffset = "X-Resume-Offset"
	// headerRefused names the cause of an engine's refusal.
	headerRefused = "X-Refused"
	// maxReportBytes bounds a load report.
	maxReportBytes = 64 << 10
	// maxRefusalBytes bounds what is read of a refusal's body.
	maxRefusalBytes = 4 << 10
)

// Client speaks with engines over one HTTP client.
type Client struct {
	http *http.Client
	// fresh opens a connection for each request: one that is kept may have gone silent while nobody used it.
	fresh *http.Client
	// distrusted is when the kept connections were closed last, in nanoseconds.
	distrusted atomic.Int64
}

// distrustInterval bounds how often the kept connections are closed.
const distrustInterval = time.Second

// NewClient returns a client over kept connections and one that opens a connection for each request. The HTTP clients must have no
// overall timeout, since streams are long.
func NewClient(kept, fresh *http.Client) *Client { return &Client{http: kept, fresh: fresh} }

// distrust closes the connections that nobody uses: where one went silent, others may have as well.
func (c *Client) distrust() {
	now := time.Now().UnixNano()
	last := c.distrusted.Load()
	if now-last >= int64(distrustInterval) && c.distrusted.CompareAndSwap(last, now) {
		c.http.CloseIdleConnections()
	}
}

// StreamOptions describes a generation.
type StreamOptions struct {
	// Address is the engine's "host:port".
	Address string
	// Attempt names the generation; a resumption uses the same name.
	Attempt  string
	Version  api.VersionID
	Request  api.ChatRequest
	Priority api.Priority
	// Resume asks for a known generation from Offset on instead of a new one, over a new connection.
	Resume bool
	Offset int
	// HeaderTimeout bounds the time to the answer's header.
	HeaderTimeout time.Duration
	// BeforeSend, if set, is called before the first byte of the request is handed to the engine.
	BeforeSend func()
}

// Open begins or resumes a generation. Its errors are *ErrRefused (the engine answered without running it),
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
	sent, wrote := false, opts.BeforeSend
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		sent = true
		if wrote != nil {
			wrote()
		}
	}}
	client := c.http
	if opts.Resume {
		c.distrust()
		client = c.fresh
	}
	stream := newStream(opts.Attempt, cancel, opts.HeaderTimeout)
	request := opts.request(raw)
	// The client would copy the headers and the address for redirections, which aren't followed here.
	resp, err := transportOf(client).RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	timedOut := !stream.silence.Stop()
	if err != nil {
		cancel()
		if timedOut {
			c.distrust()
		}
		return nil, openError(err, sent, timedOut)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, refusal(resp)
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

// Values of headers that are the same for many generations; transports don't change them.
var (
	contentJSON  = []string{"application/json"}
	acceptEvents = []string{"text/event-stream"}
)

// request returns the request of a generation without its context. It has no GetBody, since a retry by the transport itself
// would hide a second run.
func (o *StreamOptions) request(body []byte) http.Request {
	// The values of the headers share one array.
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

func refusal(resp *http.Response) error {
	defer resp.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	return Error.Wrap(&ErrRefused{
		Status: resp.StatusCode,
		Cause:  RefusalCause(resp.Header.Get(headerRefused)),
		Detail: string(detail),
	})
}

// Cancel ends a generation at the engine; it is best effort.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/requests/"+attempt, nil)
	if err != nil {
		return Error.Wrap(&tcp.ErrNotSent{Cause: err})
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Error.Wrap(&ErrBroken{Cause: err})
	}
	return Error.Wrap(resp.Body.Close())
}

// Load asks a server for its load report.
func (c *Client) Load(ctx context.Context, address string) (registry.Report, error) {
	return load(ctx, c.http, address)
}

// Probe asks a server for its load report over a new connection, to learn whether it is alive.
func (c *Client) Probe(ctx context.Context, address string) (registry.Report, error) {
	return load(ctx, c.fresh, address)
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
		return registry.Report{}, refusal(resp)
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
