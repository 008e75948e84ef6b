// Package claim decides which node runs the request of a caller's own idempotency key. A key is claimed by a
// create-if-absent write to the key-value service before the request is dispatched; many claims share one transaction.
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

// keyPrefix is the key prefix of claims.
const keyPrefix = "claim/"

// Error is the class of every error of the package.
var Error = errs.Class("claim")

// ErrUnavailable means that a claim could not be made. Its request was not run and will not be run by this call.
type ErrUnavailable struct{ Cause error }

// Error implements error.
func (e *ErrUnavailable) Error() string { return fmt.Sprintf("key could not be claimed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err is an ErrUnavailable: the claim could not be made and its request was not run.
func IsErrUnavailable(err error) bool {
	var target *ErrUnavailable
	return errors.As(err, &target)
}

// ErrQueueFull means that the maximum number of claims is waiting.
type ErrQueueFull struct{ Max int }

// Error implements error.
func (e *ErrQueueFull) Error() string { return fmt.Sprintf("%d claims are waiting", e.Max) }

func unavailable(cause error) error { return Error.Wrap(&ErrUnavailable{Cause: cause}) }

// Record is the stored value of a claimed key.
type Record struct {
	// RequestID is the request of the first call with the key; a retry at the same node may run under another id.
	RequestID api.RequestID
	// Node and Incarnation identify the only incarnation that may run the request.
	Node        api.NodeID
	Incarnation api.Incarnation
	// Nonce identifies the write, so that a write whose response was lost can be recognized.
	Nonce string
	// Fingerprint is the fingerprint of the request.
	Fingerprint idem.Fingerprint
}

// Entry is a claim to be made.
type Entry struct {
	// Key is the result of KeyOf.
	Key    string
	Record Record
}

// CommitResult is the result of committing an entry.
type CommitResult struct {
	// IsWon means that the key holds the entry's own record.
	IsWon bool
	// Existing is the other record that the key holds if IsWon is false; zero if it could not be decoded.
	Existing Record
}

// Store is the part of the key-value service that claims use.
type Store interface {
	Get(ctx context.Context, key string) (kv.Pair, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error)
	Revoke(ctx context.Context, id kv.LeaseID) error
}

// KeyOf returns the key of a team's idempotency key in the key-value service. Its length does not depend on the
// arguments.
func KeyOf(team api.Team, key api.IdempotencyKey) string {
	hash := idem.HashKey(team, key)
	return KeyOfHash(hash[:])
}

// KeyOfHash is the inverse of HashOf.
func KeyOfHash(hash []byte) string { return keyPrefix + base64.RawURLEncoding.EncodeToString(hash) }

// HashOf returns the hash that a key contains; ok is false if the key was not made by KeyOf.
func HashOf(key string) (hash []byte, ok bool) {
	encoded, ok := strings.CutPrefix(key, keyPrefix)
	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	return raw, ok && err == nil && len(raw) == sha256.Size
}

// resultOf returns the result of an entry whose key holds the record found.
func resultOf(entry Entry, found Record) CommitResult {
	if found.Nonce == entry.Record.Nonce {
		return CommitResult{IsWon: true}
	}
	return CommitResult{Existing: found}
}

// IsKey reports whether a text has the form of the keys made by KeyOf.
func IsKey(text string) bool {
	_, ok := HashOf(text)
	return ok
}
