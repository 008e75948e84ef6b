// Package sse reads and writes server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// lineBuffer is the size of the buffer that lines are read through.
const lineBuffer = 512

// ErrEventTooLarge means that an event is larger than the reader allows; the reader can't go on.
type ErrEventTooLarge struct{ MaxBytes int }

// Error implements error.
func (e *ErrEventTooLarge) Error() string {
	return fmt.Sprintf("sse: event over %d bytes", e.MaxBytes)
}

// IsErrEventTooLarge reports whether err says that an event is larger than the reader allows.
func IsErrEventTooLarge(err error) bool {
	var target *ErrEventTooLarge
	return errors.As(err, &target)
}

// Event is one server-sent event.
type Event struct {
	// ID is the event's own id field; unlike in a browser, it is not carried over to later events.
	ID string
	// Event is the event's type; empty means "message".
	Event string
	// Data joins the data fields with newlines; a reader's caller may use it until the next call of Next.
	Data []byte
}

// Reader reads events from a stream.
type Reader struct {
	lines *bufio.Reader
	// maxBytes bounds the lines of one event together.
	maxBytes int
	line     []byte
	data     []byte
	started  bool
}

// NewReader returns a reader that fails on an event whose lines are over maxEventBytes together.
func NewReader(r io.Reader, maxEventBytes int) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, lineBuffer), maxBytes: maxEventBytes}
}

// Next returns the next event that has data. It returns io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends within an event, and ErrEventTooLarge.
func (r *Reader) Next() (Event, error) {
	var event Event
	r.data = r.data[:0]
	hasData, inEvent := false, false
	left := r.maxBytes
	for {
		line, err := r.readLine(left)
		if err != nil {
			return Event{}, endOf(err, inEvent || len(line) > 0)
		}
		left -= len(line)
		if len(line) == 0 {
			if hasData {
				event.Data = r.data
				return event, nil
			}
			event, inEvent, left = Event{}, false, r.maxBytes
			continue
		}
		inEvent = inEvent || line[0] != ':'
		field, value := splitField(line)
		switch string(field) {
		case "id":
			event.ID = string(value)
		case "event":
			event.Event = string(value)
		case "data":
			if hasData {
				r.data = append(r.data, '\n')
			}
			hasData = true
			r.data = append(r.data, value...)
		}
	}
}

// endOf tells a clean end of the stream from one within an event.
func endOf(err error, inEvent bool) error {
	if errors.Is(err, io.EOF) && inEvent {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLine returns a line without its end; the bytes are valid until the next call. A line within the buffer isn't copied.
func (r *Reader) readLine(left int) ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.lines.ReadSlice('\n')
		if err == nil && len(r.line) == 0 && len(part) <= left+len("\r\n") {
			return r.trim(part), nil
		}
		r.line = append(r.line, part...)
		if len(r.line) > left+len("\r\n") {
			return nil, &ErrEventTooLarge{MaxBytes: r.maxBytes}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return r.line, err
		}
		return r.trim(r.line), nil
	}
}

// trim drops a line's end and, from the first line, a byte order mark.
func (r *Reader) trim(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !r.started {
		r.started = true
		line = bytes.TrimPrefix(line, []byte("\xef\xbb\xbf"))
	}
	return line
}

func splitField(line []byte) (field, value []byte) {
	field, value, _ = bytes.Cut(line, []byte(":"))
	return field, bytes.TrimPrefix(value, []byte(" "))
}
