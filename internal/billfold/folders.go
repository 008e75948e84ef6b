package billfold

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// rotationPeriod is how long a node folds a scope before the next node does, so that no scope depends on one node.
	rotationPeriod = time.Hour
	// standbyNodes is how many nodes ranked after the first check whether a scope is folded.
	standbyNodes = 2
	// maxStaleChecks is how many checks may find the same first segment in a scope before a standby node folds the
	// scope.
	maxStaleChecks = 2
)

// RunnerOptions configures NewRunner.
type RunnerOptions struct {
	Store Store
	Node  api.NodeID
	// Nodes returns the live nodes, including this one.
	Nodes func() []api.NodeID
	// Interval is DefaultInterval if 0.
	Interval time.Duration
	Log      log.Interface
}

// Runner folds the scopes that rendezvous hashing over the live nodes assigns to this node. Nodes with different views
// of the live nodes may both fold a scope: the guard key lets one of them succeed, so that the scopes need no leases.
type Runner struct {
	opts RunnerOptions
	// aggregators are the Aggregators of the scopes assigned to this node.
	aggregators map[Scope]*Aggregator
	// observed has the last check of each scope that this node is a standby node for.
	observed map[Scope]observation
	sweep    cursorSweep
}

// observation is the first segment of a scope and the number of successive checks that found it.
type observation struct {
	key   string
	count int
}

// NewRunner returns a Runner that has folded nothing yet.
func NewRunner(opts RunnerOptions) *Runner {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	return &Runner{opts: opts, aggregators: make(map[Scope]*Aggregator), observed: make(map[Scope]observation)}
}

// Run folds at intervals until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	return sleep.Every(ctx, r.opts.Interval, func(time.Time) { r.pass(ctx, time.Now()) })
}

// pass folds all segments in the scopes of this node.
func (r *Runner) pass(ctx context.Context, now time.Time) {
	nodes := r.opts.Nodes()
	for _, scope := range AllScopes() {
		if err := r.passScope(ctx, scope, r.rank(scope, nodes, now)); err != nil {
			r.opts.Log.WithError(err).WithField("scope", scope.Name).Warn("bills not folded")
		}
	}
	if r.aggregators[LegacyScope()] == nil {
		return
	}
	if err := r.sweep.step(ctx, r.opts.Store, now); err != nil {
		r.opts.Log.WithError(err).Warn("old cursors not deleted")
	}
}

// rank returns this node's rank for a scope: 0 if it folds the scope, a positive rank if it is a standby node, -1
// otherwise.
func (r *Runner) rank(scope Scope, nodes []api.NodeID, now time.Time) int {
	key := fmt.Sprintf("billfold/%s/%d", scope.Name, now.Unix()/int64(rotationPeriod.Seconds()))
	return slices.Index(rendezvous.Top(key, nodes, 1+standbyNodes), r.opts.Node)
}

func (r *Runner) passScope(ctx context.Context, scope Scope, rank int) error {
	if rank != 0 {
		delete(r.aggregators, scope)
	}
	if rank <= 0 {
		delete(r.observed, scope)
	}
	switch {
	case rank < 0:
		return nil
	case rank == 0 && r.aggregators[scope] == nil:
		r.aggregators[scope] = New(Options{Store: r.opts.Store, Scope: scope, Log: r.opts.Log})
	case rank > 0:
		return r.foldIfStale(ctx, scope)
	}
	return r.aggregators[scope].foldAll(ctx)
}

// foldIfStale folds a scope if its first segment has not changed for maxStaleChecks checks: the assigned node may have
// crashed or be stuck.
func (r *Runner) foldIfStale(ctx context.Context, scope Scope) error {
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	listed, err := r.opts.Store.List(ctx, kv.ListOptions{Prefix: scope.segmentPrefix, Limit: 1})
	if err != nil {
		return Error.Wrap(err)
	}
	var first observation
	if len(listed.Pairs) > 0 {
		first = r.observed[scope]
		if first.key != listed.Pairs[0].Key {
			first = observation{key: listed.Pairs[0].Key}
		}
		first.count++
	}
	r.observed[scope] = first
	if first.count <= maxStaleChecks {
		return nil
	}
	return New(Options{Store: r.opts.Store, Scope: scope, Log: r.opts.Log}).foldAll(ctx)
}
