// Package httpjson makes HTTP calls with JSON bodies, a timeout and a maximum response size, for clients of the platform's services and
// of peers.
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

	"github.com/monsoonrail/monsoonrail/internal/transfer"
)

// Error is the class of every error of the package.
var Error = errs.Class("httpjson")

// ErrStatus means that the response had a status other than 2xx or 304.
type ErrStatus struct {
	Status int
	// RetryAfter is the value of the Retry-After header in seconds; 0 if it is missing or invalid.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("status %d, retry after %s", e.Status, e.RetryAfter)
}

// ErrTooLarge means that a response body exceeds Request.MaxResponseBytes.
type ErrTooLarge struct {
	// Limit is the maximum size in bytes.
	Limit int64
}

// Error implements error.
func (e *ErrTooLarge) Error() string { return fmt.Sprintf("answer is over %d bytes", e.Limit) }

// Request describes one call.
type Request struct {
	Method string
	URL    string
	Header http.Header
	// Body is encoded as JSON; nil sends no body.
	Body any
	// Timeout bounds the whole call, including reading the response body. If MaxStall is set, it bounds the time to the body's first
	// byte only.
	Timeout time.Duration
	// MaxStall, if not 0, is the longest pause within the response body, and MaxDuration then bounds the whole call.
	MaxStall, MaxDuration time.Duration
	// MaxResponseBytes bounds the size of the response body after decompression.
	MaxResponseBytes int64
	// AcceptGzip allows a gzip-compressed response.
	AcceptGzip bool
}

// Response is a successful response; Body is decompressed.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BytesReceived is the size of the body as transferred, before decompression.
	BytesReceived int64
}

// Do makes a call and decodes the response body into out, unless out is nil or the body is empty.
func Do(ctx context.Context, client *http.Client, call Request, out any) (Response, error) {
	bounds := transfer.Bounds{Head: call.Timeout, Stall: call.Timeout, Total: call.Timeout}
	if call.MaxStall > 0 {
		bounds.Stall, bounds.Total = call.MaxStall, call.MaxDuration
	}
	ctx, transferring := transfer.Begin(ctx, bounds)
	defer transferring.End()
	answer, err := send(ctx, client, call, transferring)
	if err != nil {
		return Response{}, Error.Wrap(err)
	}
	if out == nil || len(answer.Body) == 0 {
		return answer, nil
	}
	return answer, Error.Wrap(json.Unmarshal(answer.Body, out))
}

func send(ctx context.Context, client *http.Client, call Request, transferring *transfer.Call) (Response, error) {
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
	wire := &countingReader{next: transferring.Body(resp.Body)}
	data, err := readBody(wire, resp.Header.Get("Content-Encoding"), call.MaxResponseBytes)
	if err != nil {
		return Response{}, err
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: data, BytesReceived: wire.count}, nil
}

// readBody returns the decompressed body, or ErrTooLarge if it exceeds limit bytes.
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

// countingReader counts the bytes read from next.
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

// isSuccess reports whether a status is 2xx, or 304 as the response to a conditional request.
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
