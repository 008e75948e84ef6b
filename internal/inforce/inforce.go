// Package inforce holds the operators' configuration that is in force on a node and the time at which it was last confirmed as current.
//
// Only a read of the store that is complete up to some time confirms that no newer configuration was accepted by then. Callers' keys are
// trusted from that time on for as long as the deployment allows revoked keys to be used.
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
	// revocationMargin is subtracted from MaxRevocationDelay to cover a request's way to a server.
	revocationMargin = 300 * time.Millisecond
	// freshnessMargin is added to MaxApplyDelay for the duration of the read that confirms the configuration. A configuration confirmed
	// longer ago rejects unknown routes and keys only temporarily.
	freshnessMargin = time.Second
)

// Options configures New.
type Options struct {
	// Decode decodes the stored value of the configuration.
	Decode func(kv.Pair) (route.Config, error)
	// MaxRevocationDelay is how long after its revocation a key may still be accepted; 0 trusts keys without confirmation.
	MaxRevocationDelay time.Duration
	// MaxApplyDelay is the time within which a change must be in force.
	MaxApplyDelay time.Duration
	Log           log.Interface
	// Now is boottime.Now if nil.
	Now func() boottime.Time
}

// ActiveConfig holds the configuration in force; it is safe for concurrent use.
type ActiveConfig struct {
	opts Options

	// table is nil until the first configuration is loaded.
	table atomic.Pointer[route.Table]
	// confirmed is closed once table is set and a read has confirmed it.
	confirmed chan struct{}
	// confirmedAt is the boottime.Time at which the newest confirming read was sent; 0 before the first.
	confirmedAt atomic.Int64

	mu sync.Mutex
	// rejectedVersion is the store version of a newer value that could not be decoded; 0 if there is none.
	rejectedVersion kv.Version
}

// New returns an ActiveConfig without a configuration.
func New(opts Options) *ActiveConfig {
	opts.Log = eventlog.OrDiscard(opts.Log)
	if opts.Now == nil {
		opts.Now = boottime.Now
	}
	return &ActiveConfig{opts: opts, confirmed: make(chan struct{})}
}

// ConfirmCurrent records that no configuration newer than the one in force had been accepted by the given time. It has no effect while
// a newer value can't be decoded.
func (c *ActiveConfig) ConfirmCurrent(at boottime.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejectedVersion == 0 && int64(at) > c.confirmedAt.Load() {
		c.confirmedAt.Store(int64(at))
		c.closeConfirmed()
	}
}

// closeConfirmed closes confirmed once its conditions hold; c.mu is held.
func (c *ActiveConfig) closeConfirmed() {
	if c.table.Load() == nil || c.confirmedAt.Load() == 0 {
		return
	}
	select {
	case <-c.confirmed:
	default:
		close(c.confirmed)
	}
}

// Apply puts a stored value of the configuration into force, and reports false if it can't be decoded. A value that isn't newer is
// ignored.
func (c *ActiveConfig) Apply(pair kv.Pair) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.table.Load()
	if old != nil && kv.Version(old.Config.Revision) >= pair.Version {
		return true
	}
	cfg, err := c.opts.Decode(pair)
	if err != nil {
		if c.rejectedVersion != pair.Version {
			c.rejectedVersion = pair.Version
			c.opts.Log.WithField("revision", int64(pair.Version)).WithError(err).Error("configuration can't be decoded; the previous one stays in force")
		}
		return false
	}
	c.rejectedVersion = 0
	if old != nil && cfg.Version < old.Config.Version {
		// A store that was restored from an older copy holds an older configuration until operators have written the newer one again.
		c.opts.Log.WithFields(log.Fields{
			"revision": int64(cfg.Revision), "version": cfg.Version, "in_force": old.Config.Version,
		}).Warn("ignored older configuration")
		return true
	}
	c.table.Store(route.NewTable(cfg))
	c.closeConfirmed()
	fields := c.opts.Log.WithFields(log.Fields{
		"revision": int64(cfg.Revision), "version": cfg.Version, "routes": len(cfg.Routes), "teams": len(cfg.Teams),
		"has_teams": cfg.Teams != nil, "bytes": len(pair.Value),
	})
	fields.Info("configuration in force")
	if old != nil && old.Config.Teams != nil && cfg.Teams == nil {
		fields.Warn("configuration has no list of teams any more, requests need no key")
	}
	return true
}

// Current returns the configuration in force, or nil before the first one is loaded.
func (c *ActiveConfig) Current() *route.Table { return c.table.Load() }

// Confirmed returns a channel that is closed once a configuration has been loaded and confirmed as current for the first time.
func (c *ActiveConfig) Confirmed() <-chan struct{} { return c.confirmed }

// ConfirmationAge returns the time since the newest read that confirmed the configuration was sent; the maximum duration if there was
// none.
func (c *ActiveConfig) ConfirmationAge() time.Duration {
	confirmedAt := c.confirmedAt.Load()
	if confirmedAt == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(c.opts.Now() - boottime.Time(confirmedAt))
}

// MayUseKeys reports whether the configuration was confirmed recently enough to trust its keys.
func (c *ActiveConfig) MayUseKeys() bool {
	return c.opts.MaxRevocationDelay == 0 || c.ConfirmationAge() < c.opts.MaxRevocationDelay-revocationMargin
}

// IsFresh reports whether the configuration was confirmed recently enough to reject unknown routes and keys permanently.
func (c *ActiveConfig) IsFresh() bool {
	return c.ConfirmationAge() < c.opts.MaxApplyDelay+freshnessMargin
}
