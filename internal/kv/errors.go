package kv

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("kv")

// ErrUnavailable means that the service was not reached and that nothing took effect.
type ErrUnavailable struct{ Cause error }

// Error implements error.
func (e *ErrUnavailable) Error() string { return fmt.Sprintf("service unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err says that the service was not reached and nothing took effect.
func IsErrUnavailable(err error) bool { return is[*ErrUnavailable](err) }

// ErrUnknownOutcome means that the answer to a write was lost, so that it may have taken effect.
type ErrUnknownOutcome struct{ Cause error }

// Error implements error.
func (e *ErrUnknownOutcome) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrUnknownOutcome) Unwrap() error { return e.Cause }

// IsErrUnknownOutcome reports whether err says that a write may have taken effect.
func IsErrUnknownOutcome(err error) bool { return is[*ErrUnknownOutcome](err) }

// ErrCompacted means that a watch asked for a revision that the service has dropped.
type ErrCompacted struct {
	// Oldest is the oldest revision that the service still has.
	Oldest Version
}

// Error implements error.
func (e *ErrCompacted) Error() string {
	return fmt.Sprintf("compacted, oldest revision is %d", e.Oldest)
}

// IsErrCompacted reports whether err says that a watched revision was compacted away.
func IsErrCompacted(err error) bool { return is[*ErrCompacted](err) }

// ErrLeaseNotFound means that a lease has ended.
type ErrLeaseNotFound struct{ ID LeaseID }

// Error implements error.
func (e *ErrLeaseNotFound) Error() string { return fmt.Sprintf("lease %d not found", e.ID) }

// IsErrLeaseNotFound reports whether err says that a lease has ended.
func IsErrLeaseNotFound(err error) bool { return is[*ErrLeaseNotFound](err) }

// ErrTooLarge means that a value is over the service's limit; nothing took effect.
type ErrTooLarge struct{ Bytes int }

// Error implements error.
func (e *ErrTooLarge) Error() string { return fmt.Sprintf("value of %d bytes is too large", e.Bytes) }

// IsErrTooLarge reports whether err says that a value is over the service's limit.
func IsErrTooLarge(err error) bool { return is[*ErrTooLarge](err) }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// ErrRevisionRegressed means that a watch asked for a revision that the service has not reached, though it once had.
type ErrRevisionRegressed struct {
	// Requested is the revision that the watch asked for.
	Requested Version
	// Revision is the service's revision now.
	Revision Version
}

// Error implements error.
func (e *ErrRevisionRegressed) Error() string {
	return fmt.Sprintf("service is at revision %d, older than the known %d", e.Revision, e.Requested-1)
}

// IsErrRevisionRegressed reports whether err says that the service came back in an older state.
func IsErrRevisionRegressed(err error) bool { return is[*ErrRevisionRegressed](err) }

// ErrRejected means that the service refused a request as wrong; nothing took effect.
type ErrRejected struct {
	Status  int
	Message string
}

// Error implements error.
func (e *ErrRejected) Error() string { return fmt.Sprintf("rejected with %d: %s", e.Status, e.Message) }

// IsErrRejected reports whether err says that the service refused a request as wrong.
func IsErrRejected(err error) bool { return is[*ErrRejected](err) }

// ErrBadAnswer means that the service's answer to a read could not be understood.
type ErrBadAnswer struct{ Cause error }

// Error implements error.
func (e *ErrBadAnswer) Error() string { return fmt.Sprintf("bad answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrBadAnswer) Unwrap() error { return e.Cause }

// IsErrBadAnswer reports whether err says that an answer could not be understood.
func IsErrBadAnswer(err error) bool { return is[*ErrBadAnswer](err) }
