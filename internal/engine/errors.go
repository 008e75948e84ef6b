package engine

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("engine")

// RefusalCause is the cause that an engine gives when it rejects work.
type RefusalCause string

// Causes of rejections: the engine takes no new work, hasn't loaded the model version, or has no free slot.
const (
	RefusedLeaving   RefusalCause = "Leaving"
	RefusedNotLoaded RefusalCause = "NotLoaded"
	RefusedFull      RefusalCause = "Full"
)

// ErrRefused means that the engine answered without running the request.
type ErrRefused struct {
	Status int
	Cause  RefusalCause
	Detail string
}

// Error implements error.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("refused with status %d %s: %s", e.Status, e.Cause, e.Detail)
}

// AsErrRefused returns the *ErrRefused in err's chain.
func AsErrRefused(err error) (*ErrRefused, bool) {
	var target *ErrRefused
	return target, errors.As(err, &target)
}

// ErrBroken means that the connection broke or went silent after the request was sent, so that the engine may have run it.
type ErrBroken struct {
	Cause error
	// TimedOut means that no data arrived within the timeout although the connection stayed open.
	TimedOut bool
}

// Error implements error.
func (e *ErrBroken) Error() string {
	return fmt.Sprintf("connection broke (silent %t): %v", e.TimedOut, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrBroken) Unwrap() error { return e.Cause }

// IsErrTimeout reports whether err is an *ErrBroken of an open connection that went silent. It is called after each chunk, so it
// returns early without an error.
func IsErrTimeout(err error) bool {
	if err == nil {
		return false
	}
	var target *ErrBroken
	return errors.As(err, &target) && target.TimedOut
}

// ErrBadStream means that the engine's stream doesn't follow its protocol.
type ErrBadStream struct{ Detail string }

// Error implements error.
func (e *ErrBadStream) Error() string { return "bad stream: " + e.Detail }

// IsErrBroken reports whether err is an *ErrBroken.
func IsErrBroken(err error) bool {
	var target *ErrBroken
	return errors.As(err, &target)
}
