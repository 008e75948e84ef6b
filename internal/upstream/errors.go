package upstream

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of the package.
var Error = errs.Class("upstream")

// ErrNoAnswer means that a request was sent, at least in part, but that no complete answer to it was received.
type ErrNoAnswer struct{ Cause error }

// Error implements error.
func (e *ErrNoAnswer) Error() string { return fmt.Sprintf("no answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrNoAnswer) Unwrap() error { return e.Cause }

// IsErrNoAnswer reports whether err is an ErrNoAnswer.
func IsErrNoAnswer(err error) bool {
	var target *ErrNoAnswer
	return errors.As(err, &target)
}

// ErrPathSilent means that a request was abandoned because the path to its server is silent, which says nothing of the server.
type ErrPathSilent struct{ Cause error }

// Error implements error.
func (e *ErrPathSilent) Error() string { return fmt.Sprintf("path to server silent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrPathSilent) Unwrap() error { return e.Cause }

// IsErrPathSilent reports whether err is an ErrPathSilent.
func IsErrPathSilent(err error) bool {
	var target *ErrPathSilent
	return errors.As(err, &target)
}

// ErrAnswerMismatch means that the answers received on a connection belong to other requests.
type ErrAnswerMismatch struct {
	// Wanted is the id of the request, Got the request id that the last answer names.
	Wanted, Got string
}

// Error implements error.
func (e *ErrAnswerMismatch) Error() string {
	return fmt.Sprintf("answer to request %q instead of %q", e.Got, e.Wanted)
}

// ErrEventTooLarge means that an event of a stream, the bytes between two events with an id, or a whole answer exceed their maximum size.
type ErrEventTooLarge struct{ MaxBytes int }

// Error implements error.
func (e *ErrEventTooLarge) Error() string {
	return fmt.Sprintf("event is over %d bytes", e.MaxBytes)
}

// ErrHeadTooLarge means that the head of an answer exceeds its maximum size.
type ErrHeadTooLarge struct{ MaxBytes int }

// Error implements error.
func (e *ErrHeadTooLarge) Error() string {
	return fmt.Sprintf("head of the answer is over %d bytes", e.MaxBytes)
}

// ErrBadStatusLine means that the first line of an answer has no status or version of HTTP/1.
type ErrBadStatusLine struct{ Proto, Status string }

// Error implements error.
func (e *ErrBadStatusLine) Error() string {
	return fmt.Sprintf("bad status line %q", e.Proto+" "+e.Status)
}
