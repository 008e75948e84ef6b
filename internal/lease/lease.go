// Package lease takes duties for a node: at most one holder a duty at a time, by a lease of the key-value service
// and a fencing number that grows with every change of holder.
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
	// DefaultTTL is how long a lease lasts without being kept alive.
	DefaultTTL = 15 * time.Second
	// stepTimeout bounds one try to take or keep a lease.
	stepTimeout = 4 * time.Second
	// driftPart is the part of the time to live that is given up for clocks that run unalike.
	driftPart = 20
)

// Fencing numbers the holders of a duty; a later holder's is higher, also if the key-value service came back
// in an older state, as long as the holders' clocks differ by less than that state's age.
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
	// Duty is the name of the duty within the service.
	Duty        string
	Node        api.NodeID
	Incarnation api.Incarnation
	// TTL is the time to live of the lease; 0 means DefaultTTL.
	TTL time.Duration
	// IsCandidate tells whether this node shall take the duty if it is free; nil means always. A few candidates
	// a duty keep the number of reads low; a holder that is no candidate any more gives the duty up.
	IsCandidate func() bool
	Rand        *rand.Rand
	Log         log.Interface
}

// Lease is the duty that takes one lease and keeps it.
type Lease struct {
	opts Options
	// step holds a token while a call to the service is under way.
	step   chan struct{}
	closed chan struct{}

	mu   sync.Mutex
	held holding
	// changed is closed and replaced when the lease is taken or lost.
	changed chan struct{}
}

// holding is a lease held; its zero value is none.
type holding struct {
	id      kv.LeaseID
	fencing Fencing
	// guard is the condition that holds as long as nobody else took the duty.
	guard kv.Compare
	since time.Time
	// expires is when the lease may end at the service, less the drift of the clocks.
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

// Held returns the fencing number and the time for which the duty is still this node's, or false.
// A holder checks it right before each act; the time counts by the monotonic clock and by the wall clock,
// whichever is further.
func (l *Lease) Held(now time.Time) (Fencing, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := l.held.remaining(now)
	if remaining <= 0 {
		return 0, 0, false
	}
	return l.held.fencing, remaining, true
}

// Guard returns the condition for writes of the holder: it fails at the service once the duty is another's.
func (l *Lease) Guard() kv.Compare {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.guard
}

// Since returns when this holder took the duty; zero if it does not hold it.
func (l *Lease) Since() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.since
}

// Changed returns a channel that is closed when the lease is next taken or lost.
func (l *Lease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Run takes the lease when it is free and keeps it until ctx ends; it does not give the lease up, Close does.
func (l *Lease) Run(ctx context.Context) error {
	timer := time.NewTimer(l.jitter(0))
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
		timer.Reset(l.jitter(l.runStep(ctx)))
	}
}

// runStep takes or keeps the lease and returns the wait until the next step.
func (l *Lease) runStep(ctx context.Context) time.Duration {
	l.step <- struct{}{}
	defer func() { <-l.step }()
	if l.isClosed() {
		return l.opts.TTL
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	err := l.advance(ctx)
	if err == nil {
		return l.opts.TTL / 3
	}
	l.opts.Log.WithFields(log.Fields{"service": l.opts.Service, "duty": l.opts.Duty}).WithError(err).Warn("lease not taken or kept")
	return l.opts.TTL / 10
}

func (l *Lease) advance(ctx context.Context) error {
	current := l.current()
	switch {
	case current.id == 0 && l.opts.IsCandidate():
		return l.take(ctx)
	case current.id == 0:
		return nil
	case !l.opts.IsCandidate():
		return l.giveUp(ctx)
	case current.remaining(time.Now()) <= 0:
		// The service may still count the lease as held, but its time was not confirmed.
		return l.giveUp(ctx)
	default:
		return l.keep(ctx, current)
	}
}

// keep extends the lease.
func (l *Lease) keep(ctx context.Context, current holding) error {
	sent := time.Now()
	kept, err := l.opts.Store.KeepAlive(ctx, current.id)
	if kv.IsErrLeaseNotFound(err) {
		l.set(holding{})
	}
	if err != nil {
		return Error.Wrap(err)
	}
	current.expires = expiry(sent, kept.TTL)
	l.set(current)
	return nil
}

// giveUp forgets the lease at once, then ends it at the service.
func (l *Lease) giveUp(ctx context.Context) error {
	current := l.current()
	if current.id == 0 {
		return nil
	}
	l.set(holding{})
	err := l.opts.Store.Revoke(ctx, current.id)
	if kv.IsErrLeaseNotFound(err) {
		return nil
	}
	return Error.Wrap(err)
}

// Close gives the lease up and waits for a call under way, or until ctx ends. The lease is not taken again.
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
	return l.giveUp(ctx)
}

func (l *Lease) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *Lease) current() holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

func (l *Lease) set(held holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isChange := l.held.id != held.id
	before := l.held
	l.held = held
	if isChange {
		l.explain(before, held)
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// explain logs that the lease was taken, given up or lost.
func (l *Lease) explain(before, now holding) {
	entry := l.opts.Log.WithFields(log.Fields{"service": string(l.opts.Service), "duty": l.opts.Duty})
	if now.id != 0 {
		entry.WithField("fencing", int64(now.fencing)).Info("lease taken")
		return
	}
	entry.WithFields(log.Fields{
		"fencing": int64(before.fencing), "left": before.remaining(time.Now()).Round(time.Millisecond).String(),
	}).Info("lease given up or lost")
}

// jitter spreads the steps of many nodes.
func (l *Lease) jitter(d time.Duration) time.Duration {
	return d + time.Duration(l.opts.Rand.Int64N(int64(l.opts.TTL/20)+1))
}

// remaining returns how long the lease is certainly held; a paused machine may have stopped its monotonic clock,
// so that the wall clock is asked too.
func (h holding) remaining(now time.Time) time.Duration {
	if h.id == 0 {
		return 0
	}
	return min(h.expires.Sub(now), h.expires.Round(0).Sub(now.Round(0)))
}

// expiry returns until when a lease is certainly held that was asked for at a time.
func expiry(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl - ttl/driftPart)
}

func newNonce() string { return uuid.NewString() }
