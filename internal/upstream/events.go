package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds the size of one event of a stream, and the bytes between two events with an id.
const maxEventBytes = 1 << 20

// Event is one event of a stream as the server sent it.
type Event struct {
	// Raw is the event's bytes including the empty line that ends it; it is valid until the next call of Next.
	Raw []byte
	// ID is the event's id; empty if it has none.
	ID string
	// HasData means that the event is no mere comment.
	HasData bool
}

// EventReader splits a stream of server-sent events into events without changing any byte.
type EventReader struct {
	in  *bufio.Reader
	raw []byte
	// bytesWithoutID counts the bytes since the last event with an id.
	bytesWithoutID int
}

// NewEventReader returns a reader of the events of a body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{in: bufio.NewReaderSize(body, readBufferBytes)}
}

// HasBufferedEvent reports whether the buffer holds another complete event, so that Next returns without waiting.
func (r *EventReader) HasBufferedEvent() bool {
	// Peek of the buffered bytes doesn't read and can't fail.
	buffered, _ := r.in.Peek(r.in.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// Next returns the next complete event. At the end of the stream it returns io.EOF, with the bytes of an incomplete last event in Raw.
// It returns ErrEventTooLarge for more than maxEventBytes without an event that has an id.
func (r *EventReader) Next() (Event, error) {
	r.raw = r.raw[:0]
	event := Event{}
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			event.Raw = r.raw
			return event, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			event.Raw = r.raw
			r.bytesWithoutID += len(r.raw)
			if event.ID != "" {
				r.bytesWithoutID = 0
			}
			return event, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			event.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
		if bytes.HasPrefix(line, []byte("data")) {
			event.HasData = true
		}
	}
}

// line appends the next line, including its line ending, to raw.
func (r *EventReader) line() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if r.bytesWithoutID+len(r.raw) > maxEventBytes {
			return Error.Wrap(&ErrEventTooLarge{MaxBytes: maxEventBytes})
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
