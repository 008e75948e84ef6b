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
	// rotation is how long a node folds a scope before the next one does, so that no scope depends on one node.
	rotation = time.Hour
	// deputies is how many nodes after the first look whether a scope is folded.
	deputies = 2
	// patience is how many looks a deputy finds the same segment before it folds.
	patience = 2
)

// RunnerOptions configures NewFolders.
type RunnerOptions struct {
	Store Store
	Node  api.NodeID
	// Nodes lists the live nodes with this one.
	Nodes func() []api.NodeID
	// Interval is the default if 0.
	Interval time.Duration
	Log      log.Interface
}

// Runner is the duty that folds the scopes which rendezvous hashing over the live nodes gives this node. Nodes that see unlike
// lists may both fold a scope: the turn lets one of them through, so that no lease has to be kept for each scope.
type Runner struct {
	opts RunnerOptions
	// folders holds those of this node's scopes.
	folders map[Scope]*Aggregator
	// watched holds what this node saw in the scopes that it is a deputy for.
	watched map[Scope]sighting
	sweep   sweep
}

// sighting is the first segment of a scope and how often it was seen.
type sighting struct {
	key   string
	count int
}

// NewRunner returns a duty that has folded nothing.
func NewRunner(opts RunnerOptions) *Runner {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	return &Runner{opts: opts, folders: make(map[Scope]*Aggregator), watched: make(map[Scope]sighting)}
}

// Run folds at intervals until ctx ends.
func (f *Runner) Run(ctx context.Context) error {
	return sleep.Every(ctx, f.opts.Interval, func(time.Time) { f.pass(ctx, time.Now()) })
}

// pass folds all that is there in this node's scopes.
func (f *Runner) pass(ctx context.Context, now time.Time) {
	nodes := f.opts.Nodes()
	for _, scope := range AllScopes() {
		if err := f.passScope(ctx, scope, f.rank(scope, nodes, now)); err != nil {
			f.opts.Log.WithError(err).WithField("scope", scope.Name).Warn("bills not folded")
		}
	}
	if f.folders[LegacyScope()] == nil {
		return
	}
	if err := f.sweep.step(ctx, f.opts.Store, now); err != nil {
		f.opts.Log.WithError(err).Warn("old cursors not deleted")
	}
}

// rank returns this node's rank for a scope, 0 for the first; -1 if it has nothing to do with it.
func (f *Runner) rank(scope Scope, nodes []api.NodeID, now time.Time) int {
	key := fmt.Sprintf("billfold/%s/%d", scope.Name, now.Unix()/int64(rotation.Seconds()))
	return slices.Index(rendezvous.Top(key, nodes, 1+deputies), f.opts.Node)
}

func (f *Runner) passScope(ctx context.Context, scope Scope, rank int) error {
	if rank != 0 {
		delete(f.folders, scope)
	}
	if rank <= 0 {
		delete(f.watched, scope)
	}
	switch {
	case rank < 0:
		return nil
	case rank == 0 && f.folders[scope] == nil:
		f.folders[scope] = New(Options{Store: f.opts.Store, Scope: scope, Log: f.opts.Log})
	case rank > 0:
		return f.watch(ctx, scope)
	}
	return f.folders[scope].foldAll(ctx)
}

// watch folds a scope if its first segment stays where it is: the first node for it may be gone or stuck.
func (f *Runner) watch(ctx context.Context, scope Scope) error {
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	listed, err := f.opts.Store.List(ctx, kv.ListOptions{Prefix: scope.segments, Limit: 1})
	if err != nil {
		return Error.Wrap(err)
	}
	var seen sighting
	if len(listed.Pairs) > 0 {
		seen = f.watched[scope]
		if seen.key != listed.Pairs[0].Key {
			seen = sighting{key: listed.Pairs[0].Key}
		}
		seen.count++
	}
	f.watched[scope] = seen
	if seen.count <= patience {
		return nil
	}
	return New(Options{Store: f.opts.Store, Scope: scope, Log: f.opts.Log}).foldAll(ctx)
}
