package operator

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("operator")

// ErrBadKey means that an operator key in the settings can't be parsed. The error shows the name of the key only.
type ErrBadKey struct {
	// Index is the key's index in the settings, starting at 0.
	Index int
	// Name is the text before the first colon of the entry, or the whole entry if it has none.
	Name    string
	Allowed string
}

// Error implements error.
func (e *ErrBadKey) Error() string {
	return fmt.Sprintf("operator key %d (%q) is wrong, allowed: %s", e.Index, e.Name, e.Allowed)
}

// IsErrBadKey reports whether err is an ErrBadKey.
func IsErrBadKey(err error) bool { return is[*ErrBadKey](err) }

// ErrUnauthenticated means that the key belongs to no operator.
type ErrUnauthenticated struct{}

// Error implements error.
func (e *ErrUnauthenticated) Error() string { return "no operator has this key" }

// IsErrUnauthenticated reports whether err is an ErrUnauthenticated.
func IsErrUnauthenticated(err error) bool { return is[*ErrUnauthenticated](err) }

// ErrTooManyWrongKeys means that the rate limit of calls with wrong keys is exceeded.
type ErrTooManyWrongKeys struct{}

// Error implements error.
func (e *ErrTooManyWrongKeys) Error() string {
	return "too many wrong keys lately; try again in a minute"
}

// IsErrTooManyWrongKeys reports whether err is an ErrTooManyWrongKeys.
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

// IsErrForbidden reports whether err is an ErrForbidden.
func IsErrForbidden(err error) bool { return is[*ErrForbidden](err) }

// ErrBadField means that a field of a call is invalid; nothing was changed.
type ErrBadField struct {
	Field   string
	Value   string
	Allowed string
}

// Error implements error.
func (e *ErrBadField) Error() string {
	return fmt.Sprintf("%s is %q, allowed: %s", e.Field, e.Value, e.Allowed)
}

// IsErrBadField reports whether err is an ErrBadField.
func IsErrBadField(err error) bool { return is[*ErrBadField](err) }

// ErrExceptionNotExist means that no exception has the id.
type ErrExceptionNotExist struct{ ID string }

// Error implements error.
func (e *ErrExceptionNotExist) Error() string { return fmt.Sprintf("no exception has the id %q", e.ID) }

// IsErrExceptionNotExist reports whether err is an ErrExceptionNotExist.
func IsErrExceptionNotExist(err error) bool { return is[*ErrExceptionNotExist](err) }

// ErrExceptionExists means that the configuration already has an exception with the id.
type ErrExceptionExists struct {
	ID     string
	Author string
}

// Error implements error.
func (e *ErrExceptionExists) Error() string {
	return fmt.Sprintf("exception %q by %s exists already", e.ID, e.Author)
}

// IsErrExceptionExists reports whether err is an ErrExceptionExists.
func IsErrExceptionExists(err error) bool { return is[*ErrExceptionExists](err) }

func badField(field, value, allowed string) error {
	return Error.Wrap(&ErrBadField{Field: field, Value: value, Allowed: allowed})
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
