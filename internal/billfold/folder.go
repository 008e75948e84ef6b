// Package billfold folds the segments of bills into totals a team and day, each segment once.
package billfold

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// Error is the class of every error of the package.
var Error = errs.Class("billfold")

// ErrConflict means that another folder was faster; nothing took effect.
type ErrConflict struct{}

// Error implements error.
func (e *ErrConflict) Error() string { return "another node folded" }

const (
	// DefaultInterval is the time between two looks for segments.
	DefaultInterval = 10 * time.Second
	// DefaultDedupWindow is how long a keyed request is remembered.
	DefaultDedupWindow = 24 * time.Hour
	// DefaultMaxKeyedRequests bounds the keyed requests that a scope remembers.
	DefaultMaxKeyedRequests = 64 << 10
	// maxSegments bounds the segments of one transaction.
	maxSegments = 32
	// maxOps bounds the operations of one transaction but for those on the memory of keyed requests.
	maxOps = 100
	// turnKey changes with every transaction that folds in the first scope, and begins the turns of the others.
	turnKey = "bill/turn"
	// passTimeout bounds the calls of one transaction.
	passTimeout = 10 * time.Second
)

// Store is the part of the key-value service that folding needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
}

// Options configures New.
type Options struct {
	Store Store
	Scope Scope
	// DedupWindow and MaxSeen are the defaults if 0.
	DedupWindow      time.Duration
	MaxKeyedRequests int
	Log              log.Interface
}

// Aggregator folds a scope. One transaction adds segments to the totals, deletes them and remembers their keyed requests or forwards
// them, on the condition that none of this changed; so a crash, a lost answer or a second folder at any moment neither loses nor
// repeats a segment.
type Aggregator struct {
	opts Options
	// turn is the version of the scope's turn that totals and seen were read or written at, and firstTurn that of the first
	// scope's, which older releases remember keyed requests by; every transaction is on the condition that they still hold.
	turn, firstTurn kv.Version
	loaded          bool
	// totals caches the totals that this folder read or wrote last.
	totals map[totalKey][]*billingpb.Sum
	seen   seen
	// limit bounds the segments of the next transaction; it shrinks where one was too large.
	limit int
}

// New returns a folder that knows nothing yet.
func New(opts Options) *Aggregator {
	if opts.DedupWindow == 0 {
		opts.DedupWindow = DefaultDedupWindow
	}
	if opts.MaxKeyedRequests == 0 {
		opts.MaxKeyedRequests = DefaultMaxKeyedRequests
	}
	f := &Aggregator{opts: opts, limit: maxSegments}
	f.forget()
	return f
}

// forget drops all that was read, which another folder may have changed.
func (f *Aggregator) forget() {
	f.loaded = false
	f.totals = make(map[totalKey][]*billingpb.Sum)
	f.seen = newSeen(f.opts.Scope.seen, f.opts.DedupWindow, f.opts.MaxKeyedRequests)
}

// foldAll folds until no segment is left.
func (f *Aggregator) foldAll(ctx context.Context) error {
	for {
		more, err := f.FoldOnce(ctx, time.Now())
		if err != nil || !more {
			return err
		}
	}
}

// FoldOnce folds some segments in one transaction and tells whether more may be left.
func (f *Aggregator) FoldOnce(ctx context.Context, now time.Time) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	listed, err := f.opts.Store.List(ctx, kv.ListOptions{Prefix: f.opts.Scope.segments, Limit: f.limit})
	if err != nil || len(listed.Pairs) == 0 {
		return false, Error.Wrap(err)
	}
	if err := f.load(ctx, now); err != nil {
		return false, Error.Wrap(err)
	}
	p := f.plan(listed.Pairs)
	if err := f.commit(ctx, p, now); err != nil {
		return false, Error.Wrap(err)
	}
	f.limit = min(maxSegments, f.limit*2)
	return listed.More || p.taken < len(listed.Pairs), nil
}

// load reads the turn and then what it covers, once.
func (f *Aggregator) load(ctx context.Context, now time.Time) error {
	if f.loaded {
		return nil
	}
	turn, err := f.opts.Store.Get(ctx, f.opts.Scope.turn)
	if err != nil {
		return err
	}
	f.turn = turn.Version
	if !f.opts.Scope.forwards() {
		if err := f.loadSeen(ctx, now); err != nil {
			return err
		}
	}
	f.loaded = true
	return nil
}

// loadSeen reads the memory of keyed requests, and what the first scope remembered.
func (f *Aggregator) loadSeen(ctx context.Context, now time.Time) error {
	turn, err := f.opts.Store.Get(ctx, turnKey)
	if err != nil {
		return err
	}
	f.firstTurn = turn.Version
	return f.seen.load(ctx, f.opts.Store, now)
}

// commit writes what a plan adds. After any failure all is read again, which tells whether it took effect.
func (f *Aggregator) commit(ctx context.Context, p *plan, now time.Time) error {
	txn, err := f.transaction(ctx, p, now)
	if err != nil {
		f.forget()
		return err
	}
	result, err := f.opts.Store.Commit(ctx, txn)
	switch {
	case err != nil:
		f.forget()
		if kv.IsErrTooLarge(err) || kv.IsErrRejected(err) {
			f.limit = max(1, f.limit/2)
		}
		return err
	case !result.Succeeded:
		f.forget()
		return &ErrConflict{}
	}
	f.turn = result.Revision
	maps.Copy(f.totals, p.next)
	f.seen.commit(p.chunk, p.dropped)
	if p.repeated > 0 || p.unreadable > 0 {
		f.opts.Log.WithFields(log.Fields{"repeated": p.repeated, "unreadable": p.unreadable}).Info("bills dropped")
	}
	return nil
}

// transaction returns the transaction of a plan and fills in the plan's results.
func (f *Aggregator) transaction(ctx context.Context, p *plan, now time.Time) (kv.Txn, error) {
	txn := kv.Txn{
		If:   append([]kv.Compare{{Key: f.opts.Scope.turn, Version: f.turn}}, p.guards...),
		Then: append(p.ops, kv.Op{Kind: kv.OpPut, Key: f.opts.Scope.turn}),
	}
	if !f.opts.Scope.forwards() {
		txn.If = append(txn.If, kv.Compare{Key: turnKey, Version: f.firstTurn})
	}
	if err := f.forward(&txn, p); err != nil {
		return kv.Txn{}, err
	}
	for _, key := range p.keys() {
		current, err := f.total(ctx, key)
		if err != nil {
			return kv.Txn{}, err
		}
		p.next[key] = addSums(current, p.added[key].Sums())
		value, err := f.opts.Scope.encode(p.next[key])
		if err != nil {
			return kv.Txn{}, err
		}
		txn.Then = append(txn.Then, kv.Op{Kind: kv.OpPut, Key: key.String(), Value: value})
	}
	p.chunk = newChunk(f.opts.Scope.seen, now, p.ids)
	p.dropped = f.seen.expired(now, len(p.ids))
	txn.Then = append(txn.Then, p.chunk.ops()...)
	for _, old := range p.dropped {
		txn.Then = append(txn.Then, kv.Op{Kind: kv.OpDelete, Key: old.key})
	}
	return txn, nil
}

// forward adds the writes of the segments that carry keyed requests to their scopes. The turn makes their keys unique.
func (f *Aggregator) forward(txn *kv.Txn, p *plan) error {
	for _, shard := range slices.Sorted(maps.Keys(p.forwarded)) {
		value, err := billing.EncodeSegment(&billingpb.Segment{Keyed: p.forwarded[shard]})
		if err != nil {
			return err
		}
		key := fmt.Sprintf("%s%s/%020d", keyedPrefix(shard), f.opts.Scope.Name, f.turn)
		txn.If = append(txn.If, kv.Compare{Key: key})
		txn.Then = append(txn.Then, kv.Op{Kind: kv.OpPut, Key: key, Value: value})
	}
	return nil
}

// total returns a total as the service has it.
func (f *Aggregator) total(ctx context.Context, key totalKey) ([]*billingpb.Sum, error) {
	if known, ok := f.totals[key]; ok {
		return known, nil
	}
	pair, err := f.opts.Store.Get(ctx, key.String())
	if err != nil {
		return nil, err
	}
	sums, err := decodeTotal(pair)
	if err != nil {
		return nil, err
	}
	f.totals[key] = sums
	return sums, nil
}
