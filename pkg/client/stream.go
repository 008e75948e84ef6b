package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/sse"
)

const (
	// headerAccept tells the node what its caller can deal with.
	headerAccept = "Monsoonrail-Accept"
	// acceptRestart is the value of headerAccept that allows events named eventRestart.
	acceptRestart = "restart"
	// eventRestart begins the text anew, eventError carries the problem with which it ends short.
	eventRestart = "restart"
	eventError   = "error"
)

// ChatEvent is a part of a streamed answer.
type ChatEvent struct {
	// Index counts the answer's chunks from 0.
	Index int
	Text  string
	// Restart tells that the chunks from Index on were taken back; others follow in their place. It has no Text.
	Restart bool
	// Done marks the last event, which has no Text; the answer is then whole.
	Done         bool
	FinishReason string
	Usage        api.Usage
	Info         Info
}

// ChatStream asks for an answer as it is generated. The sequence ends after an event with Done or an error; a stream
// that breaks or goes silent is resumed. Where the node is gone the call is made again, and the new text must go on from
// the old one, or an event with Restart says from where it doesn't.
func (c *Client) ChatStream(ctx context.Context, call ChatCall) iter.Seq2[ChatEvent, error] {
	return func(yield func(ChatEvent, error) bool) {
		call.Request.Stream = true
		s := &chatStream{client: c, call: call}
		defer s.close()
		for {
			event, err := s.next(ctx)
			if !yield(event, err) || err != nil || event.Done {
				return
			}
		}
	}
}

// chatStream is one streamed answer over all its connections.
type chatStream struct {
	client *Client
	call   ChatCall
	// wire is the call as it was sent last; nil before the first try.
	wire *wireCall
	info Info
	body io.ReadCloser
	// events reads body; nil while no connection is open.
	events *sse.Reader
	// chunks holds a hash of every chunk that the caller has.
	chunks []uint64
	// position is the index of the next chunk of the open connection, at most len(chunks).
	position int
	// restarts names the text of which the caller has a part: how often the node had begun it anew.
	restarts int
	// failures counts broken connections since the last new chunk.
	failures int
	end      *ChatEvent
}

// next returns the next event for the caller.
func (s *chatStream) next(ctx context.Context) (ChatEvent, error) {
	for {
		if err := s.ensureOpen(ctx); err != nil {
			return ChatEvent{Info: s.info}, err
		}
		raw, err := s.events.Next()
		if err != nil {
			s.close()
			if s.end != nil {
				return *s.end, nil
			}
			if err := s.afterBreak(ctx, err); err != nil {
				return ChatEvent{Info: s.info}, err
			}
			continue
		}
		event, ok, err := s.take(ctx, raw)
		if err != nil {
			return ChatEvent{Info: s.info}, err
		}
		if ok {
			return event, nil
		}
	}
}

// take turns an event of the connection into one for the caller; ok is false if there is none.
func (s *chatStream) take(ctx context.Context, raw sse.Event) (event ChatEvent, ok bool, err error) {
	switch {
	case raw.Event == eventRestart:
		s.takeRestart(raw.Data)
		return ChatEvent{Restart: true, Info: s.info}, true, nil
	case raw.Event == eventError:
		return ChatEvent{}, false, s.afterProblem(ctx, raw.Data)
	case string(raw.Data) == api.StreamDone:
		if s.end != nil {
			s.drain()
			return *s.end, true, nil
		}
		return ChatEvent{}, false, s.failed(&ErrBadAnswer{Detail: "the stream ended without a finish reason"})
	}
	var chunk api.ChatChunk
	if json.Unmarshal(raw.Data, &chunk) != nil || len(chunk.Choices) != 1 {
		return ChatEvent{}, false, s.failed(&ErrBadAnswer{Detail: "a chunk is malformed"})
	}
	if version := api.ParseVersionID(chunk.Model); version.Version != "" {
		// A text that is begun anew may be another version's than the header's.
		s.info.Version = version
	}
	return s.takeChunk(chunk)
}

// takeRestart drops the text and notes which one follows.
func (s *chatStream) takeRestart(data []byte) {
	s.chunks, s.position = s.chunks[:0], 0
	var restart struct{ Restarts int }
	if json.Unmarshal(data, &restart) == nil {
		s.restarts = restart.Restarts
	}
}

func (s *chatStream) takeChunk(chunk api.ChatChunk) (event ChatEvent, ok bool, err error) {
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		return s.takeEnd(chunk)
	}
	index, text := s.position, choice.Delta.Content
	sum := xxhash.Sum64String(text)
	if index == len(s.chunks) {
		s.chunks = append(s.chunks, sum)
		s.position++
		s.failures = 0
		return ChatEvent{Index: index, Text: text, Info: s.info}, true, nil
	}
	if s.chunks[index] == sum {
		s.position++
		return ChatEvent{}, false, nil
	}
	// The new run differs from here on. The chunk itself comes with the connection that follows.
	s.chunks = s.chunks[:index]
	s.close()
	return ChatEvent{Index: index, Restart: true, Info: s.info}, true, nil
}

func (s *chatStream) takeEnd(chunk api.ChatChunk) (event ChatEvent, ok bool, err error) {
	end := ChatEvent{Index: s.position, Done: true, FinishReason: *chunk.Choices[0].FinishReason, Info: s.info}
	if chunk.Usage != nil {
		end.Usage = *chunk.Usage
	}
	s.end = &end
	if s.position == len(s.chunks) {
		return ChatEvent{}, false, nil
	}
	s.chunks = s.chunks[:s.position]
	return ChatEvent{Index: s.position, Restart: true, Info: s.info}, true, nil
}

func (s *chatStream) opened(response *http.Response) {
	s.body = newWatchedBody(response.Body, s.client.opts.StreamSilence)
	s.events = sse.NewReader(s.body, maxEventBytes)
}

// afterBreak returns an error if a broken connection must not be replaced.
func (s *chatStream) afterBreak(ctx context.Context, cause error) error {
	s.failures++
	s.wire.outcome = api.OutcomeMayHaveRun
	broken := &ErrConnection{Node: s.wire.node.Node, Sent: true, Silent: errors.Is(cause, errSilent), Cause: cause}
	if sse.IsErrEventTooLarge(cause) || ctx.Err() != nil || s.failures > 2*s.client.opts.MaxTries {
		return s.failed(broken)
	}
	if broken.Silent {
		s.client.opts.HTTP.CloseIdleConnections()
		return nil
	}
	if !sleep.For(ctx, s.wire.backoff()) {
		return s.failed(broken)
	}
	return nil
}

// afterProblem returns an error unless the call may be made anew after a problem that ended the stream.
func (s *chatStream) afterProblem(ctx context.Context, data []byte) error {
	s.close()
	problem := &api.Problem{}
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(problem); err != nil {
		return s.failed(&ErrBadAnswer{Detail: "the problem that ended the stream is malformed"})
	}
	s.failures++
	wait, again := s.wire.judgeProblem(problem)
	if !again || s.failures > s.client.opts.MaxTries || !sleep.For(ctx, wait) {
		return s.failed(problem)
	}
	s.wire = nil
	return nil
}

func (s *chatStream) failed(cause error) error { return s.wire.failed(cause) }

// drain reads the end of the body, so that the connection can be used again.
func (s *chatStream) drain() {
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxProblemBytes))
	s.close()
}

func (s *chatStream) close() {
	if s.body != nil {
		_ = s.body.Close()
	}
	s.body, s.events = nil, nil
}
