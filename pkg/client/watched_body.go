package client

import (
	"io"
	"time"
)

// errReadTimeout is the error of a read that timed out.
var errReadTimeout error = &ErrBadAnswer{Detail: "no byte for too long"}

// timeoutBody is a body with a timeout for each read; a read that exceeds it closes the body and fails.
type timeoutBody struct {
	body    io.ReadCloser
	timeout time.Duration
}

func newTimeoutBody(body io.ReadCloser, timeout time.Duration) *timeoutBody {
	return &timeoutBody{body: body, timeout: timeout}
}

// Read implements io.Reader.
func (b *timeoutBody) Read(p []byte) (int, error) {
	timer := time.AfterFunc(b.timeout, func() { _ = b.body.Close() })
	n, err := b.body.Read(p)
	if !timer.Stop() && err != nil {
		return n, errReadTimeout
	}
	return n, err
}

// Close implements io.Closer.
func (b *timeoutBody) Close() error { return b.body.Close() }
