package fleet

import (
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("fleet")

// Position is a line of a file; the zero value means that it is unknown.
type Position struct {
	File string
	// Line counts from 1.
	Line int
}

// String returns "file:line".
func (p Position) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// Problem is one error in a configuration.
type Problem struct {
	Position Position
	// Path is the path of the setting, such as "Teams[forge].Weight"; empty if the problem concerns a whole file.
	Path string
	// Detail describes the problem.
	Detail string
	// Allowed describes the valid values; empty if there is no such description.
	Allowed string
}

// String returns the problem on one line.
func (p Problem) String() string {
	var parts []string
	if p.Position.File != "" {
		parts = append(parts, p.Position.String())
	}
	if p.Path != "" {
		parts = append(parts, p.Path)
	}
	text := strings.Join(append(parts, p.Detail), ": ")
	if p.Allowed != "" {
		text += "; allowed: " + p.Allowed
	}
	return text
}

// ErrInvalid lists all problems of a configuration.
type ErrInvalid struct {
	// Problems is never empty.
	Problems []Problem
}

// Error returns the problems, one a line.
func (e *ErrInvalid) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// IsErrInvalid reports whether err is an ErrInvalid.
func IsErrInvalid(err error) bool { return is[*ErrInvalid](err) }

// ErrNoFiles means that the paths contain no configuration file.
type ErrNoFiles struct{ Paths []string }

// Error implements error.
func (e *ErrNoFiles) Error() string {
	return fmt.Sprintf("no .yaml or .yml file in %s", strings.Join(e.Paths, ", "))
}

// ErrOutOfOrder means that a delta's revision doesn't follow that of the configuration it was applied to.
type ErrOutOfOrder struct {
	Have api.Revision
	Got  api.Revision
}

// Error implements error.
func (e *ErrOutOfOrder) Error() string {
	return fmt.Sprintf("delta of revision %d does not follow revision %d", e.Got, e.Have)
}

// IsErrOutOfOrder reports whether err is an ErrOutOfOrder.
func IsErrOutOfOrder(err error) bool { return is[*ErrOutOfOrder](err) }

// ErrForked means that histories diverge: a delta's parent is not the change that made the current revision.
type ErrForked struct {
	Revision api.Revision
	Have     ChangeID
	Got      ChangeID
}

// Error implements error.
func (e *ErrForked) Error() string {
	return fmt.Sprintf("revision %d is change %s here and change %s there", e.Revision, e.Have, e.Got)
}

// IsErrForked reports whether err is an ErrForked.
func IsErrForked(err error) bool { return is[*ErrForked](err) }

// ErrCorrupt means that encoded data could not be decoded.
type ErrCorrupt struct {
	What  string
	Cause error
}

// Error implements error.
func (e *ErrCorrupt) Error() string { return fmt.Sprintf("corrupt %s: %v", e.What, e.Cause) }

// Unwrap returns the cause.
func (e *ErrCorrupt) Unwrap() error { return e.Cause }

// IsErrCorrupt reports whether err is an ErrCorrupt.
func IsErrCorrupt(err error) bool { return is[*ErrCorrupt](err) }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// ErrNameMismatch means that the name in an entity's value differs from the name in its id.
type ErrNameMismatch struct{ Name string }

// Error implements error.
func (e *ErrNameMismatch) Error() string { return fmt.Sprintf("the entity calls itself %q", e.Name) }
