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

// Error is the class of every error of the package.
var Error = errs.Class("acceptance")

// ErrIncomplete means that a change lacks a field.
type ErrIncomplete struct{ Field string }

// Error implements error.
func (e *ErrIncomplete) Error() string { return fmt.Sprintf("the change has no %s", e.Field) }

// IsErrIncomplete reports whether err says that a change lacks a field.
func IsErrIncomplete(err error) bool { return is[*ErrIncomplete](err) }

// ErrConflict means that others' changes were accepted after the revision that the author saw; nothing took effect.
type ErrConflict struct {
	// Base is the revision that the author saw, Head the newest.
	Base api.Revision
	Head api.Revision
	// Others are the changes in between that are still kept, oldest first.
	Others []fleet.Delta
	// Entity is what the change and another both touch; zero where no rebase was asked for.
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

// IsErrConflict reports whether err says that others' changes came first.
func IsErrConflict(err error) bool { return is[*ErrConflict](err) }

// ErrUnavailable means that the key-value service was not reached; the change was not accepted.
type ErrUnavailable struct{ Cause error }

// Error implements error.
func (e *ErrUnavailable) Error() string { return fmt.Sprintf("not accepted: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err says that the service was not reached and nothing took effect.
func IsErrUnavailable(err error) bool { return is[*ErrUnavailable](err) }

// ErrOutcomeUnknown means that the answer was lost and could not be read back in time: the change may be accepted.
// Offering the same change again, with its id, tells.
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

// IsErrOutcomeUnknown reports whether err says that the change may have been accepted.
func IsErrOutcomeUnknown(err error) bool { return is[*ErrOutcomeUnknown](err) }

// ErrServiceOlder means that the service is behind what nodes hold; nothing is accepted until it was brought up to them.
type ErrServiceOlder struct {
	Service api.Revision
	Have    api.Revision
}

// Error implements error.
func (e *ErrServiceOlder) Error() string {
	return fmt.Sprintf("the key-value service is at revision %d, older than revision %d in force; nodes write the missing revisions, try again", e.Service, e.Have)
}

// IsErrServiceOlder reports whether err says that the service is behind what nodes hold.
func IsErrServiceOlder(err error) bool { return is[*ErrServiceOlder](err) }

// errAgain asks for another round with what was read since.
type errAgain struct{}

func (*errAgain) Error() string { return "read again" }

func isAgain(err error) bool { return is[*errAgain](err) }

func isErrMoved(err error) bool { return is[*configlog.ErrHeadMoved](err) }

// isUnreachable reports whether an error says nothing about the log itself.
func isUnreachable(err error) bool {
	return kv.IsErrUnavailable(err) || kv.IsErrUnknownOutcome(err) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
