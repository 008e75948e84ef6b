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
	// DefaultMinInterval is the minimum interval between the starts of two transactions of a Batcher.
	DefaultMinInterval = 20 * time.Millisecond
	// DefaultQueue bounds the claims that wait to be written; further claims are rejected with ErrQueueFull.
	DefaultQueue = 4096
)

// BatcherOptions configures NewBatcher.
type BatcherOptions struct {
	Store Store
	// Retention is the minimum time that a claim is kept; 0 means DefaultRetention.
	Retention time.Duration
	// MaxBatch, MinInterval and Queue override DefaultMaxBatch, DefaultMinInterval and DefaultQueue; 0 means the default.
	MaxBatch    int
	MinInterval time.Duration
	Queue       int
	Log         log.Interface
}

// Stats are the counters of a Batcher.
type Stats struct {
	Transactions, Won, Existing, Failed int64
	// Queued is the number of claims that wait at present.
	Queued int
}

// Batcher writes claims in batches, with one transaction in flight. Claims wait in a bounded queue and are rejected
// when it is full. Run must run in the background.
type Batcher struct {
	opts   BatcherOptions
	queue  chan *pending
	leases hourlyLeases
	cache  claimCache
	// revision is the highest revision of the key-value service seen so far.
	revision kv.Version
	// carryover begins the next batch; it contains the claims left over from the last one.
	carryover []*pending

	transactions, won, existing, failed atomic.Int64
}

// pending is an entry that waits for its result.
type pending struct {
	ctx   context.Context
	entry Entry
	value []byte
	// isRestore means that the claim was made before and that the key-value service may have lost it.
	isRestore bool
	// done is buffered and receives exactly one reply.
	done chan reply
}

type reply struct {
	result CommitResult
	err    error
}

// NewBatcher returns a Batcher that writes nothing until Run is called.
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
		cache:  newClaimCache(opts.Retention),
	}
}

// Commit makes a claim and waits for its result. The error is an ErrUnavailable; the claim may then still have been
// made or be made later, so that a retry must use the same nonce.
func (b *Batcher) Commit(ctx context.Context, entry Entry) (CommitResult, error) {
	p, err := newPending(ctx, entry)
	if err != nil {
		return CommitResult{}, unavailable(err)
	}
	return b.await(ctx, p)
}

// Restore makes a claim again that the key-value service may have lost. Unlike Commit it writes the claim even if it is
// cached as a recent one.
func (b *Batcher) Restore(ctx context.Context, entry Entry) (CommitResult, error) {
	p, err := newPending(ctx, entry)
	if err != nil {
		return CommitResult{}, unavailable(err)
	}
	p.isRestore = true
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
	case r := <-p.done:
		return r.result, r.err
	case <-ctx.Done():
		return CommitResult{}, unavailable(ctx.Err())
	}
}

func newPending(ctx context.Context, entry Entry) (*pending, error) {
	value, err := json.Marshal(entry.Record)
	return &pending{ctx: ctx, entry: entry, value: value, done: make(chan reply, 1)}, err
}

// Stats returns the counters since NewBatcher.
func (b *Batcher) Stats() Stats {
	return Stats{
		Transactions: b.transactions.Load(),
		Won:          b.won.Load(),
		Existing:     b.existing.Load(),
		Failed:       b.failed.Load(),
		Queued:       len(b.queue),
	}
}

// Run writes claims until ctx ends; the claims that still wait then fail.
func (b *Batcher) Run(ctx context.Context) error {
	defer func() {
		b.fail(append(b.carryover, b.drain(cap(b.queue))...), ctx.Err())
		b.carryover = nil
	}()
	var next time.Time
	for {
		if len(b.carryover) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case p := <-b.queue:
				b.carryover = append(b.carryover, p)
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

// nextBatch takes entries from the carryover and the queue, each key at most once; repeated keys are carried over.
// Entries whose keys were claimed recently are answered from the cache without a transaction.
func (b *Batcher) nextBatch() []*pending {
	waiting := append(b.carryover, b.drain(b.opts.MaxBatch)...)
	b.carryover = nil
	now := time.Now()
	seen := make(map[string]bool, b.opts.MaxBatch)
	var batch []*pending
	for _, p := range waiting {
		cached, isCached := b.cache.find(p.entry.Key, now)
		switch {
		case p.ctx.Err() != nil:
			b.fail([]*pending{p}, p.ctx.Err())
		case isCached && !p.isRestore:
			b.resolve(p, resultOf(p.entry, cached))
		case seen[p.entry.Key] || len(batch) == b.opts.MaxBatch:
			b.carryover = append(b.carryover, p)
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
