// Package sse reads and writes server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// lineBufferBytes is the size of the read buffer; longer lines are copied.
const lineBufferBytes = 512

// ErrEventTooLarge means that an event is larger than the reader's limit; the reader can't be used any further.
type ErrEventTooLarge struct{ MaxBytes int }

// Error implements error.
func (e *ErrEventTooLarge) Error() string {
	return fmt.Sprintf("sse: event over %d bytes", e.MaxBytes)
}

// IsErrEventTooLarge reports whether err is an *ErrEventTooLarge.
func IsErrEventTooLarge(err error) bool {
	var target *ErrEventTooLarge
	return errors.As(err, &target)
}

// Event is one server-sent event.
type Event struct {
	// ID is the event's own id field; unlike in a browser, it doesn't apply to later events.
	ID string
	// Event is the event's type; empty means "message".
	Event string
	// Data holds the data fields joined with newlines; from a reader, it is valid until the next call of Next.
	Data []byte
}

// Reader reads events from a stream.
type Reader struct {
	lines *bufio.Reader
	// maxBytes bounds the total size of an event's lines.
	maxBytes int
	line     []byte
	data     []byte
	// started means that the first line was read.
	started bool
}

// NewReader returns a reader that fails on an event whose lines exceed maxEventBytes in total.
func NewReader(r io.Reader, maxEventBytes int) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, lineBufferBytes), maxBytes: maxEventBytes}
}

// Next returns the next event that has data. It returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream ends within
// an event, and *ErrEventTooLarge if an event exceeds the limit.
func (r *Reader) Next() (Event, error) {
	var event Event
	r.data = r.data[:0]
	hasData, inEvent := false, false
	remaining := r.maxBytes
	for {
		line, err := r.readLine(remaining)
		if err != nil {
			return Event{}, endError(err, inEvent || len(line) > 0)
		}
		remaining -= len(line)
		if len(line) == 0 {
			if hasData {
				event.Data = r.data
				return event, nil
			}
			event, inEvent, remaining = Event{}, false, r.maxBytes
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

// endError returns io.ErrUnexpectedEOF if err is io.EOF and the stream ended within an event, and else err.
func endError(err error, inEvent bool) error {
	if errors.Is(err, io.EOF) && inEvent {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLine returns a line without its line end; the bytes are valid until the next call. It fails with *ErrEventTooLarge if the line is
// longer than remaining bytes. A line that fits the read buffer isn't copied.
func (r *Reader) readLine(remaining int) ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.lines.ReadSlice('\n')
		if err == nil && len(r.line) == 0 && len(part) <= remaining+len("\r\n") {
			return r.trimLine(part), nil
		}
		r.line = append(r.line, part...)
		if len(r.line) > remaining+len("\r\n") {
			return nil, &ErrEventTooLarge{MaxBytes: r.maxBytes}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return r.line, err
		}
		return r.trimLine(r.line), nil
	}
}

// trimLine removes the line end and, from the first line, a byte order mark.
func (r *Reader) trimLine(line []byte) []byte {
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
