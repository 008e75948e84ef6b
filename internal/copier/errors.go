package copier

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("copier")

// ErrTooLong means that a copy's answer is longer than any that is rated.
type ErrTooLong struct{}

// Error implements error.
func (e *ErrTooLong) Error() string { return "the answer of a copy is too long" }

// ErrGivenUp means that the engine gave a generation up: its stream broke, and the engine does not hold it any more.
type ErrGivenUp struct{ Cause error }

// Error implements error.
func (e *ErrGivenUp) Error() string { return fmt.Sprintf("the engine gave the copy up: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrGivenUp) Unwrap() error { return e.Cause }

// IsErrGivenUp reports whether err says that the engine gave a generation up.
func IsErrGivenUp(err error) bool {
	var target *ErrGivenUp
	return errors.As(err, &target)
}
