package billing

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// DefaultFlushInterval is the mean interval between two writes of a node's segments.
	DefaultFlushInterval = 10 * time.Second
	// DefaultHoldTimeout bounds the call to one peer.
	DefaultHoldTimeout = 250 * time.Millisecond
	// DefaultQueue bounds the lines that wait to be batched; further lines are rejected with ErrFull.
	DefaultQueue = 4096
	// maxBatchLines bounds the lines of a batch.
	maxBatchLines = 512
	// maxBacklog bounds the sums and keyed requests that wait to be written to the key-value service.
	maxBacklog = 32 << 10
	// closeRetryDelay is the delay between attempts to write the backlog during Close.
	closeRetryDelay = 200 * time.Millisecond
	// closePollInterval is the interval at which Close checks for lines that are not batched yet.
	closePollInterval = time.Millisecond
)

// Options configures NewBiller.
type Options struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Store       Store
	// HoldClient is nil if no peer holds copies of this node's lines.
	HoldClient HoldClient
	// Peers returns the live peers that may hold this node's batches, the preferred ones first.
	Peers func() []api.NodeID
	// FlushInterval, HoldTimeout and Queue override DefaultFlushInterval, DefaultHoldTimeout and DefaultQueue; 0 means the default.
	FlushInterval time.Duration
	HoldTimeout   time.Duration
	Queue         int
	// HoldInterval is the mean interval between two messages to the peer under load. After an idle period holdBurst
	// messages are sent without a delay, and the line of a non-streaming answer doesn't wait for the interval. With 0
	// each message is sent as soon as the previous one has completed.
	HoldInterval time.Duration
	Rand         *rand.Rand
	Log          log.Interface
}

// Stats are the counters of a Biller.
type Stats struct {
	// Lines counts the accepted lines, and Duplicates the lines of requests that were billed before.
	Lines, Duplicates int64
	// Unprotected counts the lines whose answers completed before a peer held the lines.
	Unprotected int64
	// Lost counts batches that were dropped because writing them could have billed requests twice.
	Lost     int64
	Segments int64
	// Queued counts the lines that wait to be batched, and Backlog the sums that wait to be written.
	Queued, Backlog int
}

// Biller bills the requests of one incarnation of a node. RunHold and RunFlush must run in the background.
type Biller struct {
	opts Options
	// pacer limits the rate of messages to the peer.
	pacer pacer
	queue chan *pendingLine
	// holdSem and flushSem are semaphores that serialize the hold steps and the flushes.
	holdSem, flushSem chan struct{}
	peer              peerState
	// kinds are the kinds that packed batches refer to; like peer they are guarded by holdSem.
	kinds  kindList
	cursor cursor

	mu     sync.Mutex
	closed bool
	// unbatched counts the accepted lines that are in no batch yet.
	unbatched int
	recent    recentIDs
	backlog   backlog

	lines, repeated, unprotected, lost, segments atomic.Int64
}

// pendingLine is a line whose answer waits until done is closed: then a peer holds the line, or no peer could be
// reached.
type pendingLine struct {
	line Line
	done chan struct{}
}

// NewBiller returns a Biller with an empty backlog.
func NewBiller(opts Options) *Biller {
	if opts.FlushInterval == 0 {
		opts.FlushInterval = DefaultFlushInterval
	}
	if opts.HoldTimeout == 0 {
		opts.HoldTimeout = DefaultHoldTimeout
	}
	if opts.Queue == 0 {
		opts.Queue = DefaultQueue
	}
	return &Biller{
		opts:     opts,
		pacer:    newPacer(opts.HoldInterval),
		queue:    make(chan *pendingLine, opts.Queue),
		holdSem:  make(chan struct{}, 1),
		flushSem: make(chan struct{}, 1),
		cursor:   cursor{incarnation: opts.Incarnation},
		recent:   newRecentIDs(),
		backlog:  backlog{next: 1},
	}
}

// Add bills a line and waits until a peer holds it or no peer could be reached in time; then the answer may complete.
// After ErrFull or ErrClosed the line is not billed; after a context error it may or may not be.
func (b *Biller) Add(ctx context.Context, line Line) error {
	p := &pendingLine{line: line, done: make(chan struct{})}
	if isNew, err := b.enqueue(p); !isNew || err != nil {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// enqueue queues a line. It returns false without an error for a request that was billed before.
func (b *Biller) enqueue(p *pendingLine) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false, Error.Wrap(&ErrClosed{})
	}
	if b.recent.has(p.line.RequestID) {
		b.repeated.Add(1)
		return false, nil
	}
	if b.backlog.sums > maxBacklog {
		return false, Error.Wrap(&ErrFull{Max: maxBacklog})
	}
	select {
	case b.queue <- p:
	default:
		return false, Error.Wrap(&ErrFull{Max: cap(b.queue)})
	}
	if p.line.IsWhole {
		b.pacer.markUrgent()
	}
	b.recent.add(p.line.RequestID)
	b.unbatched++
	b.lines.Add(1)
	return true, nil
}

// RunFlush writes the backlog at intervals until ctx ends.
func (b *Biller) RunFlush(ctx context.Context) error {
	for {
		if err := sleep.Wait(ctx, b.jitteredFlushInterval()); err != nil {
			return err
		}
		if err := b.flushAll(ctx); err != nil {
			b.opts.Log.WithError(err).WithField("backlog", b.Stats().Backlog).Warn("bills not written")
		}
	}
}

// jitteredFlushInterval adds jitter to the flush interval, which keeps the nodes from writing at the same time.
func (b *Biller) jitteredFlushInterval() time.Duration {
	return b.opts.FlushInterval*3/4 + time.Duration(b.opts.Rand.Int64N(int64(b.opts.FlushInterval/2)+1))
}

// flushAll writes segments until the backlog is empty or a write fails.
func (b *Biller) flushAll(ctx context.Context) error {
	b.flushSem <- struct{}{}
	defer func() { <-b.flushSem }()
	for !b.isFlushed() {
		lost, err := flush(ctx, b.opts.Store, &b.cursor, b.segment, b.trim)
		if lost > 0 {
			b.lost.Add(int64(lost))
			b.opts.Log.WithField("batches", lost).Error("bills lost: a peer wrote a part of them")
		}
		if err != nil {
			return err
		}
		b.segments.Add(1)
	}
	return nil
}

func (b *Biller) hasUnbatched() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unbatched > 0
}

func (b *Biller) isFlushed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backlog.isEmpty()
}

func (b *Biller) segment() *billingpb.Segment {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backlog.segment()
}

func (b *Biller) trim(next uint64) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backlog.trim(next)
}

// Close accepts no more lines, has a peer hold the pending ones and writes the backlog. If ctx ends first, Close
// returns the error of the last write, and the peer that holds the remaining lines writes them.
func (b *Biller) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	for b.hasUnbatched() && sleep.For(ctx, closePollInterval) {
		// RunHold may batch lines at the same time or may have ended already.
		b.batchQueued(ctx)
	}
	for isFirst := true; ; isFirst = false {
		err := b.flushAll(ctx)
		if err == nil {
			b.reportAllWritten(ctx)
			return nil
		}
		if isFirst {
			b.holdAtSecondPeer(ctx)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(closeRetryDelay):
		}
	}
}

// Stats returns the counters since NewBiller.
func (b *Biller) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Lines:       b.lines.Load(),
		Duplicates:  b.repeated.Load(),
		Unprotected: b.unprotected.Load(),
		Lost:        b.lost.Load(),
		Segments:    b.segments.Load(),
		Queued:      len(b.queue),
		Backlog:     b.backlog.sums,
	}
}
