// Package inforce holds the operators' configuration that is in force on a node, and how new it is known to be.
//
// That nothing newer was accepted is proved only by a read of the store that holds all up to some moment. Keys are trusted for as long
// as the deployment lets revoked ones run, counted from that moment.
package inforce

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/boottime"
	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

const (
	// revokeMargin is left of the time for which keys are trusted, for a request on its way to a server.
	revokeMargin = 300 * time.Millisecond
	// freshSlack is how much older than the time to apply a change a configuration may be before what it doesn't hold is refused for
	// now instead of for good: the read that proves it may have taken this long.
	freshSlack = time.Second
)

// Options configures New.
type Options struct {
	// Decode reads the key's value.
	Decode func(kv.Pair) (route.Config, error)
	// MaxRevocationDelay is how long after its revocation a key may still run; 0 trusts keys without proof.
	MaxRevocationDelay time.Duration
	// MaxApplyDelay is the time within which a change is to be in force.
	MaxApplyDelay time.Duration
	Log           log.Interface
	// Now is boottime.Now if nil.
	Now func() boottime.Time
}

// ActiveConfig holds the configuration in force; it is safe for concurrent use.
type ActiveConfig struct {
	opts Options

	// table is nil until a configuration is known.
	table atomic.Pointer[route.Table]
	// known is closed once table is set.
	known chan struct{}
	// provenAt is the boottime.Time at which the newest read was sent; 0 before the first.
	provenAt atomic.Int64

	mu sync.Mutex
	// rejected is the revision of a newer value that could not be read; 0 if there is none.
	rejected kv.Version
}

// New returns a keeper without a configuration.
func New(opts Options) *ActiveConfig {
	opts.Log = eventlog.OrDiscard(opts.Log)
	if opts.Now == nil {
		opts.Now = boottime.Now
	}
	return &ActiveConfig{opts: opts, known: make(chan struct{})}
}

// ConfirmCurrent notes that no configuration newer than the one in force had been accepted by a time.
func (k *ActiveConfig) ConfirmCurrent(at boottime.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.rejected == 0 && int64(at) > k.provenAt.Load() {
		k.provenAt.Store(int64(at))
	}
}

// Apply takes in a value of the configuration, and reports false if it can't be read. One that isn't newer changes nothing.
func (k *ActiveConfig) Apply(pair kv.Pair) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.table.Load()
	if old != nil && kv.Version(old.Config.Revision) >= pair.Version {
		return true
	}
	cfg, err := k.opts.Decode(pair)
	if err != nil {
		if k.rejected != pair.Version {
			k.rejected = pair.Version
			k.opts.Log.WithField("revision", int64(pair.Version)).WithError(err).Error("configuration can't be read, the old one stays in force")
		}
		return false
	}
	k.rejected = 0
	k.table.Store(route.NewTable(cfg))
	if old == nil {
		close(k.known)
	}
	k.opts.Log.WithFields(log.Fields{
		"revision": int64(cfg.Revision), "version": cfg.Version, "routes": len(cfg.Routes), "teams": len(cfg.Teams),
	}).Info("configuration in force")
	return true
}

// Current returns the configuration in force, nil if none is known.
func (k *ActiveConfig) Current() *route.Table { return k.table.Load() }

// Known is closed once a configuration is known.
func (k *ActiveConfig) Known() <-chan struct{} { return k.known }

// ConfirmationAge returns the time since the newest read that proved the configuration was sent.
func (k *ActiveConfig) ConfirmationAge() time.Duration {
	proven := k.provenAt.Load()
	if proven == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(k.opts.Now() - boottime.Time(proven))
}

// MayUseKeys reports whether no key can have been revoked for too long.
func (k *ActiveConfig) MayUseKeys() bool {
	return k.opts.MaxRevocationDelay == 0 || k.ConfirmationAge() < k.opts.MaxRevocationDelay-revokeMargin
}

// IsFresh reports whether the configuration is as new as it has to be.
func (k *ActiveConfig) IsFresh() bool { return k.ConfirmationAge() < k.opts.MaxApplyDelay+freshSlack }
