// Package backend keeps the backend servers of each service: their entries and the state of each server as observed by this node's
// own requests.
package backend

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Server is the entry of a backend server.
type Server struct {
	ID      api.ServerID
	Service route.Service
	// Address is the server's IP address and port; it may be reassigned to another server later.
	Address       string
	FailureDomain api.FailureDomain
	Version       route.ServiceVersion
	// Slots is the number of requests that the server runs at once; at least 1.
	Slots int
	// IsLeaving means that the server takes no new requests.
	IsLeaving bool
	// Start is the server's start time in Unix milliseconds, 0 if unknown. A server may restart under the same id.
	Start int64
	// WarmUpLeft is how much longer the server is cold, as of the entry; valid if HasWarmUpLeft.
	WarmUpLeft    time.Duration
	HasWarmUpLeft bool
}

// Load is a server's own report of its running and waiting requests and of its slots.
type Load = selfreport.Load
