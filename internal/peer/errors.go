package peer

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("peer")

// ErrProtocol means that two releases have no protocol in common.
type ErrProtocol struct {
	// Protocol and Min are those of the other node.
	Protocol uint32
	Min      uint32
}

// Error implements error.
func (e *ErrProtocol) Error() string {
	return fmt.Sprintf("peer speaks protocols %d to %d, this node %d to %d", e.Min, e.Protocol, MinProtocol, Protocol)
}

// IsErrProtocol reports whether err says that two releases have no protocol in common.
func IsErrProtocol(err error) bool { return is[*ErrProtocol](err) }

// ErrUnauthenticated means that a message was not signed with a shared key, or too long ago.
type ErrUnauthenticated struct{ Detail string }

// Error implements error.
func (e *ErrUnauthenticated) Error() string { return "message refused: " + e.Detail }

// IsErrUnauthenticated reports whether err says that a message was not signed with a shared key.
func IsErrUnauthenticated(err error) bool { return is[*ErrUnauthenticated](err) }

// ErrNoKeys means that no shared key is set.
type ErrNoKeys struct{}

// Error implements error.
func (*ErrNoKeys) Error() string { return "no shared key for the peer exchange" }

// ErrMissingBundle means that a message lacks its content.
type ErrMissingBundle struct{}

// Error implements error.
func (*ErrMissingBundle) Error() string { return "message without a bundle or sender" }

// ErrNoConfig means that the node keeps no configuration to fetch.
type ErrNoConfig struct{}

// Error implements error.
func (*ErrNoConfig) Error() string { return "this node has no configuration" }

// ErrNotAccepted means that what was told reached another run of the node, or a release that doesn't take it.
type ErrNotAccepted struct{}

// Error implements error.
func (*ErrNotAccepted) Error() string { return "the peer does not take what it was told" }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
