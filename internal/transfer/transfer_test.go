package transfer_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/transfer"
)

// slowBody returns a byte after each pause until it ends or ctx does.
type slowBody struct {
	ctx    context.Context
	pauses []time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.pauses) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.pauses[0]):
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
	b.pauses = b.pauses[1:]
	p[0] = 'x'
	return 1, nil
}

// TestBounds reads bodies with pauses: only a late first byte, a pause that is too long, or an endless body ends a call.
func TestBounds(t *testing.T) {
	bounds := transfer.Bounds{Head: time.Second, Stall: 200 * time.Millisecond, Total: 3 * time.Second}
	const short = 150 * time.Millisecond
	endless := make([]time.Duration, 1000)
	for i := range endless {
		endless[i] = short
	}
	for _, test := range []struct {
		name    string
		pauses  []time.Duration
		isEnded bool
		took    time.Duration
	}{
		{"longer than the first byte may take", endless[:10], false, 10 * short},
		{"late first byte", []time.Duration{2 * time.Second}, true, bounds.Head},
		{"pause", []time.Duration{short, time.Second}, true, short + bounds.Stall},
		{"endless", endless, true, bounds.Total},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				ctx, call := transfer.Begin(context.Background(), bounds)
				defer call.End()
				_, err := io.ReadAll(call.Body(&slowBody{ctx: ctx, pauses: test.pauses}))
				qt.Check(t, err != nil, qt.Equals, test.isEnded, qt.Commentf("%v", err))
				qt.Check(t, time.Since(began), qt.Equals, test.took)
				var stalled *transfer.ErrStalled
				qt.Check(t, errors.As(err, &stalled) || errors.Is(err, context.DeadlineExceeded), qt.Equals, test.isEnded)
			})
		})
	}
}

// fullReads is a body whose reads return only once they have filled the buffer, as those of a large chunk do.
type fullReads struct{ next io.Reader }

func (f fullReads) Read(p []byte) (int, error) { return io.ReadFull(f.next, p) }

// TestLargeChunkIsProgress reads a body that arrives slowly but steadily through a reader that fills each buffer.
func TestLargeChunkIsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, call := transfer.Begin(context.Background(), transfer.Bounds{Head: time.Second, Stall: 400 * time.Millisecond, Total: time.Minute})
		defer call.End()
		// 40 KB a second, the share of one of 31 followers of a node with a link of 10 Mbit/s.
		pauses := make([]time.Duration, 200<<10)
		for i := range pauses {
			pauses[i] = time.Second / 40_000
		}
		_, err := io.ReadAll(call.Body(fullReads{&slowBody{ctx: ctx, pauses: pauses}}))
		qt.Check(t, err, qt.Equals, io.ErrUnexpectedEOF)
	})
}
