package operator

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("operator")

// ErrBadKey means that the settings hold an operator key that can't be read; it does not show the key.
type ErrBadKey struct {
	// Index is the key's place in the settings, from 0.
	Index int
	// Name is the key's name, if that much could be read.
	Name    string
	Allowed string
}

// Error implements error.
func (e *ErrBadKey) Error() string {
	return fmt.Sprintf("operator key %d (%q) is wrong, allowed: %s", e.Index, e.Name, e.Allowed)
}

// IsErrBadKey reports whether err says that an operator key can't be read.
func IsErrBadKey(err error) bool { return is[*ErrBadKey](err) }

// ErrUnauthenticated means that no operator has the key.
type ErrUnauthenticated struct{}

// Error implements error.
func (e *ErrUnauthenticated) Error() string { return "no operator has this key" }

// IsErrUnauthenticated reports whether err says that no operator has a key.
func IsErrUnauthenticated(err error) bool { return is[*ErrUnauthenticated](err) }

// ErrTooManyWrongKeys means that too many wrong keys came in lately.
type ErrTooManyWrongKeys struct{}

// Error implements error.
func (e *ErrTooManyWrongKeys) Error() string {
	return "too many wrong keys lately; try again in a minute"
}

// IsErrTooManyWrongKeys reports whether err says that too many wrong keys came in.
func IsErrTooManyWrongKeys(err error) bool { return is[*ErrTooManyWrongKeys](err) }

// ErrForbidden means that the key's role does not allow the call.
type ErrForbidden struct {
	Name string
	Role Role
}

// Error implements error.
func (e *ErrForbidden) Error() string {
	return fmt.Sprintf("key %q may only %s", e.Name, e.Role)
}

// IsErrForbidden reports whether err says that a role does not allow a call.
func IsErrForbidden(err error) bool { return is[*ErrForbidden](err) }

// ErrBadField means that a field of a call is wrong; nothing was changed.
type ErrBadField struct {
	Field   string
	Value   string
	Allowed string
}

// Error implements error.
func (e *ErrBadField) Error() string {
	return fmt.Sprintf("%s is %q, allowed: %s", e.Field, e.Value, e.Allowed)
}

// IsErrBadField reports whether err says that a field of a call is wrong.
func IsErrBadField(err error) bool { return is[*ErrBadField](err) }

// ErrExceptionNotExist means that no exception has an id.
type ErrExceptionNotExist struct{ ID string }

// Error implements error.
func (e *ErrExceptionNotExist) Error() string { return fmt.Sprintf("no exception has the id %q", e.ID) }

// IsErrExceptionNotExist reports whether err says that no exception has an id.
func IsErrExceptionNotExist(err error) bool { return is[*ErrExceptionNotExist](err) }

// ErrExceptionExists means that an exception with the id is in force already.
type ErrExceptionExists struct {
	ID     string
	Author string
}

// Error implements error.
func (e *ErrExceptionExists) Error() string {
	return fmt.Sprintf("exception %q by %s exists already", e.ID, e.Author)
}

// IsErrExceptionExists reports whether err says that an exception exists already.
func IsErrExceptionExists(err error) bool { return is[*ErrExceptionExists](err) }

func bad(field, value, allowed string) error {
	return Error.Wrap(&ErrBadField{Field: field, Value: value, Allowed: allowed})
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
