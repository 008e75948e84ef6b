package kv

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("kv")

// ErrUnavailable means that the service could not be reached and that the call had no effect.
type ErrUnavailable struct{ Cause error }

// Error implements error.
func (e *ErrUnavailable) Error() string { return fmt.Sprintf("service unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err is an ErrUnavailable: the call had no effect.
func IsErrUnavailable(err error) bool { return hasType[*ErrUnavailable](err) }

// ErrUnknownOutcome means that the response to a write was lost, so that the write may have taken effect.
type ErrUnknownOutcome struct{ Cause error }

// Error implements error.
func (e *ErrUnknownOutcome) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrUnknownOutcome) Unwrap() error { return e.Cause }

// IsErrUnknownOutcome reports whether err is an ErrUnknownOutcome: a write may have taken effect.
func IsErrUnknownOutcome(err error) bool { return hasType[*ErrUnknownOutcome](err) }

// ErrCompacted means that a watch requested a revision that the service has compacted.
type ErrCompacted struct {
	// Oldest is the oldest revision that the service still has; 0 if the service doesn't report it.
	Oldest Version
}

// Error implements error.
func (e *ErrCompacted) Error() string {
	return fmt.Sprintf("compacted, oldest revision is %d", e.Oldest)
}

// IsErrCompacted reports whether err is an ErrCompacted.
func IsErrCompacted(err error) bool { return hasType[*ErrCompacted](err) }

// ErrLeaseNotFound means that a lease has ended or never existed.
type ErrLeaseNotFound struct{ ID LeaseID }

// Error implements error.
func (e *ErrLeaseNotFound) Error() string { return fmt.Sprintf("lease %d not found", e.ID) }

// IsErrLeaseNotFound reports whether err is an ErrLeaseNotFound.
func IsErrLeaseNotFound(err error) bool { return hasType[*ErrLeaseNotFound](err) }

// ErrTooLarge means that a value exceeds the service's limit; the call had no effect.
type ErrTooLarge struct{ Bytes int }

// Error implements error.
func (e *ErrTooLarge) Error() string { return fmt.Sprintf("value of %d bytes is too large", e.Bytes) }

// IsErrTooLarge reports whether err is an ErrTooLarge.
func IsErrTooLarge(err error) bool { return hasType[*ErrTooLarge](err) }

func hasType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// ErrRevisionRegressed means that the service is at a lower revision than one seen before, as after a restore from a backup.
type ErrRevisionRegressed struct {
	// Requested is the revision that the watch requested, one above the last one seen.
	Requested Version
	// Revision is the current revision of the service.
	Revision Version
}

// Error implements error.
func (e *ErrRevisionRegressed) Error() string {
	return fmt.Sprintf("service is at revision %d, older than the known %d", e.Revision, e.Requested-1)
}

// IsErrRevisionRegressed reports whether err is an ErrRevisionRegressed.
func IsErrRevisionRegressed(err error) bool { return hasType[*ErrRevisionRegressed](err) }

// ErrRejected means that the service rejected a request, which had no effect.
type ErrRejected struct {
	Status  int
	Message string
}

// Error implements error.
func (e *ErrRejected) Error() string { return fmt.Sprintf("rejected with %d: %s", e.Status, e.Message) }

// IsErrRejected reports whether err is an ErrRejected.
func IsErrRejected(err error) bool { return hasType[*ErrRejected](err) }

// ErrBadAnswer means that the response of the service could not be decoded.
type ErrBadAnswer struct{ Cause error }

// Error implements error.
func (e *ErrBadAnswer) Error() string { return fmt.Sprintf("bad answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrBadAnswer) Unwrap() error { return e.Cause }

// IsErrBadAnswer reports whether err is an ErrBadAnswer.
func IsErrBadAnswer(err error) bool { return hasType[*ErrBadAnswer](err) }
