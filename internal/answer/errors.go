package answer

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("answer")

// ErrDone means that an answer has already ended.
type ErrDone struct{ ID api.RequestID }

// Error implements error.
func (e *ErrDone) Error() string { return fmt.Sprintf("answer %s has ended", e.ID) }

// ErrTooLarge means that an answer exceeds its size limit.
type ErrTooLarge struct {
	ID       api.RequestID
	MaxBytes int
}

// Error implements error.
func (e *ErrTooLarge) Error() string {
	return fmt.Sprintf("answer %s is over %d bytes", e.ID, e.MaxBytes)
}

// IsErrTooLarge reports whether err's chain contains an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	var target *ErrTooLarge
	return errors.As(err, &target)
}

// ErrFull means that running answers use all the capacity of the store.
type ErrFull struct {
	Running int
	Bytes   int
}

// Error implements error.
func (e *ErrFull) Error() string {
	return fmt.Sprintf("%d answers are running and hold %d bytes", e.Running, e.Bytes)
}

// ErrKeyReused means that an idempotency key was used before for a different request.
type ErrKeyReused struct{ Key api.IdempotencyKey }

// Error implements error.
func (e *ErrKeyReused) Error() string { return "idempotency key was used for another request" }

// IsErrKeyReused reports whether err's chain contains an ErrKeyReused.
func IsErrKeyReused(err error) bool {
	var target *ErrKeyReused
	return errors.As(err, &target)
}
