package suspect

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("suspect")

// ErrBadTally means that a text is no tally.
type ErrBadTally struct{}

// Error implements error.
func (e *ErrBadTally) Error() string { return "text is no tally" }

// IsErrBadTally reports whether err says that a text is no tally.
func IsErrBadTally(err error) bool {
	var target *ErrBadTally
	return errors.As(err, &target)
}
