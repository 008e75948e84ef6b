package overhead

import (
	"bufio"
	"bytes"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// benchTokens is the mean length of an answer at the size to come.
	benchTokens = 230
	// benchStreams is how many streams are open at once in the benchmark, benchSpeed their tokens a second.
	benchStreams = 32
	benchSpeed   = 500
)

// processorTime returns what the process has used so far.
func processorTime(b *testing.B) time.Duration {
	var used syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &used), qt.IsNil)
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// readEvents reads a stream to its end and returns the number of its events.
func readEvents(body io.Reader) (events int, err error) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if bytes.Equal(lines.Bytes(), []byte("data: "+api.StreamDone)) {
			return events, nil
		}
		if bytes.HasPrefix(lines.Bytes(), []byte("data: ")) {
			events++
		}
	}
	return events, io.ErrUnexpectedEOF
}

// BenchmarkStream reads streams of events through a node and straight from the stand-in; what the first costs more is the
// node's. An operation is a whole answer.
func BenchmarkStream(b *testing.B) {
	r, err := newRig(b.Context(), "")
	qt.Assert(b, err, qt.IsNil)
	defer r.close()
	for _, engine := range r.system.Engines() {
		engine.Reconfigure(func(opts *enginefake.Options) { opts.TokensPerSecond = benchSpeed })
	}
	request := body(fastModel, true, benchTokens)
	for _, way := range []Way{WayDirect, WayNode} {
		b.Run(string(way), func(b *testing.B) {
			b.ReportAllocs()
			before := processorTime(b)
			r.readStreams(b, way, request)
			used := processorTime(b) - before
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N)/benchTokens, "cpu-ns/event")
		})
	}
}

// readStreams reads b.N answers, some at once.
func (r *rig) readStreams(b *testing.B, way Way, request []byte) {
	slots := make(chan struct{}, benchStreams)
	var reading sync.WaitGroup
	for i := range b.N {
		slots <- struct{}{}
		reading.Go(func() {
			defer func() { <-slots }()
			response, err := r.open(b.Context(), way, b.N<<20+i, request)
			if !qt.Check(b, err, qt.IsNil) {
				return
			}
			defer func() { _ = response.Body.Close() }()
			events, err := readEvents(response.Body)
			qt.Check(b, err, qt.IsNil)
			// The last event holds the reason of the end and the usage.
			qt.Check(b, events, qt.Equals, benchTokens+1)
		})
	}
	reading.Wait()
}
