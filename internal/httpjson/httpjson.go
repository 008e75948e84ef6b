// Package httpjson makes bounded HTTP calls whose bodies are JSON, for the clients of the platform's small services.
package httpjson

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("httpjson")

// ErrStatus means that the service answered with another status than 2xx.
type ErrStatus struct {
	Status int
	// RetryAfter is the wait that the service asked for; 0 if it named none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("status %d, retry after %s", e.Status, e.RetryAfter)
}

// ErrTooLarge means that an answer was over the bound.
type ErrTooLarge struct {
	// Limit is the bound in bytes.
	Limit int64
}

// Error implements error.
func (e *ErrTooLarge) Error() string { return fmt.Sprintf("answer is over %d bytes", e.Limit) }

// Request is one call.
type Request struct {
	Method string
	URL    string
	Header http.Header
	// Body is sent as JSON; nil sends none.
	Body any
	// Timeout bounds the call with its answer's body.
	Timeout time.Duration
	// MaxResponseBytes bounds the answer's body in bytes, also once it is decompressed.
	MaxResponseBytes int64
	// AcceptGzip lets the service compress the answer.
	AcceptGzip bool
}

// Response is a call's successful answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BytesReceived is the size of the body as it was sent.
	BytesReceived int64
}

// Do makes a call and decodes its answer into out, unless out is nil or the answer has no body.
func Do(ctx context.Context, client *http.Client, call Request, out any) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	answer, err := send(ctx, client, call)
	if err != nil {
		return Response{}, Error.Wrap(err)
	}
	if out == nil || len(answer.Body) == 0 {
		return answer, nil
	}
	return answer, Error.Wrap(json.Unmarshal(answer.Body, out))
}

func send(ctx context.Context, client *http.Client, call Request) (Response, error) {
	body, err := encode(call.Body)
	if err != nil {
		return Response{}, err
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL, body)
	if err != nil {
		return Response{}, err
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	if call.AcceptGzip {
		req.Header.Set("Accept-Encoding", "gzip")
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	if !isSuccess(resp.StatusCode) {
		return Response{}, &ErrStatus{Status: resp.StatusCode, RetryAfter: retryAfter(resp.Header)}
	}
	wire := &countingReader{next: resp.Body}
	data, err := readBody(wire, resp.Header.Get("Content-Encoding"), call.MaxResponseBytes)
	if err != nil {
		return Response{}, err
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: data, BytesReceived: wire.count}, nil
}

// readBody returns a body of at most limit bytes, decompressed if need be.
func readBody(body io.Reader, encoding string, limit int64) ([]byte, error) {
	if encoding == "gzip" {
		decompressed, err := gzip.NewReader(body)
		if err != nil {
			return nil, err
		}
		body = decompressed
	}
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &ErrTooLarge{Limit: limit}
	}
	return data, nil
}

// countingReader counts the bytes that are read through it.
type countingReader struct {
	next  io.Reader
	count int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.next.Read(p)
	r.count += int64(n)
	return n, err
}

// isSuccess reports whether a status is 2xx, or 304 for a conditional call.
func isSuccess(status int) bool {
	return status/100 == 2 || status == http.StatusNotModified
}

func encode(body any) (io.Reader, error) {
	if body == nil {
		return http.NoBody, nil
	}
	data, err := json.Marshal(body)
	return bytes.NewReader(data), err
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
