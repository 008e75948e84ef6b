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
	// headerAccept lists the optional features that the caller supports.
	headerAccept = "Monsoonrail-Accept"
	// acceptRestart is the value of headerAccept that allows restart events.
	acceptRestart = "restart"
	// eventRestart discards the text so far; eventError carries the problem with which the stream failed.
	eventRestart = "restart"
	eventError   = "error"
)

// ChatEvent is a part of a streamed answer.
type ChatEvent struct {
	// Index counts the answer's chunks from 0.
	Index int
	Text  string
	// Restart means that the chunks from Index on are void and replaced by the ones that follow; the event has no Text.
	Restart bool
	// Done marks the last event of a complete answer; it has no Text.
	Done         bool
	FinishReason string
	Usage        api.Usage
	Info         Info
}

// ChatStream makes a call and streams the answer as it is generated. The sequence ends after an event with Done or an error. A stream
// that breaks or goes silent is resumed. If the node is gone, the call is sent again: chunks that equal the earlier ones are
// skipped, and at the first difference an event with Restart states from which index on the new text differs.
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

// chatStream is the state of a streamed answer over all its connections.
type chatStream struct {
	client *Client
	call   ChatCall
	// wire is the call as it was last sent; nil before the call is sent, and before it is sent anew.
	wire *wireCall
	info Info
	body io.ReadCloser
	// events reads body; nil while no connection is open.
	events *sse.Reader
	// chunkHashes holds the hashes of the chunks that the caller has.
	chunkHashes []uint64
	// position is the index of the next chunk of the open connection, at most len(chunkHashes).
	position int
	// restarts is the number of restarts before the text that the caller has, as counted by the node.
	restarts int
	// failures counts broken connections and problems since the last new chunk.
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
		event, ok, err := s.handleEvent(ctx, raw)
		if err != nil {
			return ChatEvent{Info: s.info}, err
		}
		if ok {
			return event, nil
		}
	}
}

// handleEvent converts an event of the connection into one for the caller; ok is false if there is none to deliver.
func (s *chatStream) handleEvent(ctx context.Context, raw sse.Event) (event ChatEvent, ok bool, err error) {
	switch {
	case raw.Event == eventRestart:
		s.handleRestart(raw.Data)
		return ChatEvent{Restart: true, Info: s.info}, true, nil
	case raw.Event == eventError:
		return ChatEvent{}, false, s.afterProblem(ctx, raw.Data)
	case string(raw.Data) == api.StreamDone:
		if s.end != nil {
			s.drain()
			return *s.end, true, nil
		}
		return ChatEvent{}, false, s.wrapError(&ErrBadAnswer{Detail: "the stream ended without a finish reason"})
	}
	var chunk api.ChatChunk
	if json.Unmarshal(raw.Data, &chunk) != nil || len(chunk.Choices) != 1 {
		return ChatEvent{}, false, s.wrapError(&ErrBadAnswer{Detail: "a chunk is malformed"})
	}
	if version := api.ParseVersionID(chunk.Model); version.Version != "" {
		// A restarted text may come from another version than the header's.
		s.info.Version = version
	}
	return s.handleChunk(chunk)
}

// handleRestart discards the text so far and stores the number of restarts of the one that follows.
func (s *chatStream) handleRestart(data []byte) {
	s.chunkHashes, s.position = s.chunkHashes[:0], 0
	var restart struct{ Restarts int }
	if json.Unmarshal(data, &restart) == nil {
		s.restarts = restart.Restarts
	}
}

func (s *chatStream) handleChunk(chunk api.ChatChunk) (event ChatEvent, ok bool, err error) {
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		return s.handleEnd(chunk)
	}
	index, text := s.position, choice.Delta.Content
	sum := xxhash.Sum64String(text)
	if index == len(s.chunkHashes) {
		s.chunkHashes = append(s.chunkHashes, sum)
		s.position++
		s.failures = 0
		return ChatEvent{Index: index, Text: text, Info: s.info}, true, nil
	}
	if s.chunkHashes[index] == sum {
		s.position++
		return ChatEvent{}, false, nil
	}
	// The new run differs from this chunk on. The connection is reopened from this chunk, so that it is delivered after the restart.
	s.chunkHashes = s.chunkHashes[:index]
	s.close()
	return ChatEvent{Index: index, Restart: true, Info: s.info}, true, nil
}

func (s *chatStream) handleEnd(chunk api.ChatChunk) (event ChatEvent, ok bool, err error) {
	end := ChatEvent{Index: s.position, Done: true, FinishReason: *chunk.Choices[0].FinishReason, Info: s.info}
	if chunk.Usage != nil {
		end.Usage = *chunk.Usage
	}
	s.end = &end
	if s.position == len(s.chunkHashes) {
		return ChatEvent{}, false, nil
	}
	s.chunkHashes = s.chunkHashes[:s.position]
	return ChatEvent{Index: s.position, Restart: true, Info: s.info}, true, nil
}

func (s *chatStream) setConnection(response *http.Response) {
	s.body = newTimeoutBody(response.Body, s.client.opts.StreamSilence)
	s.events = sse.NewReader(s.body, maxEventBytes)
}

// afterBreak handles a broken connection; it returns an error if the stream must not be resumed.
func (s *chatStream) afterBreak(ctx context.Context, cause error) error {
	s.failures++
	s.wire.outcome = api.OutcomeMayHaveRun
	broken := &ErrConnection{Node: s.wire.node.Node, Sent: true, Silent: errors.Is(cause, errReadTimeout), Cause: cause}
	if sse.IsErrEventTooLarge(cause) || ctx.Err() != nil || s.failures > 2*s.client.opts.MaxTries {
		return s.wrapError(broken)
	}
	if broken.Silent {
		s.client.opts.HTTP.CloseIdleConnections()
		return nil
	}
	if !sleep.For(ctx, s.wire.backoff()) {
		return s.wrapError(broken)
	}
	return nil
}

// afterProblem handles a problem that ended the stream; it returns an error if the call must not be sent anew.
func (s *chatStream) afterProblem(ctx context.Context, data []byte) error {
	s.close()
	problem := &api.Problem{}
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(problem); err != nil {
		return s.wrapError(&ErrBadAnswer{Detail: "the problem that ended the stream is malformed"})
	}
	s.failures++
	wait, retry := s.wire.retryDelayForProblem(problem)
	if !retry || s.failures > s.client.opts.MaxTries || !sleep.For(ctx, wait) {
		return s.wrapError(problem)
	}
	s.wire = nil
	return nil
}

func (s *chatStream) wrapError(cause error) error { return s.wire.wrapError(cause) }

// drain reads the end of the body, so that the connection can be reused.
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
