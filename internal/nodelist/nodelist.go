// Package nodelist announces a node to the others through the store, under a lease, and lists the nodes that callers may use.
package nodelist

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Prefix precedes the names of nodes in the store.
const Prefix = "monsoonrail/nodes/"

const (
	// renewPerNode, times the number of nodes, is how often a node renews its lease, so that the store gets as many renewals from a
	// large fleet as from a small one, between minRenew and maxRenew. A dead node stays listed for three intervals.
	renewPerNode   = 25 * time.Millisecond
	minRenew       = time.Second
	maxRenew       = 3 * time.Second
	renewalsMissed = 3
	// retryPause is the wait after a failed call.
	retryPause = 250 * time.Millisecond
	// leaveTimeout bounds the call by which a stopping node takes itself off the list.
	leaveTimeout = time.Second
)

// Error is the class of every error of the package.
var Error = errs.Class("nodelist")

// Node is a node that takes requests.
type Node struct {
	ID            api.NodeID        `json:"Node"`
	FailureDomain api.FailureDomain `json:"FailureDomain"`
	// Callers is the "IP:port" of its listener for callers, Peers that for other nodes.
	Callers string `json:"Callers"`
	Peers   string `json:"Peers"`
}

// Decode reads the value of a key under Prefix.
func Decode(pair kv.Pair) (Node, error) {
	var node Node
	if err := json.Unmarshal(pair.Value, &node); err != nil {
		return Node{}, Error.Wrap(err)
	}
	return node, nil
}

// Store is the part of the store that is needed.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error)
	KeepAlive(ctx context.Context, id kv.LeaseID) (kv.Lease, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
	Revoke(ctx context.Context, id kv.LeaseID) error
}

// Announcer keeps a node on the list.
type Announcer struct {
	Store Store
	Node  Node
	// MinLease is the store's shortest lease.
	MinLease time.Duration
	// NodeCount returns how many nodes are on the list.
	NodeCount func() int
	// IsListed reports whether the node is on the list, as far as this node knows.
	IsListed func() bool
	Log      log.Interface

	// lease is that of the node's entry; 0 while it has none.
	lease atomic.Int64
	// wasMissing tells that the node wasn't on the list at the last renewal; only Run uses it.
	wasMissing bool
	// left is set once the node must not be announced any more.
	left atomic.Bool
}

// Run announces the node and renews its lease until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := a.interval()
		if err := a.renew(ctx); err != nil {
			eventlog.OrDiscard(a.Log).WithError(err).Debug("node's lease not renewed")
			wait = retryPause
		}
		sleep.For(ctx, wait)
	}
	return ctx.Err()
}

func (a *Announcer) interval() time.Duration {
	return min(max(renewPerNode*time.Duration(a.NodeCount()), minRenew), maxRenew)
}

// renew renews the lease, or takes a new one where it has ended, or where the node's entry is missing: an earlier write of this node
// that came late may have put it under a lease that has ended since.
func (a *Announcer) renew(ctx context.Context) error {
	if a.left.Load() {
		return nil
	}
	isListed := a.IsListed()
	isMissing := !isListed && a.wasMissing
	a.wasMissing = !isListed
	if id := kv.LeaseID(a.lease.Load()); id != 0 && !isMissing {
		_, err := a.Store.KeepAlive(ctx, id)
		if !kv.IsErrLeaseNotFound(err) {
			return err
		}
		a.lease.Store(0)
	}
	lease, err := a.Store.Grant(ctx, max(renewalsMissed*a.interval(), a.MinLease))
	if err != nil {
		return err
	}
	value, err := json.Marshal(a.Node)
	if err != nil {
		return Error.Wrap(err)
	}
	put := kv.Op{Kind: kv.OpPut, Key: Prefix + string(a.Node.ID), Value: value, Lease: lease.ID}
	if _, err := a.Store.Commit(ctx, kv.Txn{Then: []kv.Op{put}}); err != nil {
		return err
	}
	a.lease.Store(int64(lease.ID))
	if a.left.Load() {
		// Leave came while the entry was being written.
		return a.endLease(ctx)
	}
	return nil
}

// Leave takes the node off the list for good.
func (a *Announcer) Leave(ctx context.Context) error {
	a.left.Store(true)
	return a.endLease(ctx)
}

// endLease ends the entry's lease, if it has one.
func (a *Announcer) endLease(ctx context.Context) error {
	id := kv.LeaseID(a.lease.Swap(0))
	if id == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return a.Store.Revoke(ctx, id)
}
