package acceptance

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of the package's errors.
var Error = errs.Class("acceptance")

// ErrIncomplete means that a change lacks a field.
type ErrIncomplete struct{ Field string }

// Error implements error.
func (e *ErrIncomplete) Error() string { return fmt.Sprintf("the change has no %s", e.Field) }

// IsErrIncomplete reports whether err means that a change lacks a field.
func IsErrIncomplete(err error) bool { return is[*ErrIncomplete](err) }

// ErrConflict means that other changes were accepted after the revision that the author saw; nothing took effect.
type ErrConflict struct {
	// Base is the revision that the author saw, Head the newest one.
	Base api.Revision
	Head api.Revision
	// Others are the changes after Base that are still retained, oldest first.
	Others []fleet.Delta
	// Entity is the entity that both the change and another one modify; zero if the change could not be rebased at all.
	Entity fleet.EntityID
}

// Error implements error.
func (e *ErrConflict) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "based on revision %d, but %d is accepted", e.Base, e.Head)
	if e.Entity.Kind != "" {
		fmt.Fprintf(&text, " and touches %s too", e.Entity)
	}
	for _, other := range e.Others {
		fmt.Fprintf(&text, "; revision %d by %s: %s (change %s)", other.Revision, other.Author, other.Reason, other.ID)
	}
	return text.String()
}

// IsErrConflict reports whether err means that other changes were accepted first.
func IsErrConflict(err error) bool { return is[*ErrConflict](err) }

// ErrUnavailable means that the key-value service was not reached; the change was not accepted.
type ErrUnavailable struct{ Cause error }

// Error implements error.
func (e *ErrUnavailable) Error() string { return fmt.Sprintf("not accepted: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err means that the service was not reached and nothing took effect.
func IsErrUnavailable(err error) bool { return is[*ErrUnavailable](err) }

// ErrOutcomeUnknown means that the answer was lost and the outcome could not be read in time: the change may have been
// accepted. Submitting the same change again, with the same id, resolves this.
type ErrOutcomeUnknown struct {
	ID    fleet.ChangeID
	Cause error
}

// Error implements error.
func (e *ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("change %s may have been accepted; offer it again with the same id: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrOutcomeUnknown) Unwrap() error { return e.Cause }

// IsErrOutcomeUnknown reports whether err means that the change may have been accepted.
func IsErrOutcomeUnknown(err error) bool { return is[*ErrOutcomeUnknown](err) }

// ErrServiceOlder means that the service lacks revisions that are in force on nodes, or that the author has seen; no change
// is accepted until nodes have written them back.
type ErrServiceOlder struct {
	Service api.Revision
	Have    api.Revision
}

// Error implements error.
func (e *ErrServiceOlder) Error() string {
	return fmt.Sprintf("the key-value service is at revision %d, older than revision %d in force; nodes write the missing revisions, try again", e.Service, e.Have)
}

// IsErrServiceOlder reports whether err means that the service lacks revisions that are in force.
func IsErrServiceOlder(err error) bool { return is[*ErrServiceOlder](err) }

// errReadAgain means that the attempt must be repeated with the state that was read meanwhile.
type errReadAgain struct{}

func (*errReadAgain) Error() string { return "read again" }

func isErrReadAgain(err error) bool { return is[*errReadAgain](err) }

func isErrHeadMoved(err error) bool { return is[*configlog.ErrHeadMoved](err) }

// isUnreachable reports whether an error does not concern the contents of the log, so that another read may succeed.
func isUnreachable(err error) bool {
	return kv.IsErrUnavailable(err) || kv.IsErrUnknownOutcome(err) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
