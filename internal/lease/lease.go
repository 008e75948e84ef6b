// Package lease assigns a duty to at most one node at a time. The holder of the duty has a lease of the key-value service and a fencing
// number that increases with every change of holder.
package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("lease")

const (
	// DefaultTTL is the time to live of a lease that isn't renewed.
	DefaultTTL = 15 * time.Second
	// stepTimeout bounds one attempt to acquire or renew a lease.
	stepTimeout = 4 * time.Second
	// clockDriftDivisor sets the safety margin for clock drift between node and service: the TTL divided by it.
	clockDriftDivisor = 20
)

// Fencing is the fencing number of a holder. A later holder of the duty has a higher one, even if the key-value service was restored to an
// older state, as long as the holders' clocks differ by less than the age of that state.
type Fencing int64

// Store is the part of the key-value service that leases need.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error)
	KeepAlive(ctx context.Context, id kv.LeaseID) (kv.Lease, error)
	Revoke(ctx context.Context, id kv.LeaseID) error
}

// Options configures New.
type Options struct {
	Store   Store
	Service api.Service
	// Duty is the name of the duty, unique within the service.
	Duty        string
	Node        api.NodeID
	Incarnation api.Incarnation
	// TTL is the time to live of the lease; 0 means DefaultTTL.
	TTL time.Duration
	// IsCandidate reports whether this node shall acquire the duty if it is free; nil means always. Few candidates per duty keep the
	// number of reads low. A holder that is no longer a candidate releases the duty.
	IsCandidate func() bool
	Rand        *rand.Rand
	Log         log.Interface
}

// Lease acquires and renews the lease of one duty. It is safe for concurrent use.
type Lease struct {
	opts Options
	// step holds a token while a step is running, so that Run and Close exclude each other.
	step   chan struct{}
	closed chan struct{}

	mu   sync.Mutex
	held heldLease
	// changed is closed and replaced when the lease is acquired, released or lost.
	changed chan struct{}
}

// heldLease is the state of a lease that this node holds; the zero value means that it holds none.
type heldLease struct {
	id      kv.LeaseID
	fencing Fencing
	// guard is a transaction condition that holds until another node acquires the duty.
	guard kv.Compare
	since time.Time
	// expires is the earliest time at which the lease may end at the service, minus the margin for clock drift.
	expires time.Time
}

// New returns a lease that is not held.
func New(opts Options) *Lease {
	if opts.TTL == 0 {
		opts.TTL = DefaultTTL
	}
	if opts.IsCandidate == nil {
		opts.IsCandidate = func() bool { return true }
	}
	return &Lease{
		opts:    opts,
		step:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
		changed: make(chan struct{}),
	}
}

// Held returns the fencing number and the remaining time for which this node holds the duty, or false if it doesn't. A holder must call it
// right before each action of the duty. The remaining time is the shorter one of those by the monotonic clock and by the wall clock.
func (l *Lease) Held(now time.Time) (Fencing, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := l.held.remaining(now)
	if remaining <= 0 {
		return 0, 0, false
	}
	return l.held.fencing, remaining, true
}

// Guard returns a transaction condition for the holder's writes: it no longer holds once another node has acquired the duty.
func (l *Lease) Guard() kv.Compare {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.guard
}

// Since returns when this node acquired the duty; the zero time if it doesn't hold the duty.
func (l *Lease) Since() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.since
}

// Changed returns a channel that is closed when the lease is next acquired, released or lost.
func (l *Lease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Run acquires the lease when it is free and renews it until ctx ends. It doesn't release the lease at its end, Close does.
func (l *Lease) Run(ctx context.Context) error {
	timer := time.NewTimer(l.withJitter(0))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.closed:
			<-ctx.Done()
			return ctx.Err()
		case <-timer.C:
		}
		timer.Reset(l.withJitter(l.runStep(ctx)))
	}
}

// runStep acquires, renews or releases the lease and returns the delay until the next step.
func (l *Lease) runStep(ctx context.Context) time.Duration {
	l.step <- struct{}{}
	defer func() { <-l.step }()
	if l.isClosed() {
		return l.opts.TTL
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	err := l.acquireOrRenew(ctx)
	if err == nil {
		return l.opts.TTL / 3
	}
	l.opts.Log.WithFields(log.Fields{"service": l.opts.Service, "duty": l.opts.Duty}).WithError(err).Warn("lease not taken or kept")
	return l.opts.TTL / 10
}

// acquireOrRenew acquires, renews or releases the lease, depending on its state and on whether this node is a candidate.
func (l *Lease) acquireOrRenew(ctx context.Context) error {
	current := l.current()
	switch {
	case current.id == 0 && l.opts.IsCandidate():
		return l.acquire(ctx)
	case current.id == 0:
		return nil
	case !l.opts.IsCandidate():
		return l.release(ctx)
	case current.remaining(time.Now()) <= 0:
		// The lease may still be valid at the service, but no renewal was confirmed in time.
		return l.release(ctx)
	default:
		return l.renew(ctx, current)
	}
}

// renew extends the lease at the service.
func (l *Lease) renew(ctx context.Context, current heldLease) error {
	sent := time.Now()
	kept, err := l.opts.Store.KeepAlive(ctx, current.id)
	if kv.IsErrLeaseNotFound(err) {
		l.set(heldLease{})
	}
	if err != nil {
		return Error.Wrap(err)
	}
	current.expires = expiry(sent, kept.TTL)
	l.set(current)
	return nil
}

// release stops using the lease immediately, then revokes it at the service.
func (l *Lease) release(ctx context.Context) error {
	current := l.current()
	if current.id == 0 {
		return nil
	}
	l.set(heldLease{})
	err := l.opts.Store.Revoke(ctx, current.id)
	if kv.IsErrLeaseNotFound(err) {
		return nil
	}
	return Error.Wrap(err)
}

// Close waits for a running step, at most until ctx ends, and releases the lease. The lease is not acquired again.
func (l *Lease) Close(ctx context.Context) error {
	l.mu.Lock()
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	l.mu.Unlock()
	select {
	case l.step <- struct{}{}:
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
	defer func() { <-l.step }()
	return l.release(ctx)
}

func (l *Lease) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *Lease) current() heldLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

func (l *Lease) set(held heldLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isChange := l.held.id != held.id
	before := l.held
	l.held = held
	if isChange {
		l.logTransition(before, held)
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// logTransition logs that the lease was acquired, released or lost.
func (l *Lease) logTransition(before, now heldLease) {
	entry := l.opts.Log.WithFields(log.Fields{"service": string(l.opts.Service), "duty": l.opts.Duty})
	if now.id != 0 {
		entry.WithField("fencing", int64(now.fencing)).Info("lease taken")
		return
	}
	entry.WithFields(log.Fields{
		"fencing": int64(before.fencing), "left": before.remaining(time.Now()).Round(time.Millisecond).String(),
	}).Info("lease given up or lost")
}

// withJitter adds jitter of up to a twentieth of the TTL, so that the nodes' steps don't coincide.
func (l *Lease) withJitter(d time.Duration) time.Duration {
	return d + time.Duration(l.opts.Rand.Int64N(int64(l.opts.TTL/20)+1))
}

// remaining returns how long the lease is guaranteed to be held. It also considers the wall clock, because the monotonic clock may stop
// while the machine is paused.
func (h heldLease) remaining(now time.Time) time.Duration {
	if h.id == 0 {
		return 0
	}
	return min(h.expires.Sub(now), h.expires.Round(0).Sub(now.Round(0)))
}

// expiry returns until when a lease is guaranteed to be held, given the time at which the request for it was sent.
func expiry(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl - ttl/clockDriftDivisor)
}

func newNonce() string { return uuid.NewString() }
