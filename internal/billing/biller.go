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
	// DefaultFlushInterval is the mean time between the writes of a node's segments.
	DefaultFlushInterval = 10 * time.Second
	// DefaultHoldTimeout bounds the wait for one peer.
	DefaultHoldTimeout = 250 * time.Millisecond
	// DefaultQueue bounds the lines that wait to be batched; a further one is refused.
	DefaultQueue = 4096
	// maxBatchLines bounds the lines of a batch.
	maxBatchLines = 512
	// maxBacklog bounds the sums and keyed lines that wait for the key-value service.
	maxBacklog = 32 << 10
	// closeRetry is the wait between tries to write the rest while closing.
	closeRetry = 200 * time.Millisecond
	// closePoll is the wait for lines that are being batched while closing.
	closePoll = time.Millisecond
)

// Options configures NewBiller.
type Options struct {
	Node        api.NodeID
	Incarnation api.Incarnation
	Store       Store
	// HoldClient is nil if lines are kept by this node alone.
	HoldClient HoldClient
	// Peers returns the live nodes that may hold this one's lines, the preferred ones first and without itself.
	Peers func() []api.NodeID
	// FlushInterval, HoldTimeout and Queue are the defaults if 0.
	FlushInterval time.Duration
	HoldTimeout   time.Duration
	Queue         int
	// HoldInterval is the mean time between two messages to the peer under load; after a quiet time holdBurst of them go
	// out without a pause, and a line whose answer is sent as a whole doesn't wait for it. 0 sends at once, one at a time.
	HoldInterval time.Duration
	Rand         *rand.Rand
	Log          log.Interface
}

// Stats counts what a biller did.
type Stats struct {
	// Lines counts the lines taken and Duplicates those that were billed before.
	Lines, Duplicates int64
	// Unprotected counts the lines whose answers ended before a peer held them.
	Unprotected int64
	// Lost counts batches that could not be written without the risk of billing them twice.
	Lost     int64
	Segments int64
	// Queued counts the lines that wait to be batched and Backlog the sums that wait to be written.
	Queued, Backlog int
}

// Biller takes the lines of one incarnation. Its duties are RunHold and RunFlush.
type Biller struct {
	opts Options
	// pace bounds the messages to the peer.
	pace  pacer
	queue chan *waiting
	// holding and flushing hold a token while a step of the duty is under way.
	holding, flushing chan struct{}
	peer              peerState
	// kinds are those of packed batches; like peer it is used within a hold step.
	kinds  kindList
	cursor cursor

	mu     sync.Mutex
	closed bool
	// unbatched counts the lines taken that are in no batch yet.
	unbatched int
	recent    recentIDs
	backlog   backlog

	lines, repeated, unprotected, lost, segments atomic.Int64
}

// waiting is a line whose answer waits until the line is safe.
type waiting struct {
	line Line
	safe chan struct{}
}

// NewBiller returns a biller that holds nothing.
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
		pace:     newPacer(opts.HoldInterval),
		queue:    make(chan *waiting, opts.Queue),
		holding:  make(chan struct{}, 1),
		flushing: make(chan struct{}, 1),
		cursor:   cursor{incarnation: opts.Incarnation},
		recent:   newRecentIDs(),
		backlog:  backlog{next: 1},
	}
}

// Add takes a line and waits until a peer holds it, or until no peer can be found in time; then the answer may
// end. After ErrFull and ErrClosed the line is not billed; after the context's error it may be.
func (b *Biller) Add(ctx context.Context, line Line) error {
	w := &waiting{line: line, safe: make(chan struct{})}
	if isNew, err := b.enqueue(w); !isNew || err != nil {
		return err
	}
	select {
	case <-w.safe:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// enqueue reports false for a request that was billed before.
func (b *Biller) enqueue(w *waiting) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false, Error.Wrap(&ErrClosed{})
	}
	if b.recent.has(w.line.RequestID) {
		b.repeated.Add(1)
		return false, nil
	}
	if b.backlog.sums > maxBacklog {
		return false, Error.Wrap(&ErrFull{Max: maxBacklog})
	}
	select {
	case b.queue <- w:
	default:
		return false, Error.Wrap(&ErrFull{Max: cap(b.queue)})
	}
	if w.line.IsWhole {
		b.pace.hurry()
	}
	b.recent.add(w.line.RequestID)
	b.unbatched++
	b.lines.Add(1)
	return true, nil
}

// RunFlush writes the backlog at intervals until ctx ends.
func (b *Biller) RunFlush(ctx context.Context) error {
	for {
		if err := sleep.Wait(ctx, b.flushWait()); err != nil {
			return err
		}
		if err := b.flushAll(ctx); err != nil {
			b.opts.Log.WithError(err).WithField("backlog", b.Stats().Backlog).Warn("bills not written")
		}
	}
}

// flushWait spreads the writes of many nodes.
func (b *Biller) flushWait() time.Duration {
	return b.opts.FlushInterval*3/4 + time.Duration(b.opts.Rand.Int64N(int64(b.opts.FlushInterval/2)+1))
}

// flushAll writes segments until the backlog is empty or a write fails.
func (b *Biller) flushAll(ctx context.Context) error {
	b.flushing <- struct{}{}
	defer func() { <-b.flushing }()
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

// Close takes no more lines, makes those that wait safe and writes the backlog. If ctx ends first, the rest stays with
// the peer that holds it.
func (b *Biller) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	for b.hasUnbatched() && sleep.For(ctx, closePoll) {
		// RunHold may be at it as well, or may have ended.
		b.holdStep(ctx)
	}
	for isFirst := true; ; isFirst = false {
		err := b.flushAll(ctx)
		if err == nil {
			b.holdRest(ctx)
			return nil
		}
		if isFirst {
			b.holdAtSecond(ctx)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(closeRetry):
		}
	}
}

// Stats returns the counts since NewBiller.
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
