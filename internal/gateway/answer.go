package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/monsoonrail/monsoonrail/internal/framing"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// ConnContext is the ConnContext function that the http.Server of a Gateway must have: the gateway resets the connection of an answer that is
// broken off, if nothing else shows that the answer is incomplete.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CallerConn returns the connection of a request to a server with that ConnContext; nil for others.
func CallerConn(req *http.Request) net.Conn {
	conn, _ := req.Context().Value(connKey{}).(net.Conn)
	return conn
}

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
	// conn is the caller's connection; nil if it can't be reset.
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
	conn, _ := req.Context().Value(connKey{}).(lingerer)
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
