package suspect

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("suspect")

// ErrBadTally means that a text isn't a valid encoding of a Tally.
type ErrBadTally struct{}

// Error implements error.
func (e *ErrBadTally) Error() string { return "text is not a valid tally" }

// IsErrBadTally reports whether err is or wraps an ErrBadTally.
func IsErrBadTally(err error) bool {
	var target *ErrBadTally
	return errors.As(err, &target)
}
