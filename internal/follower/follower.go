// Package follower keeps a node's copy of the configuration at the highest revision that the node has seen. A few nodes
// of each failure domain watch the key-value service; the others receive changes from their peers.
package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of the package's errors.
var Error = errs.Class("follower")

// Peers is the part of the peer exchange that a follower uses.
type Peers interface {
	Members() []peer.Member
	FetchConfig(ctx context.Context, from peer.Member, after api.Revision) (snapshot []byte, deltas [][]byte, err error)
	Notify(topic string)
}

// Options configures New.
type Options struct {
	// Self is this node's member record.
	Self    peer.Member
	Log     *configlog.Log
	Logger  log.Interface
	Metrics metrics.Registry
	Rand    *rand.Rand
}

// Follower is a node's copy of the configuration. It implements peer.Topic, peer.ConfigSource and configlog.Replica.
type Follower struct {
	opts   Options
	log    log.Interface
	meters *meters
	peers  Peers
	// hints carries peers that hold a newer revision. When it is full, further hints are dropped, since peers send theirs repeatedly.
	hints chan peer.Member

	// current is the last published replica.state; it is read without the lock.
	current atomic.Pointer[fleet.State]

	mu      sync.Mutex
	replica replica
	changed chan struct{}
	status  Status
	rand    *rand.Rand
	// snapshot is the encoding of snapshotOf.
	snapshot   []byte
	snapshotOf *fleet.State
}

// New returns a follower that has no configuration yet: its revision is 0.
func New(opts Options) *Follower {
	f := &Follower{
		opts:    opts,
		log:     opts.Logger,
		meters:  newMeters(opts.Metrics),
		hints:   make(chan peer.Member, 1),
		replica: replica{state: fleet.NewState()},
		changed: make(chan struct{}),
		status:  Status{Service: ServiceUnknown},
		rand:    opts.Rand,
	}
	f.current.Store(f.replica.state)
	return f
}

// SetPeers connects the follower with the peer exchange; it must be called before Run.
func (f *Follower) SetPeers(peers Peers) { f.peers = peers }

// Current returns the configuration in force; its revision is 0 until the node has received one.
func (f *Follower) Current() *fleet.Config { return f.State().Config }

// State returns the configuration in force with its entities.
func (f *Follower) State() *fleet.State { return f.current.Load() }

// Changed returns a channel that is closed at the next change. A caller must get the channel before it reads Current;
// otherwise it can miss a change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// ApplyAccepted implements acceptance.Local: it applies a delta that this node has just accepted.
func (f *Follower) ApplyAccepted(delta fleet.Delta) {
	// A delta that is not the next one is received again from the watch or from a peer.
	if err := f.Apply([]fleet.Delta{delta}); err != nil && !fleet.IsErrOutOfOrder(err) {
		f.log.WithError(err).WithField("revision", delta.Revision).Error("accepted change not applied")
	}
}

// Apply implements configlog.Replica: it applies deltas and notifies the peers.
func (f *Follower) Apply(deltas []fleet.Delta) error {
	applied, err := f.applyAndPublish(deltas)
	if applied > 0 {
		f.notifyPeers()
	}
	return err
}

// Adopt implements configlog.Replica: it replaces the state by a newer one whose deltas are not available.
func (f *Follower) Adopt(state *fleet.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica.adopt(state) {
		f.publish()
	}
}

func (f *Follower) applyAndPublish(deltas []fleet.Delta) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied, err := f.replica.apply(deltas, time.Now())
	if applied > 0 {
		f.publish()
	}
	if fleet.IsErrForked(err) {
		f.recordServiceState(ServiceForked, err)
	}
	return applied, err
}

// publish makes the replica's state the one in force and wakes those that wait on Changed; the caller holds the lock.
func (f *Follower) publish() {
	before := f.current.Swap(f.replica.state)
	f.log.WithFields(log.Fields{
		"revision": int64(f.replica.state.Revision()), "before": int64(before.Revision()), "held_for": heldFor(f.status.Since),
	}).Info("configuration in force")
	f.status.Since = time.Now()
	f.meters.revision.Update(int64(f.replica.state.Revision()))
	close(f.changed)
	f.changed = make(chan struct{})
}

// heldFor returns how long a configuration has been in force since a time; empty if the time is zero.
func heldFor(since time.Time) string {
	if since.IsZero() {
		return ""
	}
	return time.Since(since).Round(time.Millisecond).String()
}

func (f *Follower) notifyPeers() {
	if f.peers != nil {
		f.peers.Notify(topicName)
	}
}

// Run keeps the configuration up to date from the log and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.runFetches(ctx) })
	group.Go(func() error { return f.runWatchDuty(ctx) })
	return group.Wait()
}
