package client

import (
	"io"
	"time"
)

// errSilent is the cause of a read that a watchedBody gave up.
var errSilent error = &ErrBadAnswer{Detail: "no byte for too long"}

// watchedBody fails a read during which no byte comes for too long.
type watchedBody struct {
	body    io.ReadCloser
	silence time.Duration
}

func newWatchedBody(body io.ReadCloser, silence time.Duration) *watchedBody {
	return &watchedBody{body: body, silence: silence}
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	timer := time.AfterFunc(b.silence, func() { _ = b.body.Close() })
	n, err := b.body.Read(p)
	if !timer.Stop() && err != nil {
		return n, errSilent
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error { return b.body.Close() }
