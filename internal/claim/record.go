// Package claim decides which node runs the request of a caller's own idempotency key, by create-if-absent in the
// key-value service before anything is dispatched, many claims to one transaction.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/idem"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// keyPrefix begins the keys of claims.
const keyPrefix = "claim/"

// Error is the class of every error of the package.
var Error = errs.Class("claim")

// ErrUnavailable means that a claim could not be made. Its request was not run and won't be under this try.
type ErrUnavailable struct{ Cause error }

// Error implements error.
func (e *ErrUnavailable) Error() string { return fmt.Sprintf("key could not be claimed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err says that a claim could not be made and that its request was not run.
func IsErrUnavailable(err error) bool {
	var target *ErrUnavailable
	return errors.As(err, &target)
}

// ErrQueueFull means that as many claims wait as may.
type ErrQueueFull struct{ Max int }

// Error implements error.
func (e *ErrQueueFull) Error() string { return fmt.Sprintf("%d claims are waiting", e.Max) }

func unavailable(cause error) error { return Error.Wrap(&ErrUnavailable{Cause: cause}) }

// Record is the value of a claimed key.
type Record struct {
	// RequestID is the request of the first try; a later try of the same node may run under another.
	RequestID api.RequestID
	// Node and Incarnation alone may run the request.
	Node        api.NodeID
	Incarnation api.Incarnation
	// Nonce tells whether a write whose answer was lost was this one.
	Nonce string
	// Fingerprint is that of the request.
	Fingerprint idem.Fingerprint
}

// Entry is a claim to be made.
type Entry struct {
	// Key is what KeyOf returned.
	Key    string
	Record Record
}

// CommitResult is what became of an entry.
type CommitResult struct {
	// IsWon tells that the key holds the entry's own record.
	IsWon bool
	// Existing is the other record that the key holds, if IsWon is false; zero if it could not be read.
	Existing Record
}

// Store is the part of the key-value service that claims need.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error)
	Revoke(ctx context.Context, id kv.LeaseID) error
}

// KeyOf returns the key-value service's key of a team's idempotency key, of a size that does not depend on theirs.
func KeyOf(team api.Team, key api.IdempotencyKey) string {
	hash := idem.HashKey(team, key)
	return KeyOfHash(hash[:])
}

// KeyOfHash returns the key that HashOf decoded.
func KeyOfHash(hash []byte) string { return keyPrefix + base64.RawURLEncoding.EncodeToString(hash) }

// HashOf returns the hash that a key encodes; it is not ok if the text does not have the form of what KeyOf returns.
func HashOf(key string) (hash []byte, ok bool) {
	encoded, ok := strings.CutPrefix(key, keyPrefix)
	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	return raw, ok && err == nil && len(raw) == sha256.Size
}

// compare tells what the record that a key holds means to an entry.
func compare(entry Entry, found Record) CommitResult {
	if found.Nonce == entry.Record.Nonce {
		return CommitResult{IsWon: true}
	}
	return CommitResult{Existing: found}
}

// IsKey reports whether a text has the form of what KeyOf returns.
func IsKey(text string) bool {
	_, ok := HashOf(text)
	return ok
}
