package connguard

import (
	"bytes"
	"sync"
)

const (
	// smallHeadBytes is the first size of the buffer of a head that doesn't arrive as a whole, growthFactor that by which it grows.
	smallHeadBytes = bufferBytes
	growthFactor   = 2
)

// smallBuffers holds unused buffers of smallHeadBytes.
var smallBuffers = sync.Pool{New: func() any { return new([smallHeadBytes]byte) }}

// largeBuffers holds unused buffers of heads that are larger.
var largeBuffers sync.Pool

// largeBuffer returns an empty buffer of at least the given capacity.
func largeBuffer(capacity int) []byte {
	if kept, ok := largeBuffers.Get().(*[]byte); ok && cap(*kept) >= capacity {
		return (*kept)[:0]
	}
	return make([]byte, 0, capacity)
}

// head is what has been read of a request's head. Its zero value is that of a head of which nothing has been read.
type head struct {
	// text is what is held back, of which given bytes have been handed over; small is its buffer unless that is larger.
	text  []byte
	given int
	small *[smallHeadBytes]byte
	// isComplete means that the text may be handed over.
	isComplete bool
	// lineBytes is the length of the last line so far, hasFirst means that the first line was seen.
	lineBytes int
	hasFirst  bool
}

// room returns where to read to: the server's buffer for the begin of a head, and further space of the own one for the rest.
func (h *head) room(server []byte, maxBytes int) []byte {
	if !h.isHeld() {
		return server
	}
	if len(h.text) == cap(h.text) {
		larger := append(largeBuffer(max(min(growthFactor*cap(h.text), maxBytes+bufferBytes), cap(h.text))+1), h.text...)
		h.free()
		h.text = larger
	}
	return h.text[len(h.text):cap(h.text)]
}

func (h *head) isHeld() bool { return h.text != nil }

// add looks at the bytes that follow on those held. It returns nil if the head goes on, and otherwise all bytes of the head, which the server may have: because it is
// complete, or because the server refuses it, such as one that begins with an empty line.
func (h *head) add(read []byte) []byte {
	for i, b := range read {
		switch b {
		case '\r':
		case '\n':
			isFirst := !h.hasFirst
			h.hasFirst = true
			if h.lineBytes == 0 || isFirst && !isRequestLine(h.with(read[:i])) {
				h.isComplete = true
				return h.with(read[:i+1])
			}
			h.lineBytes = 0
		default:
			h.lineBytes++
		}
	}
	return nil
}

// isRequestLine reports whether a line may be the first one of a request.
func isRequestLine(line []byte) bool {
	line = bytes.TrimRight(line, "\r")
	return bytes.HasSuffix(line, []byte(" HTTP/1.1")) || bytes.HasSuffix(line, []byte(" HTTP/1.0"))
}

// with returns what is held with the bytes that follow on it, which lie behind it in the own buffer or are the first ones.
func (h *head) with(read []byte) []byte {
	if !h.isHeld() {
		return read
	}
	return h.text[:len(h.text)+len(read)]
}

// hold keeps bytes that were read to room.
func (h *head) hold(read []byte) {
	if h.isHeld() {
		h.extend(len(read))
		return
	}
	h.small, _ = smallBuffers.Get().(*[smallHeadBytes]byte)
	h.text = append(h.small[:0], read...)
}

// extend keeps n bytes that were read behind those held.
func (h *head) extend(n int) { h.text = h.text[:len(h.text)+n] }

// handOver moves bytes of a complete head to the server's buffer.
func (h *head) handOver(to []byte) int {
	if !h.isComplete || !h.isHeld() {
		return 0
	}
	n := copy(to, h.text[h.given:])
	if h.given += n; h.given == len(h.text) {
		h.release()
	}
	return n
}

// release forgets the head.
func (h *head) release() {
	h.free()
	*h = head{}
}

// free gives the buffer back.
func (h *head) free() {
	switch {
	case h.small != nil:
		smallBuffers.Put(h.small)
		h.small = nil
	case h.isHeld():
		buffer := h.text
		largeBuffers.Put(&buffer)
	}
	h.text = nil
}
