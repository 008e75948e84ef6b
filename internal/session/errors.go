package session

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of the package.
var Error = errs.Class("session")

// ErrTokenForged means that the token is malformed or not signed with an accepted key.
type ErrTokenForged struct{}

// Error implements error.
func (e *ErrTokenForged) Error() string {
	return "session token is malformed or not signed with an accepted key"
}

// IsErrTokenForged reports whether err is an ErrTokenForged.
func IsErrTokenForged(err error) bool { return is[*ErrTokenForged](err) }

// ErrTokenExpired means that the token has expired.
type ErrTokenExpired struct{ Expired time.Time }

// Error implements error.
func (e *ErrTokenExpired) Error() string {
	return fmt.Sprintf("session token expired at %s", e.Expired.UTC().Format(time.RFC3339))
}

// IsErrTokenExpired reports whether err is an ErrTokenExpired.
func IsErrTokenExpired(err error) bool { return is[*ErrTokenExpired](err) }

// ErrTokenForeign means that the token belongs to another team or service. It names neither, so as not to disclose them.
type ErrTokenForeign struct{}

// Error implements error.
func (e *ErrTokenForeign) Error() string {
	return "session token belongs to another team or service"
}

// IsErrTokenForeign reports whether err is an ErrTokenForeign.
func IsErrTokenForeign(err error) bool { return is[*ErrTokenForeign](err) }

// ErrKeyTooShort means that a signing key has fewer bytes than MinKeyBytes.
type ErrKeyTooShort struct {
	// Index is the key's index in the settings, from 0.
	Index int
	Bytes int
}

// Error implements error.
func (e *ErrKeyTooShort) Error() string {
	return fmt.Sprintf("session key %d has %d bytes, at least %d are required", e.Index, e.Bytes, MinKeyBytes)
}

// IsErrKeyTooShort reports whether err is an ErrKeyTooShort.
func IsErrKeyTooShort(err error) bool { return is[*ErrKeyTooShort](err) }

// ErrNoKey means that the settings contain no signing key.
type ErrNoKey struct{}

// Error implements error.
func (e *ErrNoKey) Error() string { return "no session key is set, at least one is needed" }

// IsErrNoKey reports whether err is an ErrNoKey.
func IsErrNoKey(err error) bool { return is[*ErrNoKey](err) }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
