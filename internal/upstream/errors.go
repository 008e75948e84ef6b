package upstream

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("upstream")

// ErrNoAnswer means that a request was sent, at least in part, and that no whole head of an answer to it came.
type ErrNoAnswer struct{ Cause error }

// Error implements error.
func (e *ErrNoAnswer) Error() string { return fmt.Sprintf("no answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrNoAnswer) Unwrap() error { return e.Cause }

// IsErrNoAnswer reports whether err says that a request was sent and not answered.
func IsErrNoAnswer(err error) bool {
	var target *ErrNoAnswer
	return errors.As(err, &target)
}

// ErrAnswerMismatch means that the answers on a connection were to other requests.
type ErrAnswerMismatch struct {
	// Wanted and Got are the ids of the request and of the last answer.
	Wanted, Got string
}

// Error implements error.
func (e *ErrAnswerMismatch) Error() string {
	return fmt.Sprintf("answer to request %q instead of %q", e.Got, e.Wanted)
}

// ErrEventTooLarge means that an event of a stream is over the bound.
type ErrEventTooLarge struct{ MaxBytes int }

// Error implements error.
func (e *ErrEventTooLarge) Error() string {
	return fmt.Sprintf("event is over %d bytes", e.MaxBytes)
}
