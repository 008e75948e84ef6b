package client

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// PlainCall describes a call of a plain service.
type PlainCall struct {
	Service api.Service
	Method  string
	// Path begins with "/" and may hold a query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the caller's own key; empty lets the client use an issued one if the call is not Repeatable.
	Key api.IdempotencyKey
	// Repeatable means that a second run does no harm.
	Repeatable bool
	Priority   *api.Priority
}

// PlainAnswer is the answer of a plain service, whatever its status.
type PlainAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// EndsWithConnection means that the service's answer ended with its connection, so that nothing shows whether Body is complete.
	EndsWithConnection bool
	Info               Info
}

// Call calls a plain service. A call that is not repeatable runs at most once, however often it is sent.
func (c *Client) Call(ctx context.Context, call PlainCall) (*PlainAnswer, error) {
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	setPriority(header, call.Priority)
	wire := &wireCall{
		method:     call.Method,
		path:       "/v1/services/" + string(call.Service) + "/" + strings.TrimPrefix(call.Path, "/"),
		header:     header,
		body:       call.Body,
		repeatable: call.Repeatable,
		key:        call.Key,
		needsKey:   !call.Repeatable,
	}
	for {
		response, err := c.send(ctx, wire)
		if err != nil {
			return nil, err
		}
		answer, err := readPlain(response, wire)
		if err == nil {
			return answer, nil
		}
		wait, retry := c.retryDelay(wire, err)
		if !retry || wire.tries >= c.opts.MaxTries || !sleep.For(ctx, wait) {
			return nil, wire.wrapError(err)
		}
	}
}

func readPlain(response *http.Response, wire *wireCall) (*PlainAnswer, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response, wire.node)
	if err != nil {
		return nil, err
	}
	answer := &PlainAnswer{
		Status: response.StatusCode, Header: response.Header, Body: body, EndsWithConnection: framing.OfResponse(response) == framing.Close,
	}
	answer.Info = wire.info(response.Header)
	return answer, nil
}

// readBody reads a response body to its end, up to maxAnswerBytes.
func readBody(response *http.Response, node api.Address) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, &ErrConnection{Node: node.Node, Sent: true, Cause: err}
	}
	if len(body) > maxAnswerBytes {
		return nil, &ErrBadAnswer{Detail: "answer is too large"}
	}
	return body, nil
}

// info returns the Info of an answer with the given header.
func (w *wireCall) info(header http.Header) Info {
	info := Info{Node: w.node.Node, Tries: w.tries, Pinned: w.pinned}
	info.update(header)
	return info
}

func setPriority(header http.Header, priority *api.Priority) {
	if priority != nil {
		header.Set(api.HeaderPriority, priorityName(*priority))
	}
}

func priorityName(priority api.Priority) string {
	switch priority {
	case api.PriorityLow:
		return "low"
	case api.PriorityHigh:
		return "high"
	default:
		return "normal"
	}
}
