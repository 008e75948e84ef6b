package gateway

import (
	"net/http"
	"sync/atomic"

	"github.com/monsoonrail/monsoonrail/internal/connguard"
	"github.com/monsoonrail/monsoonrail/internal/framing"
)

// lingerer is a connection that can be reset by its Close, such as a net.TCPConn.
type lingerer interface {
	SetLinger(seconds int) error
}

const (
	// lingerReset lets Close reset the connection, lingerDefault lets it close the connection properly.
	lingerReset   = 0
	lingerDefault = -1
)

// callerAnswer is the answer to a caller.
type callerAnswer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// conn is the caller's connection, by which an answer that is broken off is reset if nothing else shows that it is incomplete; nil if it can't be reset. The
	// http.Server must have connguard.ConnContext.
	conn lingerer
	// canChunk is false for callers of HTTP/1.0, whose answers without a length end with their connection.
	canChunk bool
	framing  framing.Framing
	// isHeadSent is set once the head was sent.
	isHeadSent atomic.Bool
	// amendHeader changes the header before it is sent.
	amendHeader func(header http.Header)
}

func newCallerAnswer(w http.ResponseWriter, req *http.Request, amendHeader func(header http.Header)) *callerAnswer {
	conn, _ := connguard.ConnOf(req).(lingerer)
	return &callerAnswer{
		w: w, control: http.NewResponseController(w), conn: conn, canChunk: req.ProtoAtLeast(1, 1), amendHeader: amendHeader,
	}
}

// sendHead sends the head of an answer. The answer has the framing of the server's answer, so that its end shows the caller no more than the
// server's bytes show.
func (a *callerAnswer) sendHead(status int, header http.Header, server framing.Framing) {
	a.isHeadSent.Store(true)
	copyAnswerHeader(a.w.Header(), header)
	a.amendHeader(a.w.Header())
	a.framing = server
	if server == framing.Chunked && !a.canChunk {
		a.framing = framing.Close
	}
	if a.framing == framing.Close {
		// An unexpected end of this process must not look like the end of the answer either.
		a.setLinger(lingerReset)
		framing.EndWithConnection(a.w.Header())
	}
	a.w.WriteHeader(status)
}

// end ends the answer properly, once the handler returns.
func (a *callerAnswer) end() {
	// If flushing fails, the caller has disconnected, and the connection stays to be reset.
	if a.framing == framing.Close && a.control.Flush() == nil {
		a.setLinger(lingerDefault)
	}
}

// setLinger sets what closing the caller's connection does. It fails only if the connection is closed already.
func (a *callerAnswer) setLinger(seconds int) {
	if a.conn != nil {
		_ = a.conn.SetLinger(seconds)
	}
}

// abort breaks the answer off, so that the caller sees that it is incomplete.
func (a *callerAnswer) abort() { panic(http.ErrAbortHandler) }
