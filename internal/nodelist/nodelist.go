// Package nodelist maintains the list of nodes in the store: each node writes an entry under a lease, and removes it when it stops.
package nodelist

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Prefix precedes the node IDs in the keys of the store.
const Prefix = "monsoonrail/nodes/"

const (
	// renewIntervalPerNode times the number of nodes is the interval at which a node renews its lease, within minRenewInterval and
	// maxRenewInterval, so that the rate of renewals at the store doesn't depend on the size of the fleet. A lease lasts for
	// leaseRenewals intervals, at most maxLease: a crashed node stays listed for that long. A node that knows no others gets the longest
	// lease, since nodes that start together don't know yet how many they are.
	renewIntervalPerNode = 25 * time.Millisecond
	minRenewInterval     = time.Second
	maxRenewInterval     = 4 * time.Second
	leaseRenewals        = 3
	maxLease             = 9 * time.Second
	// restoreDelayPerNode times the number of nodes, at most maxRestoreDelay, is the time over which the nodes spread their new entries after a
	// restore or an outage of the store, two writes each, so that the store isn't overloaded.
	restoreDelayPerNode = 2 * time.Millisecond
	maxRestoreDelay     = 1200 * time.Millisecond
	// retryDelay is the minimum wait after a failed call, and retryDelayPerNode times the number of nodes the mean one of a large fleet, so that
	// the rate of calls to a store that is out doesn't depend on the size of the fleet.
	retryDelay        = 250 * time.Millisecond
	retryDelayPerNode = 4 * time.Millisecond
	// replaceBelow is the part of the held lease's interval below which a shorter one that is due replaces the lease.
	replaceBelow = 0.5
	// leavingLease is the TTL of the entry of a node that leaves soon after an outage: longer than other nodes keep missing entries.
	leavingLease = 4 * time.Second
	// leaveTimeout bounds the call with which a stopping node removes its entry.
	leaveTimeout = time.Second
)

// Error is the class of every error of the package.
var Error = errs.Class("nodelist")

// Node is a node that accepts requests, as listed in the store.
type Node struct {
	ID            api.NodeID        `json:"Node"`
	FailureDomain api.FailureDomain `json:"FailureDomain"`
	// Callers is the "IP:port" of the listener for callers, Peers that of the listener for other nodes, empty if there is none.
	Callers string `json:"Callers"`
	Peers   string `json:"Peers"`
	// CPU is the node's share of a CPU core, Bandwidth that of its link in bits per second; both are 0 if unknown. Nodes with more of them
	// take over work for others.
	CPU       float64 `json:"CPU,omitempty"`
	Bandwidth float64 `json:"Bandwidth,omitempty"`
	// SharesWork is set by nodes that tell each other what they have under way at servers.
	SharesWork bool `json:"SharesWork,omitempty"`
	// IsLeaving is set by a node that stops soon after an outage of the store, when other nodes keep entries that are gone.
	IsLeaving bool `json:"IsLeaving,omitempty"`
}

// Decode decodes the value of a key under Prefix.
func Decode(pair kv.Pair) (Node, error) {
	var node Node
	if err := json.Unmarshal(pair.Value, &node); err != nil {
		return Node{}, Error.Wrap(err)
	}
	return node, nil
}

// Store is the part of the key-value store that an Announcer needs.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error)
	KeepAlive(ctx context.Context, id kv.LeaseID) (kv.Lease, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
	Revoke(ctx context.Context, id kv.LeaseID) error
}

// Announcer keeps the entry of a node in the store until Leave is called.
type Announcer struct {
	Store Store
	Node  Node
	// MinLease is the shortest TTL of a lease that the store accepts.
	MinLease time.Duration
	// NodeCount returns the number of nodes on the list.
	NodeCount func() int
	// IsListed reports whether the node is on this node's copy of the list, which may be outdated.
	IsListed func() bool
	// Restored receives a value after each restore of the store from an older copy, which ends all leases; it may be nil.
	Restored <-chan struct{}
	// KeepsMissing reports whether other nodes keep an entry that is gone for some time, as after an outage; nil means never.
	KeepsMissing func() bool
	// HasStoreAnswered reports whether the store has answered this node's reads recently. While it has not, failed calls are repeated rarely: they
	// would fail again, and all calls to a store that is out count. Nil means always.
	HasStoreAnswered func() bool
	Log              log.Interface

	// lease is the ID of the lease of the node's entry; 0 if it has none.
	lease atomic.Int64
	// leaseInterval is the interval for which the lease was granted; 0 before the first one. Only Run uses it.
	leaseInterval time.Duration
	// wasMissing reports whether the node was missing from the list at the last renewal; only Run uses it.
	wasMissing bool
	// hasLeft is set by Leave; afterwards no entry is written.
	hasLeft atomic.Bool
}

// Run writes the node's entry and renews its lease until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := a.renew(ctx)
		wait := a.wantedInterval()
		if a.leaseInterval > 0 {
			wait = min(wait, a.leaseInterval)
		}
		if err != nil {
			eventlog.OrDiscard(a.Log).WithError(err).Debug("could not renew the lease of the node's entry")
			wait = a.retryDelay()
		}
		a.pause(ctx, wait)
		if err != nil {
			a.awaitStore(ctx)
		}
	}
	return ctx.Err()
}

// awaitStore waits until the store answers, at most for one renewal interval: reads may fail for another reason.
func (a *Announcer) awaitStore(ctx context.Context) {
	if a.HasStoreAnswered == nil || a.HasStoreAnswered() {
		return
	}
	bound := a.leaseInterval
	if bound == 0 {
		bound = maxRenewInterval
	}
	for begin := time.Now(); ctx.Err() == nil && time.Since(begin) < bound; sleep.For(ctx, checkInterval) {
		if a.HasStoreAnswered() {
			// The nodes return to the store one after the other.
			sleep.For(ctx, a.restoreDelay())
			return
		}
	}
}

// checkInterval is the interval at which a node checks whether the store answers.
const checkInterval = 20 * time.Millisecond

// pause waits until the next renewal, which is due soon after a restore of the store.
func (a *Announcer) pause(ctx context.Context, wait time.Duration) {
	timer := sleep.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.Restored:
		sleep.For(ctx, a.restoreDelay())
	}
}

// restoreDelay returns how long after a restore or an outage of the store this node writes its entry.
func (a *Announcer) restoreDelay() time.Duration {
	spread := min(restoreDelayPerNode*time.Duration(a.NodeCount()), maxRestoreDelay)
	return time.Duration(rendezvous.Fraction(xxhash.Sum64String(string(a.Node.ID))) * float64(spread))
}

// retryDelay returns the wait after a failed call, random so that the nodes don't return to the store at the same time.
func (a *Announcer) retryDelay() time.Duration {
	mean := retryDelayPerNode * time.Duration(a.NodeCount())
	return max(retryDelay, time.Duration((minRetryFactor+rand.Float64())*float64(mean)))
}

// minRetryFactor is the shortest wait after a failed call as a part of the mean one.
const minRetryFactor = 0.5

// grantInterval returns the interval for which a lease is granted now.
func (a *Announcer) grantInterval() time.Duration {
	if a.NodeCount() <= 1 {
		return maxRenewInterval
	}
	return a.wantedInterval()
}

// wantedInterval returns the interval at which a node of a fleet of the known size renews its lease.
func (a *Announcer) wantedInterval() time.Duration {
	return min(max(renewIntervalPerNode*time.Duration(a.NodeCount()), minRenewInterval), maxRenewInterval)
}

// renew renews the lease. It writes the entry under a new lease if the old one has ended or if the entry was missing twice in a row: a
// delayed earlier write of this node may have put the entry under a lease that has ended since.
func (a *Announcer) renew(ctx context.Context) error {
	if a.hasLeft.Load() {
		return nil
	}
	isListed := a.IsListed()
	isMissing := !isListed && a.wasMissing
	a.wasMissing = !isListed
	interval := a.grantInterval()
	isTooLong := interval < time.Duration(replaceBelow*float64(a.leaseInterval))
	if id := kv.LeaseID(a.lease.Load()); id != 0 && !isMissing && !isTooLong {
		_, err := a.Store.KeepAlive(ctx, id)
		if !kv.IsErrLeaseNotFound(err) {
			return err
		}
		a.lease.Store(0)
	}
	lease, err := a.Store.Grant(ctx, max(min(leaseRenewals*interval, maxLease), a.MinLease))
	if err != nil {
		return err
	}
	if err := a.write(ctx, a.Node, lease.ID); err != nil {
		return err
	}
	a.lease.Store(int64(lease.ID))
	a.leaseInterval = interval
	if a.hasLeft.Load() {
		// Leave was called while the entry was being written.
		return a.revokeLease(ctx)
	}
	return nil
}

// write writes the node's entry under a lease.
func (a *Announcer) write(ctx context.Context, entry Node, lease kv.LeaseID) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return Error.Wrap(err)
	}
	put := kv.Op{Kind: kv.OpPut, Key: Prefix + string(entry.ID), Value: value, Lease: lease}
	_, err = a.Store.Commit(ctx, kv.Txn{Then: []kv.Op{put}})
	return err
}

// Leave removes the node from the list; it is not listed again.
func (a *Announcer) Leave(ctx context.Context) error {
	a.hasLeft.Store(true)
	if a.lease.Load() != 0 && a.KeepsMissing != nil && a.KeepsMissing() {
		if err := a.writeLeaving(ctx); err != nil {
			eventlog.OrDiscard(a.Log).WithError(err).Info("could not mark the node as leaving; its entry is removed")
		}
	}
	return a.revokeLease(ctx)
}

// writeLeaving marks the node as leaving until other nodes no longer keep missing entries. The lease of its entry may have ended in the outage.
func (a *Announcer) writeLeaving(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	lease, err := a.Store.Grant(ctx, max(leavingLease, a.MinLease))
	if err != nil {
		return err
	}
	leaving := a.Node
	leaving.IsLeaving = true
	return a.write(ctx, leaving, lease.ID)
}

// revokeLease revokes the lease of the node's entry, if there is one, which deletes the entry.
func (a *Announcer) revokeLease(ctx context.Context) error {
	id := kv.LeaseID(a.lease.Swap(0))
	if id == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return a.Store.Revoke(ctx, id)
}
