package idem

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("idem")

// ErrKeyForged means that an issued key has no valid signature for this team.
type ErrKeyForged struct{}

// Error implements error.
func (e *ErrKeyForged) Error() string { return "the idempotency key was not issued here to this team" }

// IsErrKeyForged reports whether err is an ErrKeyForged.
func IsErrKeyForged(err error) bool { return is[*ErrKeyForged](err) }

// ErrKeyExpired means that an issued key has expired. Its request may have run before.
type ErrKeyExpired struct{ Expired time.Time }

// Error implements error.
func (e *ErrKeyExpired) Error() string {
	return fmt.Sprintf("the idempotency key expired at %s", e.Expired.UTC().Format(time.RFC3339))
}

// IsErrKeyExpired reports whether err is an ErrKeyExpired.
func IsErrKeyExpired(err error) bool { return is[*ErrKeyExpired](err) }

// ErrKeyReused means that a key was used before for another request; the new request was not run.
type ErrKeyReused struct{}

// Error implements error.
func (e *ErrKeyReused) Error() string { return "the idempotency key was used for another request" }

// IsErrKeyReused reports whether err is an ErrKeyReused.
func IsErrKeyReused(err error) bool { return is[*ErrKeyReused](err) }

// ErrTooManyKeys means that the node has reached its limit of used keys; the request was not run.
type ErrTooManyKeys struct{ Max int }

// Error implements error.
func (e *ErrTooManyKeys) Error() string { return fmt.Sprintf("%d used keys are remembered", e.Max) }

// IsErrTooManyKeys reports whether err is an ErrTooManyKeys.
func IsErrTooManyKeys(err error) bool { return is[*ErrTooManyKeys](err) }

// ErrBadSecret means that a secret of the settings is missing or too short.
type ErrBadSecret struct {
	// Bytes is the size of the secret; 0 if there is none.
	Bytes int
}

// Error implements error.
func (e *ErrBadSecret) Error() string {
	return fmt.Sprintf("issue secret has %d bytes, at least %d are needed", e.Bytes, MinSecretBytes)
}

// ErrBadFingerprint means that a text is not an encoded fingerprint.
type ErrBadFingerprint struct{}

// Error implements error.
func (e *ErrBadFingerprint) Error() string { return "not a fingerprint" }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
