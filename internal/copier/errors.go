package copier

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("copier")

// ErrAnswerTooLong means that a copy's answer exceeds the maximum size.
type ErrAnswerTooLong struct{}

// Error implements error.
func (e *ErrAnswerTooLong) Error() string { return "the answer of a copy is too long" }

// ErrAbandoned means that the engine abandoned a generation: its stream broke, and the engine can't resume it.
type ErrAbandoned struct{ Cause error }

// Error implements error.
func (e *ErrAbandoned) Error() string {
	return fmt.Sprintf("the engine abandoned the copy: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ErrAbandoned) Unwrap() error { return e.Cause }

// IsErrAbandoned reports whether err means that the engine abandoned a generation.
func IsErrAbandoned(err error) bool {
	var target *ErrAbandoned
	return errors.As(err, &target)
}
