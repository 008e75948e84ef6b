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

// Position is a place in a file; its zero value means that none is known.
type Position struct {
	File string
	// Line counts from 1.
	Line int
}

// String returns "file:line".
func (p Position) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// Problem is one thing that is wrong with a configuration.
type Problem struct {
	Position Position
	// Path names the setting, such as "Teams[forge].Weight"; empty for a whole file.
	Path string
	// Detail says what is wrong.
	Detail string
	// Allowed says what would be right.
	Allowed string
}

// String describes the problem on one line.
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

// ErrInvalid lists everything that is wrong with a configuration.
type ErrInvalid struct {
	// Problems is never empty.
	Problems []Problem
}

// Error describes one problem a line.
func (e *ErrInvalid) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// IsErrInvalid reports whether err lists problems of a configuration.
func IsErrInvalid(err error) bool { return is[*ErrInvalid](err) }

// ErrNoFiles means that the paths hold no configuration file.
type ErrNoFiles struct{ Paths []string }

// Error implements error.
func (e *ErrNoFiles) Error() string {
	return fmt.Sprintf("no .yaml or .yml file in %s", strings.Join(e.Paths, ", "))
}

// ErrOutOfOrder means that a delta doesn't follow the configuration that it was to be applied to.
type ErrOutOfOrder struct {
	Have api.Revision
	Got  api.Revision
}

// Error implements error.
func (e *ErrOutOfOrder) Error() string {
	return fmt.Sprintf("delta of revision %d does not follow revision %d", e.Got, e.Have)
}

// IsErrOutOfOrder reports whether err says that a delta is out of order.
func IsErrOutOfOrder(err error) bool { return is[*ErrOutOfOrder](err) }

// ErrForked means that a delta follows another change than the one in force under the same revision.
type ErrForked struct {
	Revision api.Revision
	Have     ChangeID
	Got      ChangeID
}

// Error implements error.
func (e *ErrForked) Error() string {
	return fmt.Sprintf("revision %d is change %s here and change %s there", e.Revision, e.Have, e.Got)
}

// IsErrForked reports whether err says that two changes stand under one revision.
func IsErrForked(err error) bool { return is[*ErrForked](err) }

// ErrCorrupt means that encoded bytes could not be read.
type ErrCorrupt struct {
	What  string
	Cause error
}

// Error implements error.
func (e *ErrCorrupt) Error() string { return fmt.Sprintf("corrupt %s: %v", e.What, e.Cause) }

// Unwrap returns the cause.
func (e *ErrCorrupt) Unwrap() error { return e.Cause }

// IsErrCorrupt reports whether err says that encoded bytes could not be read.
func IsErrCorrupt(err error) bool { return is[*ErrCorrupt](err) }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// ErrNameMismatch means that an entity stands under a name other than its own.
type ErrNameMismatch struct{ Name string }

// Error implements error.
func (e *ErrNameMismatch) Error() string { return fmt.Sprintf("the entity calls itself %q", e.Name) }
