package tcp

import (
	"context"
	"errors"
	"os"
	"syscall"
)

// DialOutcome is the outcome of opening a connection, used in metric labels.
type DialOutcome string

// Outcomes of opening a connection.
const (
	DialOpened  DialOutcome = "opened"
	DialRefused DialOutcome = "refused"
	// DialSilent means that no reply came in time.
	DialSilent DialOutcome = "silent"
	// DialCanceled means that the connection wasn't needed any more.
	DialCanceled DialOutcome = "canceled"
	DialFailed   DialOutcome = "failed"
)

// OutcomeOfDial returns the outcome of a dial that returned err. A connection that is reset while it is opened counts as refused.
func OutcomeOfDial(err error) DialOutcome {
	switch {
	case err == nil:
		return DialOpened
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return DialRefused
	case errors.Is(err, context.Canceled):
		return DialCanceled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return DialSilent
	default:
		return DialFailed
	}
}
