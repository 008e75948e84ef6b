package claim

import (
	"context"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

const (
	// DefaultRetention is the minimum time that a claim is kept.
	DefaultRetention = 24 * time.Hour
	// leasePrefix is the key prefix of the keys that refer to the hourly leases.
	leasePrefix = "claimlease/"
	// leasePeriod is the period whose new claims share a lease.
	leasePeriod = time.Hour
)

// hourlyLeases finds the lease that all nodes attach the claims of one hour to. The first node that needs it grants the
// lease. The lease expires, together with its claims, one retention period after the end of its hour.
type hourlyLeases struct {
	store     Store
	retention time.Duration
	hour      int64
	id        kv.LeaseID
}

// current returns the lease of the current hour.
func (h *hourlyLeases) current(ctx context.Context, now time.Time) (kv.LeaseID, error) {
	hour := now.Unix() / int64(leasePeriod/time.Second)
	if h.id != 0 && h.hour == hour {
		return h.id, nil
	}
	id, err := h.find(ctx, leasePrefix+strconv.FormatInt(hour, 10))
	if err != nil {
		return 0, err
	}
	h.hour, h.id = hour, id
	return id, nil
}

// invalidate drops a cached lease that the key-value service no longer has.
func (h *hourlyLeases) invalidate() { h.id = 0 }

// find returns the lease that a key refers to, or grants one.
func (h *hourlyLeases) find(ctx context.Context, key string) (kv.LeaseID, error) {
	named, err := h.store.Get(ctx, key)
	if err != nil || named.Version != 0 {
		return named.Lease, err
	}
	granted, err := h.store.Grant(ctx, h.retention+leasePeriod)
	if err != nil {
		return 0, err
	}
	result, err := h.store.Commit(ctx, kv.Txn{
		If:   []kv.Compare{{Key: key}},
		Then: []kv.Op{{Kind: kv.OpPut, Key: key, Lease: granted.ID}},
		Else: []kv.Op{{Kind: kv.OpGet, Key: key}},
	})
	switch {
	case err != nil:
		// The next attempt reads whether the key was written.
		return 0, err
	case result.Succeeded:
		return granted.ID, nil
	}
	_ = h.store.Revoke(ctx, granted.ID)
	return result.Pairs[0].Lease, nil
}
