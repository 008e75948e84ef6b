package engine

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/sse"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// drainPatience bounds the wait for the end of the body after the last event.
	drainPatience = 50 * time.Millisecond
	// maxPatience bounds the silence before the first call of Next.
	maxPatience = time.Minute
)

// Chunk is one token of a stream, or its end.
type Chunk struct {
	// Offset counts chunks from 0.
	Offset int
	Text   string
	// Done tells that the stream is whole; Text is then empty.
	Done         bool
	FinishReason string
	Usage        api.Usage
}

// Stream is an open generation. One goroutine reads it, which is that of the request: one more for each stream would cost
// more memory than the rest of it.
type Stream struct {
	attempt string
	cancel  context.CancelFunc
	body    io.ReadCloser
	events  *sse.Reader
	// silence ends the connection when nothing comes for too long, first of all no header.
	silence *time.Timer
	// silent tells that silence has done so.
	silent atomic.Bool
	// end holds the reason and usage that came before the stream's end.
	end Chunk
}

// newStream returns a stream whose answer's header has to come within a time.
func newStream(attempt string, cancel context.CancelFunc, headerTimeout time.Duration) *Stream {
	s := &Stream{attempt: attempt, cancel: cancel}
	s.silence = time.AfterFunc(headerTimeout, s.giveUp)
	return s
}

// receive takes the answer's body, once its header has come.
func (s *Stream) receive(body io.ReadCloser) {
	s.body, s.events = body, sse.NewReader(body, maxEventBytes)
	s.silence.Reset(maxPatience)
}

func (s *Stream) giveUp() {
	s.silent.Store(true)
	s.cancel()
}

// Next returns the next chunk. It returns *ErrBroken with Silent if none comes within patience, and ctx's error if ctx ends,
// which must end the context of Open too. The stream can't be read on after an error.
func (s *Stream) Next(ctx context.Context, patience time.Duration) (Chunk, error) {
	s.silence.Reset(patience)
	defer s.silence.Stop()
	for {
		event, err := s.events.Next()
		if err != nil {
			return Chunk{}, s.readError(ctx, err)
		}
		if string(event.Data) == api.StreamDone {
			if s.end.FinishReason == "" {
				// The end is another request's: all of a stream with another's id, on a connection that was used before.
				return Chunk{}, Error.Wrap(&ErrBroken{Cause: &ErrBadStream{Detail: "the stream ended without its own last chunk"}})
			}
			s.end.Done = true
			s.drain()
			return s.end, nil
		}
		read, err := decode(event, s.attempt)
		switch {
		case err != nil:
			return Chunk{}, err
		case read.isLast:
			s.end = read.chunk
		case read.isMine:
			return read.chunk, nil
		}
	}
}

// drain reads the end of the body, so that the connection can serve the next request.
func (s *Stream) drain() {
	s.silence.Reset(drainPatience)
	_, _ = s.events.Next()
}

func (s *Stream) readError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return Error.Wrap(&ErrBroken{Cause: err, TimedOut: s.silent.Load()})
}

// Close ends the connection.
func (s *Stream) Close() {
	s.silence.Stop()
	s.cancel()
	_ = s.body.Close()
}
