package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/monsoonrail/monsoonrail/internal/membudget"
)

// maxKeptBytes bounds the buffer that is kept for the next event.
const maxKeptBytes = 32 << 10

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
	in     *bufio.Reader
	memory *membudget.Reservation
	// raw is the buffer of the current event; memory has its capacity.
	raw []byte
	// bytesWithoutID counts the bytes since the last event with an id.
	bytesWithoutID int
}

// NewEventReader returns a reader of the events of a body, which holds the current event in memory that it reserves.
func NewEventReader(body io.Reader, memory *membudget.Reservation) *EventReader {
	return &EventReader{in: bufio.NewReaderSize(body, readBufferBytes), memory: memory}
}

// HasBufferedEvent reports whether the buffer holds another complete event, so that Next returns without waiting.
func (r *EventReader) HasBufferedEvent() bool {
	// Peek of the buffered bytes doesn't read and can't fail.
	buffered, _ := r.in.Peek(r.in.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// Next returns the next complete event. At the end of the stream it returns io.EOF, with the bytes of an incomplete last event in Raw.
// It returns ErrEventTooLarge for more than maxEventBytes without an event that has an id, and membudget.ErrExceeded if there is no memory for the event.
func (r *EventReader) Next() (Event, error) {
	if r.raw = r.raw[:0]; cap(r.raw) > maxKeptBytes {
		r.raw = nil
		r.memory.Release()
	}
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
		if err := r.grow(len(part)); err != nil {
			return err
		}
		r.raw = append(r.raw, part...)
		if r.bytesWithoutID+len(r.raw) > maxEventBytes {
			return Error.Wrap(&ErrEventTooLarge{MaxBytes: maxEventBytes})
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// grow makes room for further bytes in raw.
func (r *EventReader) grow(bytes int) error {
	needed := len(r.raw) + bytes
	if needed <= cap(r.raw) {
		return nil
	}
	capacity := max(needed, 2*cap(r.raw))
	// Both buffers exist while the bytes are copied.
	if err := r.memory.Resize(cap(r.raw) + capacity); err != nil {
		return Error.Wrap(err)
	}
	r.raw = append(make([]byte, 0, capacity), r.raw...)
	return Error.Wrap(r.memory.Resize(capacity))
}
