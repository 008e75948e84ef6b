package promises

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/sse"
)

const (
	// callerTeam sends every request.
	callerTeam = "lessons"
	// callerDeadline is how long callers wait for a whole answer.
	callerDeadline = 15 * time.Second
	// callerPatience is callerDeadline with the time in which a node must say that the deadline has passed.
	callerPatience = callerDeadline + 5*time.Second
	// answerTokens is the length of every answer.
	answerTokens = 24
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 64 << 10
)

// begin sends a request and, if the step says so, the same once more through another node.
func (w *world) begin(index int, step Step) {
	c := &call{name: fmt.Sprintf("c%d", index), step: step, once: step.Kind == StepOnce}
	c.chat = api.ChatRequest{
		Model:    api.ModelAuto,
		Stream:   step.Kind == StepStream,
		Messages: []api.ChatMessage{{Role: "user", Content: script.Prompt{Call: c.name, AnswerTokens: answerTokens}.String()}},
	}
	w.history.mu.Lock()
	w.history.calls = append(w.history.calls, c)
	w.history.mu.Unlock()
	w.callers.Go(func() {
		header := w.headers(c)
		if step.Resend > 0 && header.Get(api.HeaderIdempotencyKey) != "" {
			w.callers.Go(func() {
				time.Sleep(step.Resend)
				again := header.Clone()
				again.Del(api.HeaderAttempt)
				w.send(c, step.Other, again, 0)
			})
		}
		w.send(c, step.Node, header, step.HangUp)
	})
}

// headers returns those of every try of a call; an issued key is asked for first.
func (w *world) headers(c *call) http.Header {
	header := http.Header{}
	header.Set("Authorization", "Bearer key-"+callerTeam)
	header.Set(api.HeaderDeadline, callerDeadline.String())
	header.Set(api.HeaderAttempt, "1")
	switch c.step.Key {
	case KeyOwn:
		header.Set(api.HeaderIdempotencyKey, "own-"+c.name)
	case KeyIssued:
		if key := w.issuedKey(c.step.Node); key != "" {
			header.Set(api.HeaderIdempotencyKey, key)
		}
	}
	if c.step.Session > 0 && (c.step.Kind == StepChat || c.step.Kind == StepStream) {
		w.mu.Lock()
		held := w.sessions[c.step.Session]
		w.mu.Unlock()
		if held.token != "" {
			header.Set(api.HeaderSession, string(held.token))
			c.session = held.version
		}
	}
	return header
}

func (w *world) issuedKey(node int) string {
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.system.NodeURL(node)+"/v1/keys", nil)
	if err != nil {
		return ""
	}
	req.Header.Set("Authorization", "Bearer key-"+callerTeam)
	resp, err := w.client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var issued struct{ Keys []string }
	if json.NewDecoder(resp.Body).Decode(&issued) != nil || len(issued.Keys) == 0 {
		return ""
	}
	return issued.Keys[0]
}

// send makes one try of a call and records what comes of it.
func (w *world) send(c *call, node int, header http.Header, hangUp time.Duration) {
	t := &try{node: node, began: time.Now()}
	defer func() {
		t.ended = time.Now()
		c.add(t)
	}()
	patience := callerPatience
	if hangUp > 0 {
		patience = hangUp
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := w.request(ctx, c, node)
	if err != nil {
		w.history.note(err.Error())
		return
	}
	req.Header = header.Clone()
	resp, err := w.client.Do(req)
	if err != nil {
		t.broken = true
		t.hungUp = hangUp > 0 && ctx.Err() != nil
		return
	}
	defer resp.Body.Close()
	t.status = resp.StatusCode
	t.request = api.RequestID(resp.Header.Get(api.HeaderRequestID))
	t.version = api.ParseVersionID(resp.Header.Get(api.HeaderVersion))
	t.repinned = resp.Header.Get(api.HeaderRepinned) != ""
	if attach := c.step.Attach; attach > 0 && header.Get(api.HeaderAttempt) != "" && t.status == http.StatusOK {
		w.callers.Go(func() {
			time.Sleep(attach)
			w.attach(c, t.request)
		})
	}
	w.read(c, t, resp)
	t.hungUp = hangUp > 0 && ctx.Err() != nil
	w.keepSession(c, t, resp)
}

// attach asks another node for the rest of an answer and records what comes of it.
func (w *world) attach(c *call, id api.RequestID) {
	t := &try{node: c.step.Other, began: time.Now(), request: id, attached: true}
	if c.step.Kind == StepChat || c.step.Kind == StepStream {
		t.offset = c.step.Offset
	}
	defer func() {
		t.ended = time.Now()
		c.add(t)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	url := fmt.Sprintf("%s/v1/answers/%s?offset=%d", w.system.NodeURL(c.step.Other), id, t.offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		w.history.note(err.Error())
		return
	}
	req.Header.Set("Authorization", "Bearer key-"+callerTeam)
	resp, err := w.client.Do(req)
	if err != nil {
		t.broken = true
		return
	}
	defer resp.Body.Close()
	t.status = resp.StatusCode
	t.version = api.ParseVersionID(resp.Header.Get(api.HeaderVersion))
	t.repinned = resp.Header.Get(api.HeaderRepinned) != ""
	w.read(c, t, resp)
}

func (w *world) request(ctx context.Context, c *call, node int) (*http.Request, error) {
	base := w.system.NodeURL(node)
	switch c.step.Kind {
	case StepPlain:
		return http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/services/forge-app/status", strings.NewReader(script.CallMarker(c.name)))
	case StepOnce:
		return http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/services/forge-app/push", strings.NewReader(script.CallMarker(c.name)))
	default:
		body, err := json.Marshal(c.chat)
		if err != nil {
			return nil, err
		}
		return http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	}
}

// read takes in an answer of any kind.
func (w *world) read(c *call, t *try, resp *http.Response) {
	if resp.Header.Get("Content-Type") == api.ProblemContentType {
		t.problem = &api.Problem{}
		t.broken = json.NewDecoder(resp.Body).Decode(t.problem) != nil
		return
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		t.readStream(resp.Body)
		return
	}
	raw, err := io.ReadAll(resp.Body)
	t.broken = err != nil
	t.whole = err == nil
	t.text = string(raw)
	if c.step.Kind != StepChat || !t.whole {
		return
	}
	var completion api.ChatCompletion
	if json.Unmarshal(raw, &completion) != nil || len(completion.Choices) != 1 {
		t.broken = true
		return
	}
	t.text = completion.Choices[0].Message.Content
}

func (t *try) readStream(body io.Reader) {
	events := sse.NewReader(body, maxEventBytes)
	for {
		event, err := events.Next()
		if err != nil {
			t.broken = true
			return
		}
		if string(event.Data) == api.StreamDone {
			t.whole = true
			return
		}
		if event.Event == "error" {
			t.problem = &api.Problem{}
			t.broken = json.Unmarshal(event.Data, t.problem) != nil
			return
		}
		if event.Event == "restart" {
			t.text, t.offset = "", 0
			continue
		}
		var chunk api.ChatChunk
		if json.Unmarshal(event.Data, &chunk) != nil || len(chunk.Choices) != 1 {
			t.broken = true
			return
		}
		t.text += chunk.Choices[0].Delta.Content
	}
}

// heldSession is the newest token of a session and the version that it names.
type heldSession struct {
	token   api.SessionToken
	version api.VersionID
}

func (w *world) keepSession(c *call, t *try, resp *http.Response) {
	token := api.SessionToken(resp.Header.Get(api.HeaderSession))
	if c.step.Session == 0 || token == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sessions[c.step.Session] = heldSession{token: token, version: t.version}
}
