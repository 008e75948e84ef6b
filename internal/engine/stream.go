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
	// drainTimeout bounds the wait for the end of the body after the last event.
	drainTimeout = 50 * time.Millisecond
	// firstReadTimeout is the read timeout between the response header and the first call of Next.
	firstReadTimeout = time.Minute
)

// Chunk is one token of a stream, or its end.
type Chunk struct {
	// Offset counts chunks from 0.
	Offset int
	Text   string
	// Done means that the stream has ended completely; Text is then empty, and FinishReason and Usage are set.
	Done         bool
	FinishReason string
	Usage        api.Usage
}

// Stream is an open generation. It is read on the request's goroutine: a goroutine of its own would cost more memory than the rest
// of the stream.
type Stream struct {
	attempt string
	cancel  context.CancelFunc
	body    io.ReadCloser
	events  *sse.Reader
	// readTimer closes the connection if the response header or the next chunk doesn't arrive in time.
	readTimer *time.Timer
	// timedOut means that readTimer has expired.
	timedOut atomic.Bool
	// end holds the finish reason and usage once their chunk has arrived.
	end Chunk
}

// newStream returns a stream and starts the timeout for its response header.
func newStream(attempt string, cancel context.CancelFunc, headerTimeout time.Duration) *Stream {
	s := &Stream{attempt: attempt, cancel: cancel}
	s.readTimer = time.AfterFunc(headerTimeout, s.expire)
	return s
}

// receive sets the response body once the header has arrived.
func (s *Stream) receive(body io.ReadCloser) {
	s.body, s.events = body, sse.NewReader(body, maxEventBytes)
	s.readTimer.Reset(firstReadTimeout)
}

func (s *Stream) expire() {
	s.timedOut.Store(true)
	s.cancel()
}

// Next returns the next chunk. It returns *ErrBroken with TimedOut if none arrives within the timeout, and ctx's error if ctx ends,
// which must end the context of Open too. The stream can't be read any further after an error.
func (s *Stream) Next(ctx context.Context, timeout time.Duration) (Chunk, error) {
	s.readTimer.Reset(timeout)
	defer s.readTimer.Stop()
	for {
		event, err := s.events.Next()
		if err != nil {
			return Chunk{}, s.readError(ctx, err)
		}
		if string(event.Data) == api.StreamDone {
			if s.end.FinishReason == "" {
				// The end belongs to another request: the engine sent another request's stream on a reused connection.
				return Chunk{}, Error.Wrap(&ErrBroken{Cause: &ErrBadStream{Detail: "the stream ended without its own last chunk"}})
			}
			s.end.Done = true
			s.drain()
			return s.end, nil
		}
		decoded, err := decode(event, s.attempt)
		switch {
		case err != nil:
			return Chunk{}, err
		case decoded.isLast:
			s.end = decoded.chunk
		case decoded.isOwn:
			return decoded.chunk, nil
		}
	}
}

// drain reads the end of the body, so that the connection can be reused.
func (s *Stream) drain() {
	s.readTimer.Reset(drainTimeout)
	_, _ = s.events.Next()
}

func (s *Stream) readError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return Error.Wrap(&ErrBroken{Cause: err, TimedOut: s.timedOut.Load()})
}

// Close stops reading and closes the connection unless the body was read to its end.
func (s *Stream) Close() {
	s.readTimer.Stop()
	s.cancel()
	_ = s.body.Close()
}
