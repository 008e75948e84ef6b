// Package framing decides what the end of a server's answer shows about its completeness, and how the answer to the caller may end. It does
// no input or output.
package framing

import "net/http"

// Framing is how a message shows where its body ends (RFC 9112, section 6.3).
type Framing int

const (
	// Length is a body with a Content-Length, or a message without a body.
	Length Framing = iota
	// Chunked is a body in chunks, of which the last one is empty.
	Chunked
	// Close is a body that ends with its connection.
	Close
)

// OfResponse returns the framing of a response that net/http has read.
func OfResponse(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return Chunked
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return Length
	default:
		return Close
	}
}

// EndWithConnection makes net/http end a response with its connection, instead of sending it in chunks. It is called before the header is
// written.
func EndWithConnection(header http.Header) {
	// The server of net/http takes this value as a request for such an end; the field itself is not sent.
	header.Set("Transfer-Encoding", "identity")
}

// Place is the place in a stream of events at which an answer ended.
type Place int

const (
	// BeforeFirstEvent means that no complete event was received, and no part of one.
	BeforeFirstEvent Place = iota
	// WithinEvent means that the last event is incomplete.
	WithinEvent
	// AfterEvent means that the last event is complete; more events may have been due.
	AfterEvent
	// NotEvents is the place of all answers that are no streams of events.
	NotEvents
)

// Cause is why no more bytes of an answer are read.
type Cause int

const (
	// CauseEnd means that the body ended as its framing says; for Close, the server closed the connection properly.
	CauseEnd Cause = iota
	// CauseBroken means that the connection was closed or reset before.
	CauseBroken
	// CauseSilence means that the server sent nothing for too long.
	CauseSilence
)

// End describes the end of a server's answer.
type End struct {
	Framing Framing
	Place   Place
	Cause   Cause
}

// Verdict is what the end of an answer shows about its completeness.
type Verdict int

const (
	// Complete means that the answer is complete.
	Complete Verdict = iota
	// Unconfirmed means that nothing shows whether the answer is complete: a server that crashes may close its connections properly too.
	Unconfirmed
	// Broken means that the answer was broken off.
	Broken
)

// Verdict returns what the end shows.
func (e End) Verdict() Verdict {
	switch {
	case e.Cause != CauseEnd, e.Place == WithinEvent:
		return Broken
	case e.Framing != Close:
		return Complete
	case e.Place == BeforeFirstEvent:
		return Broken
	default:
		return Unconfirmed
	}
}

// MayEnd reports whether an answer with a framing may end properly for the caller. It never claims more than the verdict: an end that is
// unconfirmed is passed on only where it is unconfirmed for the caller too.
func MayEnd(v Verdict, caller Framing) bool {
	return v == Complete || v == Unconfirmed && caller == Close
}

// String returns the framing's name in log lines and metric labels.
func (f Framing) String() string { return [...]string{"length", "chunked", "close"}[f] }

// String returns the place's name in log lines.
func (p Place) String() string {
	return [...]string{"before first event", "within event", "after event", "no events"}[p]
}

// String returns the cause's name in log lines.
func (c Cause) String() string { return [...]string{"end", "broken", "silence"}[c] }

// String returns the verdict's name in log lines and metric labels.
func (v Verdict) String() string { return [...]string{"complete", "unconfirmed", "broken"}[v] }
