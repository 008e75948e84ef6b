// Package versionrollout moves a service's requests to servers of a new version of its software, and back if the version is bad.
// Operators order it; which share of the requests goes there, and the verdict, are decided here without input or output.
package versionrollout

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// Order is an operators' order to move a service's requests.
type Order struct {
	Service route.Service
	Target  route.ServiceVersion
	// Duration is the time within which it must be completed or reverted.
	Duration time.Duration
	// Revision is that of the order; a later order of the service replaces it.
	Revision route.Revision
}

// State is how far a roll-out is.
type State int

// States of a roll-out.
const (
	// StateNone is that of an order on which nothing was written yet.
	StateNone State = iota
	StateInProgress
	StateCompleted
	StateReverted
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case StateInProgress:
		return "in progress"
	case StateCompleted:
		return "completed"
	case StateReverted:
		return "reverted"
	default:
		return "none"
	}
}

// Status is what was written of a roll-out.
type Status struct {
	Service route.Service
	Target  route.ServiceVersion
	State   State
	// Version is the store's, for the condition of the next write.
	Version kv.Version
}
