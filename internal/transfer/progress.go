package transfer

import (
	"context"
	"io"
)

// progressKey is the key in a context of the function that WithProgress was given.
type progressKey struct{}

// WithProgress returns a context whose calls report to a function each time when bytes of an answer arrive.
func WithProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// Reporting returns a reader of an answer that reports its progress, see WithProgress.
func Reporting(ctx context.Context, answer io.Reader) io.Reader {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		return &reportingReader{next: answer, report: report}
	}
	return answer
}

type reportingReader struct {
	next   io.Reader
	report func()
}

// Read implements io.Reader.
func (r *reportingReader) Read(p []byte) (int, error) {
	n, err := r.next.Read(p)
	if n > 0 {
		r.report()
	}
	return n, err
}
