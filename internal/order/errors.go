package order

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/lease"
)

// Error is the class of every error of the package.
var Error = errs.Class("order")

// ErrNotHolder means that the lease does not last long enough for the order; nothing was sent.
type ErrNotHolder struct{ Remaining time.Duration }

// Error implements error.
func (e *ErrNotHolder) Error() string {
	return fmt.Sprintf("the lease lasts only %s more", e.Remaining)
}

// IsErrNotHolder reports whether err says that the lease is not held for long enough.
func IsErrNotHolder(err error) bool { return is[*ErrNotHolder](err) }

// ErrTooEarly means that an earlier holder may still be sending orders to servers that do not check fencing numbers;
// nothing was sent.
type ErrTooEarly struct{ Until time.Time }

// Error implements error.
func (e *ErrTooEarly) Error() string {
	return fmt.Sprintf("an earlier holder may still give orders until %s", e.Until.Format(time.RFC3339))
}

// IsErrTooEarly reports whether err says that an earlier holder is still to be waited for.
func IsErrTooEarly(err error) bool { return is[*ErrTooEarly](err) }

// ErrFenced means that the server has seen a higher fencing number: this node holds the duty no more.
type ErrFenced struct {
	Own     lease.Fencing
	Highest lease.Fencing
}

// Error implements error.
func (e *ErrFenced) Error() string {
	return fmt.Sprintf("fencing number %d is older than %d", e.Own, e.Highest)
}

// IsErrFenced reports whether err says that the server has seen a higher fencing number.
func IsErrFenced(err error) bool { return is[*ErrFenced](err) }

// ErrRejected means that the server refused the order; nothing was carried out.
type ErrRejected struct{ Status int }

// Error implements error.
func (e *ErrRejected) Error() string {
	return fmt.Sprintf("the server refused with status %d", e.Status)
}

// IsErrRejected reports whether err says that the server refused the order.
func IsErrRejected(err error) bool { return is[*ErrRejected](err) }

// ErrUnknownOutcome means that the answer was lost, so that the order may have been carried out; the state tells.
type ErrUnknownOutcome struct{ Cause error }

// Error implements error.
func (e *ErrUnknownOutcome) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrUnknownOutcome) Unwrap() error { return e.Cause }

// IsErrUnknownOutcome reports whether err says that an order may have been carried out.
func IsErrUnknownOutcome(err error) bool { return is[*ErrUnknownOutcome](err) }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
