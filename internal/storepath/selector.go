// Package storepath chooses the path by which a node reads the platform's store, so that the calls to the store grow with the failure domains
// and not with the nodes.
package storepath

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/mirror"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/relay"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxRelayAge is the maximum age of data relayed by a peer; older data means that the peer has lost its connection to the store.
	maxRelayAge = 2500 * time.Millisecond
	// fallbackPeriod is how long a node uses a fallback path to the store before it retries the preferred one.
	fallbackPeriod = 5 * time.Second
	// tooOldDelay is the delay before the next path is tried after one whose data was too old: nodes that have lost the store answer at once.
	tooOldDelay = 150 * time.Millisecond
	// fallbackDelay is how long a node that reads the store through others tries these before it calls the store itself. What keeps the store from answering
	// one node, as a dropped history, often keeps it from answering all, and they would all call it at once.
	fallbackDelay = time.Second
	// listDelay is how long such a node leaves it to the others to read all keys anew after the store has dropped its history: what has changed is much smaller.
	listDelay = 2 * time.Second
	// fallbackRate is the number of calls per second to the store by all nodes together that have lost all nodes through which they read it.
	fallbackRate = 40
)

// Error is the class of every error of the package.
var Error = errs.Class("storepath")

// Options configures New.
type Options struct {
	Self          api.NodeID
	FailureDomain api.FailureDomain
	Store         mirror.Store
	// Client calls other nodes.
	Client *http.Client
	// Nodes returns the list of nodes. The list is not modified; a change replaces it.
	Nodes func() *[]nodelist.Node
	Log   log.Interface
	// CountRead counts the reads by path and outcome.
	CountRead func(isPeer bool, outcome ReadOutcome)
}

// Selector chooses the path for each read of the store; if the preferred path fails, the next one is used. Only a mirror calls its methods, one
// call at a time.
type Selector struct {
	opts Options
	// plan holds the paths for plannedNodes.
	plan         []Path
	plannedNodes *[]nodelist.Node

	// failures counts the failed calls since the preferred path was last used; it selects the path, so that paths are tried in turn.
	failures int
	// isUntried is set until the current path has returned a usable answer.
	isUntried bool
	// failingSince is when the first of these calls failed.
	failingSince time.Time
	// retryPreferredAt is when the preferred path is tried again.
	retryPreferredAt time.Time
	// nextFallback is when this node may next call the store within the fleet's budget.
	nextFallback time.Time
	// usedPath is the path of the last usable answer, lastFailure the last error since then.
	usedPath    string
	lastFailure error
	// relay is the node through which the store was last read; nil after a read of the store itself or a failed one.
	relay atomic.Pointer[nodelist.Node]
	// relays holds the addresses of the nodes of plan.
	relays atomic.Pointer[[]string]
}

// Relays returns the "IP:port" of nodes that may reach the store, if this node reads it through one: that one first, which may itself read it through
// another, and then the others through which this node would read it. It may be called by any goroutine.
func (s *Selector) Relays() []string {
	node, others := s.relay.Load(), s.relays.Load()
	if node == nil || others == nil {
		return nil
	}
	relays := []string{node.Peers}
	for _, address := range *others {
		if address != node.Peers {
			relays = append(relays, address)
		}
	}
	return relays
}

// setPlan sets the paths for a list of nodes.
func (s *Selector) setPlan(nodes *[]nodelist.Node) {
	s.plan, s.plannedNodes = Plan(s.opts.Self, s.opts.FailureDomain, *nodes), nodes
	var relays []string
	for _, path := range s.plan {
		if path.Via != nil {
			relays = append(relays, path.Via.Peers)
		}
	}
	s.relays.Store(&relays)
}

// New returns a Selector.
func New(opts Options) *Selector {
	opts.Log = eventlog.OrDiscard(opts.Log)
	return &Selector{opts: opts}
}

// ReadOutcome is the outcome of a read over one path, used in metric labels.
type ReadOutcome string

// Outcomes of reads.
const (
	ReadUsable ReadOutcome = "usable"
	ReadFailed ReadOutcome = "failed"
	ReadTooOld ReadOutcome = "too-old"
)

// directPath is the name of the path that calls the store itself; the paths through peers have the peers' names.
const directPath = "store"

// ErrTooOld means that a peer relayed data that was older than maxRelayAge.
type ErrTooOld struct{ Age time.Duration }

// Error implements error.
func (e *ErrTooOld) Error() string { return "relayed data is " + e.Age.String() + " old" }

func isErrTooOld(err error) bool {
	var tooOld *ErrTooOld
	return errors.As(err, &tooOld)
}

// ErrHistoryDropped means that the store has dropped its history, so that other nodes are asked for what has changed.
type ErrHistoryDropped struct{}

// Error implements error.
func (e *ErrHistoryDropped) Error() string { return "store dropped its history" }

// Next returns the path to use for the next call.
func (s *Selector) Next() mirror.Store {
	now := time.Now()
	if s.failures > 0 && now.After(s.retryPreferredAt) {
		s.failures = 0
	}
	if nodes := s.opts.Nodes(); s.plan == nil || nodes != s.plannedNodes {
		knewNodes := slices.ContainsFunc(s.plan, func(p Path) bool { return p.Via != nil })
		if s.setPlan(nodes); !knewNodes && len(s.plan) > 1 {
			// The failures were the store's, before the node knew of others.
			s.failures, s.isUntried = 0, true
		}
	}
	path := s.plan[s.failures%len(s.plan)]
	if path.IsBudgeted && s.isUntried && (now.Sub(s.failingSince) < fallbackDelay || !s.takeFallback(now)) {
		s.failures++
		path = s.plan[s.failures%len(s.plan)]
	}
	return s.open(path)
}

// takeFallback reports whether the node may call the store now within the fleet's budget. The first call is always within it.
func (s *Selector) takeFallback(now time.Time) bool {
	if now.Before(s.nextFallback) {
		return false
	}
	s.nextFallback = now.Add(time.Duration(len(*s.plannedNodes)) * time.Second / fallbackRate)
	return true
}

func (s *Selector) open(path Path) *storePath {
	if path.Via == nil {
		return &storePath{Store: s.opts.Store, name: directPath, isBudgeted: path.IsBudgeted, selector: s}
	}
	return &storePath{
		Store: &relay.Client{Address: path.Via.Peers, Client: s.opts.Client}, name: string(path.Via.ID), via: path.Via, selector: s,
	}
}

// storePath is one path to the store; it records in the selector whether its calls succeed.
type storePath struct {
	mirror.Store
	// name is the name of the peer, or directPath.
	name string
	// via is nil for the store itself.
	via *nodelist.Node
	// isBudgeted is that of the Path.
	isBudgeted bool
	selector   *Selector
}

// IsRelay implements mirror.Relay.
func (p *storePath) IsRelay() bool { return p.name != directPath }

// List implements mirror.Store.
func (p *storePath) List(ctx context.Context, prefix string) (kv.ListResult, error) {
	listed, err := p.Store.List(ctx, prefix)
	p.recordResult(ctx, listed.Age, err)
	return listed, err
}

// ListStale implements mirror.StaleLister.
func (p *storePath) ListStale(ctx context.Context, prefix string) (kv.ListResult, error) {
	lister, ok := p.Store.(mirror.StaleLister)
	if !ok {
		return p.List(ctx, prefix)
	}
	listed, err := lister.ListStale(ctx, prefix)
	p.recordResult(ctx, listed.Age, err)
	return listed, err
}

// Poll implements mirror.Store.
func (p *storePath) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	if p.selector.isUntried {
		if isErrTooOld(p.selector.lastFailure) {
			sleep.For(ctx, tooOldDelay)
		}
		// A poll without a wait shows immediately whether the path works.
		wait = 0
	}
	batch, err := p.Store.Poll(ctx, prefix, after, wait)
	if kv.IsErrCompacted(err) && p.isBudgeted && time.Since(p.selector.failingSince) < listDelay {
		err = kv.Error.Wrap(&kv.ErrUnavailable{Cause: &ErrHistoryDropped{}})
		p.recordResult(ctx, batch.Age, err)
		p.selector.restart()
		return batch, err
	}
	p.recordResult(ctx, batch.Age, err)
	return batch, err
}

// restart has the paths tried from the first one on.
func (s *Selector) restart() {
	if tried := s.failures % len(s.plan); tried > 0 {
		s.failures += len(s.plan) - tried
	}
}

// recordResult selects the next path after an error or data that is too old. A compacted history means that the path itself works.
func (p *storePath) recordResult(ctx context.Context, age time.Duration, err error) {
	s := p.selector
	outcome := ReadUsable
	switch {
	case ctx.Err() != nil:
		return
	case kv.IsErrCompacted(err):
	case err != nil:
		outcome = ReadFailed
	case age >= maxRelayAge:
		outcome, err = ReadTooOld, Error.Wrap(&ErrTooOld{Age: age})
	}
	s.opts.CountRead(p.name != directPath, outcome)
	if outcome == ReadUsable {
		p.recordUse()
		return
	}
	s.lastFailure = err
	s.relay.Store(nil)
	if wasTried := !s.isUntried; wasTried && p.via == nil && !p.isBudgeted && s.failures == 0 {
		// A watch that heard nothing, or whose connection fell silent, says little about the store: a second call shows at once.
		s.isUntried = true
		return
	}
	s.isUntried = true
	if s.failures == 0 {
		s.failingSince = time.Now()
		s.retryPreferredAt = s.failingSince.Add(fallbackPeriod)
	}
	s.failures++
}

// recordUse records a usable answer of the path, and logs a change of the path.
func (p *storePath) recordUse() {
	s := p.selector
	s.isUntried = false
	s.relay.Store(p.via)
	if p.name != s.usedPath {
		fields := log.Fields{"path": p.name, "previous": s.usedPath, "failures": s.failures}
		if s.lastFailure != nil {
			fields["cause"] = s.lastFailure.Error()
		}
		s.opts.Log.WithFields(fields).Info("store path changed")
	}
	s.usedPath, s.lastFailure = p.name, nil
}
