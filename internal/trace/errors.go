package trace

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("trace")

// ErrMalformed means that a trace breaks the format or one of its bounds.
type ErrMalformed struct {
	// Line counts from 1; the header is line 1.
	Line   int
	Detail string
	// Cause is nil where the package itself found the fault.
	Cause error
}

// Error implements error.
func (e *ErrMalformed) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("line %d: %s: %v", e.Line, e.Detail, e.Cause)
	}
	return fmt.Sprintf("line %d: %s", e.Line, e.Detail)
}

// Unwrap returns the cause.
func (e *ErrMalformed) Unwrap() error { return e.Cause }

// IsErrMalformed reports whether err says that a trace breaks the format or its bounds.
func IsErrMalformed(err error) bool {
	var malformed *ErrMalformed
	return errors.As(err, &malformed)
}

// ErrUnknownDeployment means that the generator knows no deployment of a name.
type ErrUnknownDeployment struct{ Name string }

// Error implements error.
func (e *ErrUnknownDeployment) Error() string {
	return fmt.Sprintf("unknown deployment %q; commons and carrasco are known", e.Name)
}

// IsErrUnknownDeployment reports whether err says that a deployment is unknown.
func IsErrUnknownDeployment(err error) bool {
	var unknown *ErrUnknownDeployment
	return errors.As(err, &unknown)
}
