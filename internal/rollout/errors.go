package rollout

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("rollout")

// ErrBadPlan means that a plan can't be carried out.
type ErrBadPlan struct {
	Field   string
	Value   string
	Allowed string
}

// Error implements error.
func (e *ErrBadPlan) Error() string {
	return fmt.Sprintf("%s is %q, allowed: %s", e.Field, e.Value, e.Allowed)
}

// IsErrBadPlan reports whether err says that a plan can't be carried out.
func IsErrBadPlan(err error) bool { return is[*ErrBadPlan](err) }

// ErrBadPlanFile means that a file does not hold a valid plan; the cause names the line.
type ErrBadPlanFile struct{ Cause error }

// Error implements error.
func (e *ErrBadPlanFile) Error() string { return fmt.Sprintf("file is not a valid plan: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrBadPlanFile) Unwrap() error { return e.Cause }

// IsErrBadPlanFile reports whether err says that a file does not hold a valid plan.
func IsErrBadPlanFile(err error) bool { return is[*ErrBadPlanFile](err) }

// ErrRollOutNotExist means that a service has no roll-out.
type ErrRollOutNotExist struct{ Service api.Service }

// Error implements error.
func (e *ErrRollOutNotExist) Error() string {
	return fmt.Sprintf("service %q has no roll-out", e.Service)
}

// IsErrRollOutNotExist reports whether err says that a service has no roll-out.
func IsErrRollOutNotExist(err error) bool { return is[*ErrRollOutNotExist](err) }

// ErrRollOutUnderWay means that a service has an unfinished roll-out already.
type ErrRollOutUnderWay struct {
	Service api.Service
	ID      ID
	Author  string
}

// Error implements error.
func (e *ErrRollOutUnderWay) Error() string {
	return fmt.Sprintf("roll-out %q by %s is under way for service %q", e.ID, e.Author, e.Service)
}

// IsErrRollOutUnderWay reports whether err says that a service has an unfinished roll-out.
func IsErrRollOutUnderWay(err error) bool { return is[*ErrRollOutUnderWay](err) }

// ErrConflict means that another writer changed the roll-out concurrently.
type ErrConflict struct {
	ID ID
	// Phase is the phase that the other writer wrote, By that writer.
	Phase Phase
	By    string
}

// Error implements error.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("roll-out %q was moved to %s by %s meanwhile", e.ID, e.Phase, e.By)
}

// IsErrConflict reports whether err says that another writer changed the roll-out concurrently.
func IsErrConflict(err error) bool { return is[*ErrConflict](err) }

// ErrWrongPhase means that a command does not fit the roll-out's phase.
type ErrWrongPhase struct {
	Command Command
	Phase   Phase
}

// Error implements error.
func (e *ErrWrongPhase) Error() string {
	return fmt.Sprintf("a roll-out that is %s takes no %s", e.Phase, e.Command)
}

// IsErrWrongPhase reports whether err says that a command does not fit the phase.
func IsErrWrongPhase(err error) bool { return is[*ErrWrongPhase](err) }

// ErrBadRecord means that a record in the key-value service is not a valid roll-out.
type ErrBadRecord struct{ Cause error }

// Error implements error.
func (e *ErrBadRecord) Error() string {
	return fmt.Sprintf("record is no roll-out: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ErrBadRecord) Unwrap() error { return e.Cause }

// IsErrBadRecord reports whether err says that a record is not a valid roll-out.
func IsErrBadRecord(err error) bool { return is[*ErrBadRecord](err) }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// ErrVersionNotExist means that the configuration lacks a version.
type ErrVersionNotExist struct {
	Service api.Service
	Version api.VersionID
}

// Error implements error.
func (e *ErrVersionNotExist) Error() string {
	return fmt.Sprintf("service %q has no version %q", e.Service, e.Version)
}

// IsErrVersionNotExist reports whether err says that the configuration lacks a version.
func IsErrVersionNotExist(err error) bool { return is[*ErrVersionNotExist](err) }
