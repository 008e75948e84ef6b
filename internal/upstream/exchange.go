package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	// maxSkippedAnswers is the number of answers to other requests that are skipped on one connection.
	maxSkippedAnswers = 2
	// maxSkippedBytes bounds the body of a skipped answer.
	maxSkippedBytes = 1 << 20
	// maxJoinedBody bounds the body that is written together with the head: a larger one is not copied.
	maxJoinedBody = 64 << 10
	// maxStatus is the largest status that an answer may have.
	maxStatus = 599
	// headSizeHint is the initial buffer capacity for the head of a request.
	headSizeHint = 1 << 10
)

// Request is a request to a server.
type Request struct {
	// ID is the request id that the answer must name. An answer that names none belongs to no request.
	ID string
	// UsedConns are the connections of earlier attempts of the request, which are not used for it again: an answer to an earlier attempt that
	// the server writes once more names this request too.
	UsedConns []ConnID
	Method    string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody means that the caller sent a body, which may be empty.
	HasBody bool
	// MayAbandon is called if the path to the server falls silent before the answer has begun, and reports whether the request is abandoned. Nil means that it may
	// not be sent to another server.
	MayAbandon func() bool
	// QuietTimeout is the time after which it is unusual that no answer has begun; 0 if answers may take any time.
	QuietTimeout time.Duration
}

// Answer is the head of a server's answer with a reader of its body. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Body returns io.EOF only after the complete body.
	Body io.Reader

	pool *Pool
	conn *conn
	resp *http.Response
	// stopWatch stops closing the connection at the end of the context, and reports false if that has already happened.
	stopWatch func() bool
	// isComplete is set once Body has returned io.EOF.
	isComplete bool
}

// Send sends a request over an idle or a new connection and waits for the head of the answer. The end of ctx closes the
// connection, until Close is called. The error is tcp.IsErrNotSent if no byte was sent, or IsErrNoAnswer if the server may have run
// the request.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*Answer, error) {
	head, body := req.encode()
	for {
		c := p.takeIdle(ctx, address, req.UsedConns)
		if c == nil {
			var err error
			if c, err = p.dial(ctx, address); err != nil {
				return nil, Error.Wrap(&tcp.ErrNotSent{Cause: err})
			}
		}
		stopWatch := context.AfterFunc(ctx, func() { _ = c.Close() })
		p.begin(c, req)
		n, err := c.Write(head)
		if err == nil && len(body) > 0 {
			_, err = c.Write(body)
		}
		if err == nil {
			if c.reused {
				defer p.watchSilence(address, req)()
			}
			return p.awaitHead(c, stopWatch, req)
		}
		stopWatch()
		p.end(c)
		_ = c.Close()
		if n > 0 {
			return nil, Error.Wrap(&ErrNoAnswer{Cause: err})
		}
		if !c.reused || ctx.Err() != nil {
			return nil, Error.Wrap(&tcp.ErrNotSent{Cause: err})
		}
		// The server had closed the idle connection; no byte of the request was sent, so try another connection.
	}
}

// awaitHead reads the head of the answer to a request that was sent, and skips answers to other requests.
func (p *Pool) awaitHead(c *conn, stopWatch func() bool, req *Request) (*Answer, error) {
	fail := func(err error) (*Answer, error) {
		stopWatch()
		p.end(c)
		_ = c.Close()
		return nil, Error.Wrap(&ErrNoAnswer{Cause: err})
	}
	sent := &http.Request{Method: req.Method}
	mismatch := &ErrAnswerMismatch{Wanted: req.ID}
	for range maxSkippedAnswers + 1 {
		c.head.begin()
		resp, err := http.ReadResponse(c.reader, sent)
		c.head.end()
		if err != nil {
			return fail(err)
		}
		if !isAnswerLine(resp) {
			return fail(&ErrBadStatusLine{Proto: resp.Proto, Status: resp.Status})
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if id := p.opts.AnswerID(resp.Header); id == req.ID {
			a := &Answer{Status: resp.StatusCode, Header: resp.Header, pool: p, conn: c, resp: resp, stopWatch: stopWatch}
			a.Body = (*answerBody)(a)
			c.isAnswering.Store(true)
			return a, nil
		} else {
			mismatch.Got = id
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || resp.Close {
			break
		}
	}
	return fail(mismatch)
}

// isAnswerLine reports whether the first line of an answer has a version and a status that HTTP/1 knows; net/http reads any three characters that make a number.
func isAnswerLine(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.StatusCode >= http.StatusContinue && resp.StatusCode <= maxStatus
}

// encode returns the request in HTTP/1.1 wire format: the head with a short body, and the rest.
func (r *Request) encode() (head, rest []byte) {
	var out bytes.Buffer
	joined := r.Body
	if len(joined) > maxJoinedBody {
		joined, rest = nil, r.Body
	}
	out.Grow(headSizeHint + len(joined))
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a bytes.Buffer don't fail.
	_ = r.Header.Write(&out)
	if r.HasBody || len(r.Body) > 0 {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(joined)
	return out.Bytes(), rest
}

// answerBody implements the Body of an Answer.
type answerBody Answer

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.isComplete = true
	}
	return n, err
}

// SetReadDeadline sets the deadline for reads of the body.
func (a *Answer) SetReadDeadline(t time.Time) error { return a.conn.SetReadDeadline(t) }

// OnSilence sets a function that is called when a read of the body reaches its deadline, and returns whether the read goes on, and until when.
func (a *Answer) OnSilence(extend func() (until time.Time, goesOn bool)) { a.conn.onSilence = extend }

// ConnID returns the connection over which the answer comes.
func (a *Answer) ConnID() ConnID { return a.conn.id }

// relayed is a connection to a server through another node.
type relayed interface {
	// RelayedBy returns the "IP:port" of that node.
	RelayedBy() string
}

// RelayedBy returns the "IP:port" of the node through which the answer comes; empty if it comes from the server directly.
func (a *Answer) RelayedBy() string {
	if conn, ok := a.conn.Conn.(relayed); ok {
		return conn.RelayedBy()
	}
	return ""
}

// Framing returns how the body shows where it ends.
func (a *Answer) Framing() framing.Framing { return framing.OfResponse(a.resp) }

// Close returns the connection to the pool if the complete answer was read and the server keeps the connection open, and closes it
// otherwise.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	c := a.conn
	a.conn = nil
	c.onSilence = nil
	c.isAnswering.Store(false)
	isOpen := a.stopWatch()
	a.pool.end(c)
	if !isOpen || c.isDropped.Load() || !a.isComplete || a.resp.Close || a.Framing() == framing.Close || c.reader.Buffered() > 0 || c.SetReadDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	a.pool.putIdle(c, parseKeepAlive(a.Header.Get("Keep-Alive")))
}
