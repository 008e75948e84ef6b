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

// ErrNotHolder means that the lease is not held, or expires too soon for the order; nothing was sent.
type ErrNotHolder struct{ Remaining time.Duration }

// Error implements error.
func (e *ErrNotHolder) Error() string {
	return fmt.Sprintf("the lease is held for only %s more", e.Remaining)
}

// IsErrNotHolder reports whether err says that the lease is not held, or expires too soon.
func IsErrNotHolder(err error) bool { return is[*ErrNotHolder](err) }

// ErrTooEarly means that the server does not check fencing numbers and an earlier lease holder may still send it orders; nothing was
// sent.
type ErrTooEarly struct{ Until time.Time }

// Error implements error.
func (e *ErrTooEarly) Error() string {
	return fmt.Sprintf("an earlier lease holder may still send orders until %s", e.Until.Format(time.RFC3339))
}

// IsErrTooEarly reports whether err says that an earlier lease holder may still send orders.
func IsErrTooEarly(err error) bool { return is[*ErrTooEarly](err) }

// ErrFenced means that the server has seen a higher fencing number: this node no longer holds the lease.
type ErrFenced struct {
	Own     lease.Fencing
	Highest lease.Fencing
}

// Error implements error.
func (e *ErrFenced) Error() string {
	return fmt.Sprintf("fencing number %d is lower than the server's %d", e.Own, e.Highest)
}

// IsErrFenced reports whether err says that the server has seen a higher fencing number.
func IsErrFenced(err error) bool { return is[*ErrFenced](err) }

// ErrRejected means that the server rejected the order and did not carry it out.
type ErrRejected struct{ Status int }

// Error implements error.
func (e *ErrRejected) Error() string {
	return fmt.Sprintf("the server rejected the order with status %d", e.Status)
}

// IsErrRejected reports whether err says that the server rejected the order.
func IsErrRejected(err error) bool { return is[*ErrRejected](err) }

// ErrUnknownOutcome means that the answer was lost, so that the order may have been carried out; Sender.State shows whether it was.
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
