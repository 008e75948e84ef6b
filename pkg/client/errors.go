package client

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("client")

// ErrFailed means that a call got no answer; its cause is often an *api.Problem.
type ErrFailed struct {
	// Outcome states what is known about the call's execution over all tries.
	Outcome api.Outcome
	// Tries counts the tries to send the call, also those that failed before a byte was sent.
	Tries int
	Cause error
}

// Error implements error.
func (e *ErrFailed) Error() string {
	return fmt.Sprintf("no answer after %d tries (%s): %v", e.Tries, e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrFailed) Unwrap() error { return e.Cause }

// OutcomeOf returns the Outcome of an *ErrFailed or *api.Problem in err's chain; MayHaveRun for any other error.
func OutcomeOf(err error) api.Outcome {
	var failed *ErrFailed
	if errors.As(err, &failed) {
		return failed.Outcome
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem.Outcome
	}
	return api.OutcomeMayHaveRun
}

// ErrNoAddress means that no node answered the request for the addresses.
type ErrNoAddress struct{ Cause error }

// Error implements error.
func (e *ErrNoAddress) Error() string { return fmt.Sprintf("no address of a node: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ErrNoAddress) Unwrap() error { return e.Cause }

// ErrConnection means that a node's answer did not arrive, or only in part.
type ErrConnection struct {
	Node api.NodeID
	// Sent means that bytes of the call may have reached the node.
	Sent bool
	// Silent means that no data arrived within the timeout although the connection stayed open.
	Silent bool
	Cause  error
}

// Error implements error.
func (e *ErrConnection) Error() string {
	return fmt.Sprintf("connection to node %s (sent %t, silent %t): %v", e.Node, e.Sent, e.Silent, e.Cause)
}

// Unwrap returns the cause.
func (e *ErrConnection) Unwrap() error { return e.Cause }

// ErrBadAnswer means that a node's answer violates the protocol.
type ErrBadAnswer struct{ Detail string }

// Error implements error.
func (e *ErrBadAnswer) Error() string { return "bad answer: " + e.Detail }

// ErrBadOptions means that the client's options or a call's fields are invalid.
type ErrBadOptions struct{ Detail string }

// Error implements error.
func (e *ErrBadOptions) Error() string { return "bad options: " + e.Detail }
