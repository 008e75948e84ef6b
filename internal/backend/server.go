// Package backend knows the backend servers of each service: what their entries say, and what this node's own requests have shown
// of each.
package backend

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Server is what a backend server's entry says.
type Server struct {
	ID      api.ServerID
	Service route.Service
	// Address is its IP number and port, which another server may get after its end.
	Address       string
	FailureDomain api.FailureDomain
	Version       route.ServiceVersion
	// Slots is how many requests it runs at once; at least 1.
	Slots int
	// IsLeaving tells that it takes no new requests.
	IsLeaving bool
	// Start is its start in Unix milliseconds; 0 if it doesn't say. It may start again under the same id.
	Start int64
	// WarmUpLeft is how much longer it is slow after its start.
	WarmUpLeft time.Duration
}

// Load is what a server tells of its requests.
type Load struct {
	Running, Waiting, Slots int
}
