package cmd

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
)

// Types and flags of HTTP/2 frames (RFC 9113, section 6).
const (
	frameData         = 0x0
	frameHeaders      = 0x1
	frameSettings     = 0x4
	frameContinuation = 0x9
	flagEndHeaders    = 0x4

	// http2Preface begins a connection of HTTP/2.
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	// crowdStreams is the number of streams that a client of a crowd opens on a connection.
	crowdStreams = 20
	// largeFrame is the length of a frame that the default of a Go server allows.
	largeFrame = 1 << 20
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	return frameHeader(kind, flags, stream, len(payload)) + payload
}

func frameHeader(kind, flags byte, stream uint32, length int) string {
	head := []byte{byte(length >> 16), byte(length >> 8), byte(length), kind, flags}
	return string(binary.BigEndian.AppendUint32(head, stream))
}

// http2Field returns a field as a literal that isn't added to the table (RFC 7541, section 6.2.2). Name and value have less than 127 bytes.
func http2Field(name, value string) string {
	return "\x00" + string(byte(len(name))) + name + string(byte(len(value))) + value
}

// http2Request returns the pseudo-header fields of a request to a peer.
func http2Request() string {
	return http2Field(":method", "POST") + http2Field(":scheme", "http") + http2Field(":authority", "peer") + http2Field(":path", peerCallPath)
}

// http2Fields returns short fields whose encoding has the given size.
func http2Fields(size int) string {
	var block strings.Builder
	for i := 0; block.Len() < size; i++ {
		block.WriteString(http2Field(fmt.Sprintf("x%d", i), ""))
	}
	return block.String()
}

func http2Start() string { return http2Preface + frame(frameSettings, 0, 0, "") }

// http2Streams opens streams with a header list, each followed by further frames, and then sends nothing.
func http2Streams(fields string, more func(stream uint32) string) func(net.Conn) {
	var text strings.Builder
	text.WriteString(http2Start())
	for i := range uint32(crowdStreams) {
		stream := 2*i + 1
		text.WriteString(frame(frameHeaders, flagEndHeaders, stream, http2Request()+fields))
		if more != nil {
			text.WriteString(more(stream))
		}
	}
	return hold(text.String())
}

// http2Continuations opens a stream whose header list never ends.
func http2Continuations(conn net.Conn) {
	repeat(http2Start()+frame(frameHeaders, 0, 1, http2Request()), frame(frameContinuation, 0, 1, http2Field("x", "y")))(conn)
}

// http2Body returns the frames of a part of a body.
func http2Body(stream uint32) string {
	const frames, size = 3, 15 << 10
	return strings.Repeat(frame(frameData, 0, stream, strings.Repeat("a", size)), frames)
}
