package claim

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

// DefaultCheckInterval is the interval at which the key-value service's revision is checked.
const DefaultCheckInterval = 10 * time.Second

// RevisionReader is the part of the key-value service that returns its revision.
type RevisionReader interface {
	List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error)
}

// RestorerOptions configures NewRestorer.
type RestorerOptions struct {
	Store   RevisionReader
	Claimer *Claimer
	// Batcher is this node's own Batcher.
	Batcher *Batcher
	// Interval is DefaultCheckInterval if 0.
	Interval time.Duration
	Log      log.Interface
}

// Restorer makes a node's claims again after the key-value service was rolled back to an older state. It is needed if
// the node that batched them has left. Run must run in the background.
type Restorer struct {
	opts     RestorerOptions
	revision kv.Version
}

// NewRestorer returns a Restorer that has read no revision yet.
func NewRestorer(opts RestorerOptions) *Restorer {
	if opts.Interval == 0 {
		opts.Interval = DefaultCheckInterval
	}
	return &Restorer{opts: opts}
}

// Run checks the key-value service's revision until ctx ends.
func (r *Restorer) Run(ctx context.Context) error {
	return sleep.Every(ctx, r.opts.Interval, func(time.Time) {
		// Outages are reported by the parts that need the key-value service.
		if revision, err := r.read(ctx); err == nil {
			r.check(ctx, revision)
		}
	})
}

func (r *Restorer) read(ctx context.Context) (kv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Interval)
	defer cancel()
	listed, err := r.opts.Store.List(ctx, kv.ListOptions{Prefix: leasePrefix, Limit: 1})
	return listed.Revision, err
}

// check makes the claims again if the revision has decreased, and at each later check until all are made.
func (r *Restorer) check(ctx context.Context, revision kv.Version) {
	if revision >= r.revision {
		r.revision = revision
		return
	}
	entries := r.opts.Claimer.ledger.entries()
	err := r.restore(ctx, entries)
	entry := r.opts.Log.WithFields(log.Fields{"was": r.revision, "is": revision, "claims": len(entries)})
	if err != nil {
		entry.WithError(err).Error("key-value service came back older: own claims not all made again")
		return
	}
	entry.Error("key-value service came back older: own claims made again")
	r.revision = revision
}

// restore makes claims again, at most DefaultMaxBatch of them concurrently.
func (r *Restorer) restore(ctx context.Context, entries []Entry) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(DefaultMaxBatch)
	for _, entry := range entries {
		group.Go(func() error {
			result, err := r.opts.Batcher.Restore(ctx, entry)
			if err == nil && !result.IsWon {
				r.opts.Log.WithFields(log.Fields{"request": entry.Record.RequestID, "other": result.Existing.RequestID}).
					Error("a key was claimed anew while its claim was lost: its request may run twice")
			}
			return err
		})
	}
	return group.Wait()
}
