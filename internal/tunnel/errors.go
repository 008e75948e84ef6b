package tunnel

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("tunnel")

// ErrRejected means that another node opened no connection to a server.
type ErrRejected struct{ Status int }

// Error implements error.
func (e *ErrRejected) Error() string { return fmt.Sprintf("node answered %d", e.Status) }

// ErrUnconfirmed means that this node can't open a connection, and that no other node could tell whether the server or the path is the cause. It doesn't
// wrap the cause, which would show that the server refuses connections.
type ErrUnconfirmed struct{ Cause error }

// Error implements error.
func (e *ErrUnconfirmed) Error() string { return fmt.Sprintf("own path or server: %v", e.Cause) }
