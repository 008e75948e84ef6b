package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ChatCall describes a chat completion.
type ChatCall struct {
	Request api.ChatRequest
	// Service names the engine service; empty uses the team's default.
	Service  api.Service
	Class    api.Class
	Priority *api.Priority
	// Session, if set, pins the call to the session's version and is updated with the answer's token.
	Session *Session
	// Key is the caller's own key; empty lets the client use an issued one.
	Key api.IdempotencyKey
}

// ChatAnswer is the complete answer to a ChatCall.
type ChatAnswer struct {
	Completion api.ChatCompletion
	Info       Info
}

// Text returns the answer's text.
func (a *ChatAnswer) Text() string {
	if len(a.Completion.Choices) == 0 {
		return ""
	}
	return a.Completion.Choices[0].Message.Content
}

// Chat makes a call and returns the complete answer. Its errors wrap *ErrFailed or *ErrBadOptions.
func (c *Client) Chat(ctx context.Context, call ChatCall) (*ChatAnswer, error) {
	call.Request.Stream = false
	wire, err := call.newWireCall()
	if err != nil {
		return nil, err
	}
	for {
		response, err := c.send(ctx, wire)
		if err != nil {
			return nil, err
		}
		answer, err := readChat(response, wire)
		if err == nil {
			call.Session.update(response.Header)
			return answer, nil
		}
		wait, retry := c.retryDelay(wire, err)
		if !retry || wire.tries >= c.opts.MaxTries || !sleep.For(ctx, wait) {
			return nil, wire.wrapError(err)
		}
	}
}

// newWireCall returns the call in the form in which it is sent. A chat is repeatable: a second run costs money but does no harm.
func (call ChatCall) newWireCall() (*wireCall, error) {
	body, err := json.Marshal(call.Request)
	if err != nil {
		return nil, Error.Wrap(&ErrBadOptions{Detail: err.Error()})
	}
	header := http.Header{"Content-Type": {"application/json"}}
	token, pinned := call.Session.current()
	setPriority(header, call.Priority)
	for name, value := range map[string]string{
		api.HeaderService: string(call.Service),
		api.HeaderClass:   string(call.Class),
		api.HeaderSession: string(token),
	} {
		if value != "" {
			header.Set(name, value)
		}
	}
	return &wireCall{
		method:     http.MethodPost,
		path:       "/v1/chat/completions",
		header:     header,
		body:       body,
		repeatable: true,
		key:        call.Key,
		needsKey:   call.Key == "",
		pinned:     pinned,
		session:    call.Session,
	}, nil
}

func readChat(response *http.Response, wire *wireCall) (*ChatAnswer, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response, wire.node)
	if err != nil {
		return nil, err
	}
	answer := &ChatAnswer{Info: wire.info(response.Header)}
	if err := json.Unmarshal(body, &answer.Completion); err != nil || len(answer.Completion.Choices) == 0 {
		return nil, &ErrBadAnswer{Detail: "no chat completion"}
	}
	return answer, nil
}
