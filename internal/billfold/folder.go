// Package billfold folds the bill segments of the nodes into totals by team and day, each segment exactly once.
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

// ErrConflict means that another Aggregator changed the scope first; nothing took effect.
type ErrConflict struct{}

// Error implements error.
func (e *ErrConflict) Error() string { return "another node folded the scope concurrently" }

const (
	// DefaultInterval is the interval at which scopes are checked for segments.
	DefaultInterval = 10 * time.Second
	// DefaultDedupWindow is how long the id of a keyed request is kept for deduplication.
	DefaultDedupWindow = 24 * time.Hour
	// DefaultMaxKeyedRequests bounds the ids of keyed requests that a scope keeps.
	DefaultMaxKeyedRequests = 64 << 10
	// maxSegments bounds the segments of one transaction.
	maxSegments = 32
	// maxOps bounds the operations of one transaction, not counting those on the deduplication set.
	maxOps = 100
	// legacyGuardKey is the guard key of the legacy scope, which changes with each transaction that folds there, and
	// the prefix of the other scopes' guard keys.
	legacyGuardKey = "bill/turn"
	// passTimeout bounds the calls for one transaction.
	passTimeout = 10 * time.Second
)

// Store is the part of the key-value service that folding uses.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
}

// Options configures New.
type Options struct {
	Store Store
	Scope Scope
	// DedupWindow and MaxKeyedRequests are the defaults if 0.
	DedupWindow      time.Duration
	MaxKeyedRequests int
	Log              log.Interface
}

// Aggregator folds the segments of one scope. One transaction adds segments to the totals, deletes them and either
// records the ids of their keyed requests or forwards these requests, on the condition that none of this data has
// changed. So no segment is lost or counted twice by a crash, a lost response or a second Aggregator at any moment.
type Aggregator struct {
	opts Options
	// guardVersion is the version of the scope's guard key at which totals and dedup were read or written, and
	// legacyGuardVersion that of the legacy scope's guard key, under which older releases record keyed requests. Each
	// transaction is conditional on both versions.
	guardVersion, legacyGuardVersion kv.Version
	loaded                           bool
	// totals caches the totals as last read or written.
	totals map[totalKey][]*billingpb.Sum
	dedup  dedupSet
	// segmentLimit bounds the segments of the next transaction; it is halved after a transaction that was too large or
	// rejected.
	segmentLimit int
}

// New returns an Aggregator that has not loaded any state yet.
func New(opts Options) *Aggregator {
	if opts.DedupWindow == 0 {
		opts.DedupWindow = DefaultDedupWindow
	}
	if opts.MaxKeyedRequests == 0 {
		opts.MaxKeyedRequests = DefaultMaxKeyedRequests
	}
	a := &Aggregator{opts: opts, segmentLimit: maxSegments}
	a.reset()
	return a
}

// reset drops all cached state, which another Aggregator may have changed.
func (a *Aggregator) reset() {
	a.loaded = false
	a.totals = make(map[totalKey][]*billingpb.Sum)
	a.dedup = newDedupSet(a.opts.Scope.dedupPrefix, a.opts.DedupWindow, a.opts.MaxKeyedRequests)
}

// foldAll folds until no segment is left.
func (a *Aggregator) foldAll(ctx context.Context) error {
	for {
		more, err := a.FoldOnce(ctx, time.Now())
		if err != nil || !more {
			return err
		}
	}
}

// FoldOnce folds some segments in one transaction. more reports whether further segments may be left.
func (a *Aggregator) FoldOnce(ctx context.Context, now time.Time) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	listed, err := a.opts.Store.List(ctx, kv.ListOptions{Prefix: a.opts.Scope.segmentPrefix, Limit: a.segmentLimit})
	if err != nil || len(listed.Pairs) == 0 {
		return false, Error.Wrap(err)
	}
	if err := a.load(ctx, now); err != nil {
		return false, Error.Wrap(err)
	}
	p := a.plan(listed.Pairs)
	if err := a.commit(ctx, p, now); err != nil {
		return false, Error.Wrap(err)
	}
	a.segmentLimit = min(maxSegments, a.segmentLimit*2)
	return listed.More || p.segmentCount < len(listed.Pairs), nil
}

// load reads the version of the guard key, and then the state that the guard key protects, unless they are loaded
// already.
func (a *Aggregator) load(ctx context.Context, now time.Time) error {
	if a.loaded {
		return nil
	}
	guard, err := a.opts.Store.Get(ctx, a.opts.Scope.guardKey)
	if err != nil {
		return err
	}
	a.guardVersion = guard.Version
	if !a.opts.Scope.forwardsKeyed() {
		if err := a.loadDedupSet(ctx, now); err != nil {
			return err
		}
	}
	a.loaded = true
	return nil
}

// loadDedupSet reads the ids of keyed requests, including those recorded by the legacy scope.
func (a *Aggregator) loadDedupSet(ctx context.Context, now time.Time) error {
	guard, err := a.opts.Store.Get(ctx, legacyGuardKey)
	if err != nil {
		return err
	}
	a.legacyGuardVersion = guard.Version
	return a.dedup.load(ctx, a.opts.Store, now)
}

// commit runs the transaction of a plan. After a failure all state is read again, which shows whether the transaction
// took effect.
func (a *Aggregator) commit(ctx context.Context, p *plan, now time.Time) error {
	txn, err := a.transaction(ctx, p, now)
	if err != nil {
		a.reset()
		return err
	}
	result, err := a.opts.Store.Commit(ctx, txn)
	switch {
	case err != nil:
		a.reset()
		if kv.IsErrTooLarge(err) || kv.IsErrRejected(err) {
			a.segmentLimit = max(1, a.segmentLimit/2)
		}
		return err
	case !result.Succeeded:
		a.reset()
		return &ErrConflict{}
	}
	a.guardVersion = result.Revision
	maps.Copy(a.totals, p.newTotals)
	a.dedup.commit(p.chunk, p.dropped)
	if p.repeated > 0 || p.unreadable > 0 {
		a.opts.Log.WithFields(log.Fields{"repeated": p.repeated, "unreadable": p.unreadable}).Info("bills dropped")
	}
	return nil
}

// transaction returns the transaction of a plan and sets the plan's resulting state.
func (a *Aggregator) transaction(ctx context.Context, p *plan, now time.Time) (kv.Txn, error) {
	txn := kv.Txn{
		If:   append([]kv.Compare{{Key: a.opts.Scope.guardKey, Version: a.guardVersion}}, p.conditions...),
		Then: append(p.ops, kv.Op{Kind: kv.OpPut, Key: a.opts.Scope.guardKey}),
	}
	if !a.opts.Scope.forwardsKeyed() {
		txn.If = append(txn.If, kv.Compare{Key: legacyGuardKey, Version: a.legacyGuardVersion})
	}
	if err := a.forward(&txn, p); err != nil {
		return kv.Txn{}, err
	}
	for _, key := range p.keys() {
		current, err := a.total(ctx, key)
		if err != nil {
			return kv.Txn{}, err
		}
		p.newTotals[key] = addSums(current, p.added[key].Sums())
		value, err := a.opts.Scope.encode(p.newTotals[key])
		if err != nil {
			return kv.Txn{}, err
		}
		txn.Then = append(txn.Then, kv.Op{Kind: kv.OpPut, Key: key.String(), Value: value})
	}
	p.chunk = newChunk(a.opts.Scope.dedupPrefix, now, p.ids)
	p.dropped = a.dedup.expired(now, len(p.ids))
	txn.Then = append(txn.Then, p.chunk.ops()...)
	for _, old := range p.dropped {
		txn.Then = append(txn.Then, kv.Op{Kind: kv.OpDelete, Key: old.key})
	}
	return txn, nil
}

// forward adds writes that forward keyed requests as segments to their scopes. The guard version in the keys makes them
// unique.
func (a *Aggregator) forward(txn *kv.Txn, p *plan) error {
	for _, shard := range slices.Sorted(maps.Keys(p.forwarded)) {
		value, err := billing.EncodeSegment(&billingpb.Segment{Keyed: p.forwarded[shard]})
		if err != nil {
			return err
		}
		key := fmt.Sprintf("%s%s/%020d", keyedPrefix(shard), a.opts.Scope.Name, a.guardVersion)
		txn.If = append(txn.If, kv.Compare{Key: key})
		txn.Then = append(txn.Then, kv.Op{Kind: kv.OpPut, Key: key, Value: value})
	}
	return nil
}

// total returns the sums of a total, from the cache or the key-value service.
func (a *Aggregator) total(ctx context.Context, key totalKey) ([]*billingpb.Sum, error) {
	if cached, ok := a.totals[key]; ok {
		return cached, nil
	}
	pair, err := a.opts.Store.Get(ctx, key.String())
	if err != nil {
		return nil, err
	}
	sums, err := decodeTotal(pair)
	if err != nil {
		return nil, err
	}
	a.totals[key] = sums
	return sums, nil
}
