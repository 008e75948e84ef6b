package overhead

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// shortest and longest bound the latencies that histograms tell apart.
	shortest = time.Microsecond
	longest  = time.Minute
	// digits is the number of significant digits of a latency.
	digits = 3
	// streamTokens is the length of an open stream: longer than any run.
	streamTokens = 100_000
	// defaultSequential is the number of requests whose allocations are counted.
	defaultSequential = 2000
	// firstStream and firstTimed number the requests of streams and of timed calls apart from the sequential ones.
	firstStream = 1_000_000
	firstTimed  = 2_000_000
	// pollInterval is the time between two looks at the stand-in.
	pollInterval = 10 * time.Millisecond
	// settle lets streams get going before memory is measured.
	settle = 2 * time.Second
)

// Options describe a measurement.
type Options struct {
	// Rate is the requests a second of each way.
	Rate int
	// Streams is the number of streams open through the node meanwhile.
	Streams int
	// Duration is how long requests are sent.
	Duration time.Duration
	// Prefix begins the loopback addresses; empty takes a free one.
	Prefix string
	// Sequential is the number of requests, one after the other, whose allocations are counted; zero means 2,000.
	Sequential int
}

// Side is what one way showed.
type Side struct {
	Count  int64
	Errors int64
	P50    time.Duration
	P95    time.Duration
	P99    time.Duration
	// Allocations and AllocatedBytes are those of one request in the whole process: caller, stand-in and, on one way, node.
	Allocations    float64
	AllocatedBytes float64
	// StreamBytes is the memory of one open stream in the whole process.
	StreamBytes float64
	// OpenStreams is the number of requests that the stand-in worked on when the memory of streams was read.
	OpenStreams int
}

// Result is a measurement.
type Result struct {
	Rate     int
	Streams  int
	Duration time.Duration
	Direct   Side
	Node     Side
	// AddedP50 and the others are the node's side less the direct side.
	AddedP50         time.Duration
	AddedP99         time.Duration
	AddedAllocations float64
	AddedStreamBytes float64
}

// Targets of the measurement.
const (
	MaxAddedP50         = 500 * time.Microsecond
	MaxAddedP99         = 2 * time.Millisecond
	MaxAddedStreamBytes = 64 << 10
)

// Broken returns the targets that a result misses.
func (r *Result) Broken() []string {
	var broken []string
	if r.AddedP50 > MaxAddedP50 {
		broken = append(broken, fmt.Sprintf("AddedP50: %s, at most %s", r.AddedP50, MaxAddedP50))
	}
	if r.AddedP99 > MaxAddedP99 {
		broken = append(broken, fmt.Sprintf("AddedP99: %s, at most %s", r.AddedP99, MaxAddedP99))
	}
	if r.AddedStreamBytes > MaxAddedStreamBytes {
		broken = append(broken, fmt.Sprintf("AddedStreamBytes: %.0f, at most %d", r.AddedStreamBytes, MaxAddedStreamBytes))
	}
	if r.Direct.Errors+r.Node.Errors > 0 {
		broken = append(broken, fmt.Sprintf("Errors: %d direct and %d through the node, at most 0", r.Direct.Errors, r.Node.Errors))
	}
	return broken
}

// Measure runs the measurement.
func Measure(ctx context.Context, opts Options) (*Result, error) {
	if opts.Sequential == 0 {
		opts.Sequential = defaultSequential
	}
	r, err := newRig(ctx, opts.Prefix)
	if err != nil {
		return nil, err
	}
	defer r.close()
	result := &Result{Rate: opts.Rate, Streams: opts.Streams, Duration: opts.Duration}
	sides := map[Way]*Side{WayDirect: &result.Direct, WayNode: &result.Node}
	for _, way := range []Way{WayDirect, WayNode} {
		if err := r.measureAlone(ctx, way, opts, sides[way]); err != nil {
			return nil, err
		}
	}
	if err := r.measureTogether(ctx, opts, sides); err != nil {
		return nil, err
	}
	result.AddedP50 = result.Node.P50 - result.Direct.P50
	result.AddedP99 = result.Node.P99 - result.Direct.P99
	result.AddedAllocations = result.Node.Allocations - result.Direct.Allocations
	result.AddedStreamBytes = result.Node.StreamBytes - result.Direct.StreamBytes
	return result, nil
}

// measureAlone counts what needs a quiet process: the allocations of a request and the memory of a stream.
func (r *rig) measureAlone(ctx context.Context, way Way, opts Options, side *Side) (err error) {
	request := body(fastModel, false, answerTokens)
	if err := r.ask(ctx, way, -1, request); err != nil {
		return err
	}
	before := memory()
	for i := range opts.Sequential {
		if err := r.ask(ctx, way, i, request); err != nil {
			return err
		}
	}
	after := memory()
	side.Allocations = float64(after.Mallocs-before.Mallocs) / float64(opts.Sequential)
	side.AllocatedBytes = float64(after.TotalAlloc-before.TotalAlloc) / float64(opts.Sequential)
	if opts.Streams == 0 {
		return nil
	}
	empty := inUse()
	streams, err := r.openStreams(ctx, way, opts.Streams)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.endStreams(ctx, way, streams, opts.Streams)) }()
	time.Sleep(settle)
	side.StreamBytes = (inUse() - empty) / float64(opts.Streams)
	side.OpenStreams = r.running()
	return nil
}

// endStreams closes streams and frees what the stand-in holds for direct ones, so that the next measurement starts without them.
func (r *rig) endStreams(ctx context.Context, way Way, open *streams, count int) error {
	open.close()
	if way != WayDirect {
		return nil
	}
	for i := range count {
		if err := r.cancel(ctx, firstStream+i); err != nil {
			return err
		}
	}
	for r.running() > 0 {
		if err := sleep.Wait(ctx, pollInterval); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func memory() runtime.MemStats {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}

// inUse returns the bytes of live heap and of stacks.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	stats := memory()
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// streams are open streams whose chunks are read and dropped.
type streams struct {
	cancel context.CancelFunc
	open   sync.WaitGroup
}

// openStreams opens streams, all at once, since a node answers with the first token.
func (r *rig) openStreams(ctx context.Context, way Way, count int) (*streams, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &streams{cancel: cancel}
	request := body(slowModel, true, streamTokens)
	var opening errgroup.Group
	for i := range count {
		opening.Go(func() error {
			response, err := r.open(ctx, way, firstStream+i, request)
			if err != nil {
				return err
			}
			s.open.Go(func() {
				defer func() { _ = response.Body.Close() }()
				_, _ = io.Copy(io.Discard, response.Body)
			})
			return nil
		})
	}
	if err := opening.Wait(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *streams) close() {
	s.cancel()
	s.open.Wait()
}

// measureTogether sends both ways' requests at their rate, side by side, while streams are open through the node.
func (r *rig) measureTogether(ctx context.Context, opts Options, sides map[Way]*Side) error {
	open, err := r.openStreams(ctx, WayNode, opts.Streams)
	if err != nil {
		return err
	}
	defer open.close()
	timers := map[Way]*timer{WayDirect: newTimer(), WayNode: newTimer()}
	request := body(fastModel, false, answerTokens)
	start := time.Now()
	var calls sync.WaitGroup
	for i := range int(opts.Duration.Seconds() * float64(opts.Rate)) {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(opts.Rate))
		time.Sleep(time.Until(due))
		for _, way := range []Way{WayDirect, WayNode} {
			calls.Go(func() {
				began := time.Now()
				err := r.ask(ctx, way, firstTimed+i, request)
				timers[way].note(time.Since(began), err)
			})
		}
	}
	calls.Wait()
	for way, t := range timers {
		t.fill(sides[way])
	}
	return errors.Join(timers[WayDirect].first, timers[WayNode].first)
}

// timer gathers latencies. Every request has a goroutine of its own, so that none waits for another to be sent.
type timer struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	errors    int64
	first     error
}

func newTimer() *timer {
	return &timer{histogram: hdrhistogram.New(int64(shortest), int64(longest), digits)}
}

func (t *timer) note(took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.errors++
		if t.first == nil {
			t.first = err
		}
		return
	}
	_ = t.histogram.RecordValue(int64(min(took, longest)))
}

func (t *timer) fill(side *Side) {
	side.Count = t.histogram.TotalCount()
	side.Errors = t.errors
	side.P50 = time.Duration(t.histogram.ValueAtQuantile(50))
	side.P95 = time.Duration(t.histogram.ValueAtQuantile(95))
	side.P99 = time.Duration(t.histogram.ValueAtQuantile(99))
}
