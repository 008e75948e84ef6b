package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	// maxForeignAnswers is how many answers to other requests are passed over on one connection.
	maxForeignAnswers = 2
	// maxForeignBytes bounds the body of an answer that is passed over.
	maxForeignBytes = 1 << 20
	// usualHeadBytes is the room for a request's head.
	usualHeadBytes = 1 << 10
)

// Request is what is sent to a server.
type Request struct {
	// ID is the one that the answer must name, if it names any.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells that the caller sent a body, which may be empty.
	HasBody bool
}

// Answer is the head of a server's answer and a reader of its body. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Body returns io.EOF only after the whole body.
	Body io.Reader

	pool *Pool
	conn *conn
	resp *http.Response
	// stop ends the watch of the context, and reports false if it has closed the connection.
	stop func() bool
	// whole is set once Body returned io.EOF.
	whole bool
}

// Send sends a request over a kept or a new connection and waits for the head of the answer. The end of ctx closes the
// connection, until Close. tcp.IsErrNotSent tells that no byte was sent, IsErrNoAnswer that the server may have run the request.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*Answer, error) {
	head := req.encode()
	for {
		c := p.take(address)
		if c == nil {
			var err error
			if c, err = p.dial(ctx, address); err != nil {
				return nil, Error.Wrap(&tcp.ErrNotSent{Cause: err})
			}
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		n, err := c.Write(head)
		if err == nil {
			return p.await(c, stop, req)
		}
		stop()
		_ = c.Close()
		if n > 0 {
			return nil, Error.Wrap(&ErrNoAnswer{Cause: err})
		}
		if !c.reused || ctx.Err() != nil {
			return nil, Error.Wrap(&tcp.ErrNotSent{Cause: err})
		}
		// The server had closed the kept connection; nothing of the request left this machine.
	}
}

// await reads the head of the answer to a request that was written.
func (p *Pool) await(c *conn, stop func() bool, req *Request) (*Answer, error) {
	fail := func(err error) (*Answer, error) {
		stop()
		_ = c.Close()
		return nil, Error.Wrap(&ErrNoAnswer{Cause: err})
	}
	asked := &http.Request{Method: req.Method}
	foreign := &ErrAnswerMismatch{Wanted: req.ID}
	for range maxForeignAnswers + 1 {
		resp, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return fail(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if id := p.opts.AnswerID(resp.Header); id == "" || id == req.ID {
			a := &Answer{Status: resp.StatusCode, Header: resp.Header, pool: p, conn: c, resp: resp, stop: stop}
			a.Body = (*answerBody)(a)
			return a, nil
		} else {
			foreign.Got = id
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || resp.Close {
			break
		}
	}
	return fail(foreign)
}

// encode returns the request as HTTP/1.1 bytes.
func (r *Request) encode() []byte {
	var out bytes.Buffer
	out.Grow(usualHeadBytes + len(r.Body))
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a bytes.Buffer don't fail.
	_ = r.Header.Write(&out)
	if r.HasBody || len(r.Body) > 0 {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(r.Body)
	return out.Bytes()
}

// answerBody is the body of an Answer.
type answerBody Answer

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// SetReadDeadline bounds the reads of the body.
func (a *Answer) SetReadDeadline(t time.Time) error { return a.conn.SetReadDeadline(t) }

// Close gives the connection back if the whole answer was read and the server keeps it, and ends it otherwise.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	c := a.conn
	a.conn = nil
	untouched := a.stop()
	isDelimited := a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0
	if !untouched || !a.whole || a.resp.Close || !isDelimited || c.reader.Buffered() > 0 || c.SetReadDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	a.pool.put(c, keepAliveOf(a.Header.Get("Keep-Alive")))
}
