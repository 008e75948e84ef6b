package session

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("session")

// ErrTokenForged means that no accepted key signed the token, or that it is not a token at all.
type ErrTokenForged struct{}

// Error implements error.
func (e *ErrTokenForged) Error() string { return "the session token was not issued here" }

// IsErrTokenForged reports whether err says that no accepted key signed a token.
func IsErrTokenForged(err error) bool { return is[*ErrTokenForged](err) }

// ErrTokenExpired means that the token is too old.
type ErrTokenExpired struct{ Expired time.Time }

// Error implements error.
func (e *ErrTokenExpired) Error() string {
	return fmt.Sprintf("the session token expired at %s", e.Expired.UTC().Format(time.RFC3339))
}

// IsErrTokenExpired reports whether err says that a token is too old.
func IsErrTokenExpired(err error) bool { return is[*ErrTokenExpired](err) }

// ErrTokenForeign means that the token belongs to another team or another service; it names neither.
type ErrTokenForeign struct{}

// Error implements error.
func (e *ErrTokenForeign) Error() string {
	return "the session token belongs to another team or service"
}

// IsErrTokenForeign reports whether err says that a token belongs to another team or service.
func IsErrTokenForeign(err error) bool { return is[*ErrTokenForeign](err) }

// ErrKeyTooShort means that a signing key has fewer bytes than MinKeyBytes.
type ErrKeyTooShort struct {
	// Index is the key's place in the settings, from 0.
	Index int
	Bytes int
}

// Error implements error.
func (e *ErrKeyTooShort) Error() string {
	return fmt.Sprintf("session key %d has %d bytes, at least %d are allowed", e.Index, e.Bytes, MinKeyBytes)
}

// IsErrKeyTooShort reports whether err says that a signing key is too short.
func IsErrKeyTooShort(err error) bool { return is[*ErrKeyTooShort](err) }

// ErrNoKey means that the settings name no signing key.
type ErrNoKey struct{}

// Error implements error.
func (e *ErrNoKey) Error() string { return "no session key is set, at least one is needed" }

// IsErrNoKey reports whether err says that the settings name no signing key.
func IsErrNoKey(err error) bool { return is[*ErrNoKey](err) }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
