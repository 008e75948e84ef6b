package claim

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// DefaultMaxBatch bounds the claims of one transaction.
	DefaultMaxBatch = kv.MaxTxnOps
	// DefaultMinInterval is the least time between the starts of two transactions of a batcher.
	DefaultMinInterval = 20 * time.Millisecond
	// DefaultQueue bounds the claims that wait; further ones are refused.
	DefaultQueue = 4096
)

// BatcherOptions configures NewBatcher.
type BatcherOptions struct {
	Store Store
	// Retention is how long a claim is kept at least; 0 means DefaultRetention.
	Retention time.Duration
	// MaxBatch, MinInterval and Queue are the defaults if 0.
	MaxBatch    int
	MinInterval time.Duration
	Queue       int
	Log         log.Interface
}

// Stats counts what a batcher did.
type Stats struct {
	Transactions, Won, Existing, Failed int64
	// Queued is the number of claims that wait now.
	Queued int
}

// Batcher is the duty that writes claims, with one transaction in flight. Claims wait in a queue; one that finds
// it full is refused.
type Batcher struct {
	opts   BatcherOptions
	queue  chan *pending
	leases hourlyLeases
	recent recent
	// revision is the highest one that the service was seen at.
	revision kv.Version
	// held begins the next batch: what the last one left over.
	held []*pending

	transactions, won, existing, failed atomic.Int64
}

// pending is an entry that waits for its result.
type pending struct {
	ctx   context.Context
	entry Entry
	value []byte
	// restores tells that the claim was made before and lost by the service.
	restores bool
	// done receives one answer and never blocks.
	done chan answer
}

type answer struct {
	result CommitResult
	err    error
}

// NewBatcher returns a batcher that does nothing until Run.
func NewBatcher(opts BatcherOptions) *Batcher {
	if opts.Retention == 0 {
		opts.Retention = DefaultRetention
	}
	if opts.MaxBatch == 0 {
		opts.MaxBatch = DefaultMaxBatch
	}
	if opts.MinInterval == 0 {
		opts.MinInterval = DefaultMinInterval
	}
	if opts.Queue == 0 {
		opts.Queue = DefaultQueue
	}
	return &Batcher{
		opts:   opts,
		queue:  make(chan *pending, opts.Queue),
		leases: hourlyLeases{store: opts.Store, retention: opts.Retention},
		recent: newRecent(opts.Retention),
	}
}

// Commit makes a claim and waits for its result. The error is IsErrUnavailable; the claim may then still have been
// made or be made later, so that another try uses the same nonce.
func (b *Batcher) Commit(ctx context.Context, entry Entry) (CommitResult, error) {
	p, err := newPending(ctx, entry)
	if err != nil {
		return CommitResult{}, unavailable(err)
	}
	return b.await(ctx, p)
}

// Restore does as Commit for a claim that the service may have lost, also if it was made lately.
func (b *Batcher) Restore(ctx context.Context, entry Entry) (CommitResult, error) {
	p, err := newPending(ctx, entry)
	if err != nil {
		return CommitResult{}, unavailable(err)
	}
	p.restores = true
	return b.await(ctx, p)
}

// await queues an entry and waits for its result.
func (b *Batcher) await(ctx context.Context, p *pending) (CommitResult, error) {
	select {
	case b.queue <- p:
	default:
		return CommitResult{}, unavailable(&ErrQueueFull{Max: b.opts.Queue})
	}
	select {
	case a := <-p.done:
		return a.result, a.err
	case <-ctx.Done():
		return CommitResult{}, unavailable(ctx.Err())
	}
}

func newPending(ctx context.Context, entry Entry) (*pending, error) {
	value, err := json.Marshal(entry.Record)
	return &pending{ctx: ctx, entry: entry, value: value, done: make(chan answer, 1)}, err
}

// Stats returns the counts since NewBatcher.
func (b *Batcher) Stats() Stats {
	return Stats{
		Transactions: b.transactions.Load(),
		Won:          b.won.Load(),
		Existing:     b.existing.Load(),
		Failed:       b.failed.Load(),
		Queued:       len(b.queue),
	}
}

// Run writes claims until ctx ends; those that wait then are refused.
func (b *Batcher) Run(ctx context.Context) error {
	defer func() {
		b.fail(append(b.held, b.drain(cap(b.queue))...), ctx.Err())
		b.held = nil
	}()
	var next time.Time
	for {
		if len(b.held) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case p := <-b.queue:
				b.held = append(b.held, p)
			}
		}
		if err := sleep.Wait(ctx, time.Until(next)); err != nil {
			return err
		}
		next = time.Now().Add(b.opts.MinInterval)
		if batch := b.nextBatch(); len(batch) > 0 {
			b.write(ctx, batch)
		}
	}
}

// nextBatch takes waiting entries, each key once; repeats are held for the batch after. Keys of recent claims are
// answered without one.
func (b *Batcher) nextBatch() []*pending {
	waiting := append(b.held, b.drain(b.opts.MaxBatch)...)
	b.held = nil
	now := time.Now()
	seen := make(map[string]bool, b.opts.MaxBatch)
	var batch []*pending
	for _, p := range waiting {
		known, isKnown := b.recent.find(p.entry.Key, now)
		switch {
		case p.ctx.Err() != nil:
			b.fail([]*pending{p}, p.ctx.Err())
		case isKnown && !p.restores:
			b.answer(p, compare(p.entry, known))
		case seen[p.entry.Key] || len(batch) == b.opts.MaxBatch:
			b.held = append(b.held, p)
		default:
			seen[p.entry.Key] = true
			batch = append(batch, p)
		}
	}
	return batch
}

// drain takes at most max entries from the queue without waiting.
func (b *Batcher) drain(max int) []*pending {
	var taken []*pending
	for range max {
		select {
		case p := <-b.queue:
			taken = append(taken, p)
		default:
			return taken
		}
	}
	return taken
}
