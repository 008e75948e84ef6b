// Package kv defines the interface to the platform's key-value service, its types and its errors: reads, compare-and-swap transactions,
// leases and watches.
package kv

import (
	"context"
	"time"
)

const (
	// MaxTxnOps is the maximum number of conditions of a transaction, and of operations of each branch.
	MaxTxnOps = 128
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20
)

// Version is the revision of the service at which a key was last changed; 0 means that the key does not exist. Versions also order the
// writes before and after a restore of the service from an older copy, which gives out revisions again: see NewVersion.
type Version int64

// Era counts the restores of a service from an older copy; 0 for a service that doesn't report them.
type Era int64

// revisionBits is the number of bits of a Version that hold the revision within the era; a thousand writes a second take 34 years to use
// them up.
const revisionBits = 40

// NewVersion returns the Version of a revision in an era. All versions of a later era are higher.
func NewVersion(era Era, revision int64) Version { return Version(int64(era)<<revisionBits + revision) }

// Era returns the era of the version.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the service's own revision, which is unique only within the era.
func (v Version) Revision() int64 { return int64(v) & (1<<revisionBits - 1) }

// LeaseID identifies a lease of the service; 0 means no lease.
type LeaseID int64

// Pair is a key with its value.
type Pair struct {
	Key     string
	Value   []byte
	Version Version
	Lease   LeaseID
}

// Compare is one condition of a transaction: the key's version must equal Version.
type Compare struct {
	Key string
	// Version 0 means that the key must not exist.
	Version Version
}

// OpKind is the kind of an operation.
type OpKind int

// Kinds of operations within a transaction.
const (
	OpPut OpKind = iota
	OpDelete
	OpGet
)

// Op is one operation of a transaction.
type Op struct {
	Kind  OpKind
	Key   string
	Value []byte
	// Lease is the lease with whose end the key is deleted; 0 means that the key doesn't expire.
	Lease LeaseID
}

// Txn is an atomic transaction: it runs Then if every condition of If holds, otherwise Else.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// TxnResult is the result of a transaction; Succeeded reports whether the branch Then ran.
type TxnResult struct {
	Succeeded bool
	// Revision is the service's revision after the transaction.
	Revision Version
	// Pairs holds the results of the branch's OpGet operations in their order; a missing key yields Version 0.
	Pairs []Pair
}

// ListOptions selects the keys that List returns.
type ListOptions struct {
	// Prefix is the common prefix of the keys.
	Prefix string
	// From, if not empty, is the key to start at, inclusive; it must begin with Prefix.
	From string
	// Limit is the maximum number of pairs; 0 means no limit.
	Limit int
}

// ListResult is a consistent read of a range, in key order.
type ListResult struct {
	Pairs []Pair
	// More reports whether pairs were left out because of Limit.
	More bool
	// Revision is the service's revision at the read; a watch from Revision+1 misses no change.
	Revision Version
	// Age is how long before the call was sent the result was last known to be complete; negative if that was after the call was sent.
	Age time.Duration
	// Silence is the time between the service's last response to the relaying node and the result's arrival; 0 unless a peer relays the
	// result.
	Silence time.Duration
	// SinceOutage is how long ago the relaying node found the service back after an outage; 0 if it doesn't know of a recent one, or unless a
	// peer relays the result.
	SinceOutage time.Duration
}

// Event is one change of a key reported by a watch.
type Event struct {
	Deleted bool
	Pair    Pair
}

// WatchBatch is a group of events in the order of their revisions.
type WatchBatch struct {
	Events []Event
	// Revision is the service's revision up to which the batch is complete.
	Revision Version
	// Age is how long before the call was sent the batch was last known to be complete; negative if that was after the call was sent.
	Age time.Duration
	// Silence is the time between the service's last response to the relaying node and the batch's arrival; 0 unless a peer relays the
	// batch.
	Silence time.Duration
	// SinceOutage is how long ago the relaying node found the service back after an outage; 0 if it doesn't know of a recent one, or unless a
	// peer relays the batch.
	SinceOutage time.Duration
	// KeyHashes, if not nil, holds the hashes by HashKey of all keys that exist at Revision: the other keys that the reader has were deleted. Only a
	// peer that no longer retains the deletions sends them.
	KeyHashes []uint64
}

// Lease is a lease as returned by Grant or KeepAlive.
type Lease struct {
	ID LeaseID
	// TTL is the granted time to live; callers must count it from before they sent the request.
	TTL time.Duration
}

// Store is the full interface of the key-value service; packages declare interfaces with the methods that they need.
//
// Every method returns an error of class Error. After an error, IsErrUnknownOutcome reports that a write may have taken effect, and
// IsErrUnavailable that it has not.
type Store interface {
	Get(ctx context.Context, key string) (Pair, error)
	List(ctx context.Context, opts ListOptions) (ListResult, error)
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive(ctx context.Context, id LeaseID) (Lease, error)
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls handle for each batch of changes of keys with prefix, starting at the revision from, until ctx ends, the watch fails
	// (IsErrUnavailable), the revision has been compacted (IsErrCompacted) or the service has been reset to an older state
	// (IsErrRevisionRegressed). If from is 0, the watch starts with the next change.
	Watch(ctx context.Context, prefix string, from Version, handle func(WatchBatch) error) error
}
