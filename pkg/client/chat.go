package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ChatCall is a chat completion.
type ChatCall struct {
	Request api.ChatRequest
	// Service names the engine service where the team has no usual one.
	Service  api.Service
	Class    api.Class
	Priority *api.Priority
	// Session, if set, pins the call to the session's version and takes in the new token.
	Session *Session
	// Key is the caller's own key; empty lets the client use an issued one.
	Key api.IdempotencyKey
}

// ChatAnswer is a whole answer.
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

// Chat asks for a whole answer.
func (c *Client) Chat(ctx context.Context, call ChatCall) (*ChatAnswer, error) {
	call.Request.Stream = false
	wire, err := call.wire()
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
			call.Session.take(response.Header)
			return answer, nil
		}
		wait, again := c.judge(wire, err)
		if !again || wire.tries >= c.opts.MaxTries || !sleep.For(ctx, wait) {
			return nil, wire.failed(err)
		}
	}
}

// wire returns the call as it is sent. A chat is repeatable: a second run costs money but does no harm.
func (call ChatCall) wire() (*wireCall, error) {
	body, err := json.Marshal(call.Request)
	if err != nil {
		return nil, Error.Wrap(&ErrBadOptions{Detail: err.Error()})
	}
	header := http.Header{"Content-Type": {"application/json"}}
	token, pinned := call.Session.pin()
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
		wantsKey:   call.Key == "",
		pinned:     pinned,
		session:    call.Session,
	}, nil
}

func readChat(response *http.Response, wire *wireCall) (*ChatAnswer, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := readWhole(response, wire.node)
	if err != nil {
		return nil, err
	}
	answer := &ChatAnswer{Info: wire.info(response.Header)}
	if err := json.Unmarshal(body, &answer.Completion); err != nil || len(answer.Completion.Choices) == 0 {
		return nil, &ErrBadAnswer{Detail: "no chat completion"}
	}
	return answer, nil
}
