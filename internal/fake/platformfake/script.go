package platformfake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/framing"
)

// Close is how a server ends the connection of a scripted answer.
type Close int

const (
	// CloseProper closes the connection properly.
	CloseProper Close = iota
	// CloseReset resets the connection.
	CloseReset
	// CloseSilent sends nothing more and leaves the connection open.
	CloseSilent
	// CloseDribble leaves the connection open and sends a byte of a comment now and then.
	CloseDribble
)

// dribblePause is the pause between the bytes of CloseDribble.
const dribblePause = 200 * time.Millisecond

// Script is an answer whose bytes and end are given.
type Script struct {
	// Status is the status of the answer; one other than 200 has Text as its body.
	Status int
	// Text replaces the events.
	Text string
	// ContentType is the media type of the answer; empty means that it names none.
	ContentType string
	Framing     framing.Framing
	// Events is the number of complete events sent, from the first one that is due. A call's answer counts as one event.
	Events int
	// HasPartialEvent adds a part of the next event.
	HasPartialEvent bool
	// HasNoIDs leaves the events' ids out.
	HasNoIDs bool
	// IsFramedEnd lets the body's framing end after these bytes: by the last chunk, or by a length that counts only them. Otherwise the
	// length is one that is never reached, and the last chunk is missing.
	IsFramedEnd bool
	// HeadBytes, if not 0, is the number of bytes of the head after which the answer ends.
	HeadBytes int
	Close     Close
}

// unreachableLength is added to the length of an answer that is broken off.
const unreachableLength = 1000

// write writes the answer with a header to the connection of a request, and ends it. all returns the bytes up to an event.
func (s *Script) write(w http.ResponseWriter, all func(events int) string) {
	header := w.Header().Clone()
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	body := all(s.Events)
	if s.HasPartialEvent {
		next := all(s.Events + 1)[len(body):]
		body += next[:len(next)/2]
	}
	if s.Status != http.StatusOK || s.Text != "" {
		body = s.Text
	}
	if s.ContentType != "" {
		header.Set("Content-Type", s.ContentType)
	}
	if s.HasNoIDs {
		body = WithoutIDs(body)
	}
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", s.Status, http.StatusText(s.Status))
	switch s.Framing {
	case framing.Length:
		length := len(body)
		if !s.IsFramedEnd {
			length += unreachableLength
		}
		header.Set("Content-Length", strconv.Itoa(length))
	case framing.Chunked:
		header.Set("Transfer-Encoding", "chunked")
		body = chunks(body, s.IsFramedEnd)
	}
	_ = header.Write(&head)
	head.WriteString("\r\n")
	text := head.String() + body
	if s.HeadBytes > 0 {
		text = text[:min(s.HeadBytes, head.Len()-1)]
	}
	// Errors of the caller's connection end the answer like the script does.
	_, _ = out.WriteString(text)
	_ = out.Flush()
	s.end(conn)
}

// WithoutIDs returns events without their ids.
func WithoutIDs(events string) string { return idLine.ReplaceAllString(events, "") }

// idLine is the line of an event that has its id.
var idLine = regexp.MustCompile(`(?m)^id: \d+\n`)

// chunks returns a body as one chunk, and the last chunk if isEnded.
func chunks(body string, isEnded bool) string {
	var all strings.Builder
	if body != "" {
		fmt.Fprintf(&all, "%x\r\n%s\r\n", len(body), body)
	}
	if isEnded {
		all.WriteString("0\r\n\r\n")
	}
	return all.String()
}

// end ends the connection as the script says. A silent one is closed once the peer has closed it.
func (s *Script) end(conn net.Conn) {
	switch s.Close {
	case CloseReset:
		if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = c.SetLinger(0)
		}
	case CloseSilent:
		_, _ = io.Copy(io.Discard, conn)
	case CloseDribble:
		for text := ":"; ; text = "." {
			if _, err := io.WriteString(conn, text); err != nil {
				break
			}
			time.Sleep(dribblePause)
		}
	}
	_ = conn.Close()
}
