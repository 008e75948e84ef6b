// Package vmlist reads the platform's list of VMs and publishes it as snapshots.
package vmlist

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("vmlist")

// Role is the purpose of a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry  Role = "Entry"
	RoleServer Role = "Server"
)

// State is the state of a VM at the platform: whether it stays or is leaving.
type State string

// States of VMs.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// VM is one entry of the list.
type VM struct {
	ID string
	// Address is "host:port"; for an entry VM, the port is the one that callers connect to.
	Address       string
	FailureDomain api.FailureDomain
	Role          Role
	// Service is empty for an entry VM.
	Service api.Service `json:",omitempty"`
	State   State
}

// List is the platform's list of VMs at a point in time.
type List struct {
	// AsOf is the time at which the list was correct.
	AsOf time.Time
	VMs  []VM
}

// Fetched is the result of one read of the list.
type Fetched struct {
	List List
	// ETag identifies the content of the list; empty if the platform sent no ETag.
	ETag string
	// IsUnchanged reports that the content still matches the ETag of the request; List is then empty.
	IsUnchanged bool
	// Bytes is the size of the response body as transferred.
	Bytes int64
}

// Lister reads the platform's list.
type Lister interface {
	// Fetch reads the list, unless its content still matches etag.
	Fetch(ctx context.Context, etag string) (Fetched, error)
}
