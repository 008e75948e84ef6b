// Package versionrollout moves a service's requests to servers of a new version of its software, and back if the version is
// unhealthy. Operators order a roll-out; this package decides, without input or output, which share of the requests the new version
// gets and whether it is healthy.
package versionrollout

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// Order is an operator's order to move a service's requests to the version Target.
type Order struct {
	Service route.Service
	Target  route.ServiceVersion
	// Duration is the time within which the roll-out must be completed or reverted.
	Duration time.Duration
	// Revision is the store's revision of the order; an order with a higher one replaces it.
	Revision route.Revision
}

// isRewrittenFrom reports whether the order is an earlier one that was written again after a restore of the store from an older copy.
func (o Order) isRewrittenFrom(earlier Order) bool {
	return o.isOfLaterEra(earlier) && o.Target == earlier.Target && o.Duration == earlier.Duration
}

// isOfLaterEra reports whether the store was restored from an older copy between the writes of another order and of this one.
func (o Order) isOfLaterEra(other Order) bool {
	return kv.Version(o.Revision).Era() > kv.Version(other.Revision).Era()
}

// State is the state of a roll-out.
type State int

// States of a roll-out.
const (
	// StateNone is the state of an order for which no status is stored yet.
	StateNone State = iota
	StateInProgress
	StateCompleted
	StateReverted
)

// isFinal reports whether a roll-out in the state has ended.
func (s State) isFinal() bool { return s == StateCompleted || s == StateReverted }

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

// Status is the stored status of a roll-out.
type Status struct {
	Service route.Service
	Target  route.ServiceVersion
	State   State
	// Version is the store's version of the entry; the next write is conditional on it.
	Version kv.Version
}
