// Package kv speaks with the platform's key-value service: reads, compare-and-swap
// transactions, leases and watches.
package kv

import (
	"context"
	"time"
)

const (
	// MaxTxnOps bounds the conditions of a transaction and the operations of each branch.
	MaxTxnOps = 128
	// MaxValueBytes bounds a value.
	MaxValueBytes = 1 << 20
)

// Version is the revision of the service at which a key was last changed; 0 means that the key does not exist.
type Version int64

// LeaseID names a lease of the service; 0 means none.
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
	// Version is 0 where the key must not exist.
	Version Version
}

// OpKind tells what an Op does.
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
	// Lease deletes the key when it ends; 0 keeps the key.
	Lease LeaseID
}

// Txn runs Then if every condition of If holds, else Else; it is atomic.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// TxnResult tells which branch ran.
type TxnResult struct {
	Succeeded bool
	// Revision is the service's revision after the transaction.
	Revision Version
	// Pairs holds what the branch's gets found, in the order of the gets; a missing key yields Version 0.
	Pairs []Pair
}

// ListOptions selects the keys of List.
type ListOptions struct {
	// Prefix is the common prefix of the keys.
	Prefix string
	// From, if not empty, is the first key wanted, inclusive; it begins with Prefix.
	From string
	// Limit bounds the number of pairs; 0 means no bound.
	Limit int
}

// ListResult is a consistent read of a range, in key order.
type ListResult struct {
	Pairs []Pair
	// More tells that Limit left pairs out.
	More bool
	// Revision is the service's revision at the read; a watch from Revision+1 misses nothing.
	Revision Version
	// Age is how long before the call was sent the result was known to be all; negative if that was later.
	Age time.Duration
	// Silence is how long before its arrival the service itself had answered last; 0 unless another node hands the result on.
	Silence time.Duration
}

// Event is one change of a key that a watch reports.
type Event struct {
	Deleted bool
	Pair    Pair
}

// WatchBatch is a group of events in the order of their revisions.
type WatchBatch struct {
	Events []Event
	// Revision is the service's revision of the batch.
	Revision Version
	// Age is how long before the call was sent the batch was known to be all; negative if that was later.
	Age time.Duration
	// Silence is how long before its arrival the service itself had answered last; 0 unless another node hands the batch on.
	Silence time.Duration
}

// Lease is a lease just granted or kept alive.
type Lease struct {
	ID LeaseID
	// TTL is what the service granted, counted from the moment before the request was sent.
	TTL time.Duration
}

// Store is the whole of the key-value service; users declare the part that they need.
//
// Every method returns an error of class Error. IsErrUnknownOutcome tells that a write may have taken effect,
// and IsErrUnavailable that it has not.
type Store interface {
	Get(ctx context.Context, key string) (Pair, error)
	List(ctx context.Context, opts ListOptions) (ListResult, error)
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive(ctx context.Context, id LeaseID) (Lease, error)
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls handle for each batch with a prefix from a revision on, until ctx ends, the watch breaks
	// (IsErrUnavailable), the revision was compacted away (IsErrCompacted) or the service has gone back to an
	// older state (IsErrServiceOlder). From 0 begins with the next change.
	Watch(ctx context.Context, prefix string, from Version, handle func(WatchBatch) error) error
}
