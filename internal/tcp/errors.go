package tcp

import (
	"errors"
	"fmt"
)

// ErrNotSent means that no byte of a request was sent, so that the request can't have run.
type ErrNotSent struct{ Cause error }

// Error implements error.
func (e *ErrNotSent) Error() string { return fmt.Sprintf("not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrNotSent) Unwrap() error { return e.Cause }

// IsErrNotSent reports whether err is an ErrNotSent.
func IsErrNotSent(err error) bool {
	var target *ErrNotSent
	return errors.As(err, &target)
}
