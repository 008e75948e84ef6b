package peer

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("peer")

// ErrProtocol means that the protocol ranges of two releases don't overlap.
type ErrProtocol struct {
	// Protocol and Min are the highest and lowest protocol of the peer.
	Protocol uint32
	Min      uint32
}

// Error implements error.
func (e *ErrProtocol) Error() string {
	return fmt.Sprintf("peer speaks protocols %d to %d, this node %d to %d", e.Min, e.Protocol, MinProtocol, Protocol)
}

// IsErrProtocol reports whether err is an ErrProtocol: two releases have no protocol in common.
func IsErrProtocol(err error) bool { return is[*ErrProtocol](err) }

// ErrUnauthenticated means that a message was not signed with a shared key, or was signed too long ago.
type ErrUnauthenticated struct{ Detail string }

// Error implements error.
func (e *ErrUnauthenticated) Error() string { return "message refused: " + e.Detail }

// IsErrUnauthenticated reports whether err is an ErrUnauthenticated.
func IsErrUnauthenticated(err error) bool { return is[*ErrUnauthenticated](err) }

// ErrNoKeys means that no shared key is set.
type ErrNoKeys struct{}

// Error implements error.
func (*ErrNoKeys) Error() string { return "no shared key for the peer exchange" }

// ErrMissingBundle means that a message has no bundle or no sender.
type ErrMissingBundle struct{}

// Error implements error.
func (*ErrMissingBundle) Error() string { return "message without a bundle or sender" }

// ErrNoConfig means that the node has no configuration that peers can fetch.
type ErrNoConfig struct{}

// Error implements error.
func (*ErrNoConfig) Error() string { return "this node has no configuration" }

// ErrNotAccepted means that a payload sent with Send reached another incarnation of the node, or a release that doesn't
// support direct sends.
type ErrNotAccepted struct{}

// Error implements error.
func (*ErrNotAccepted) Error() string { return "the peer restarted or does not support direct sends" }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
