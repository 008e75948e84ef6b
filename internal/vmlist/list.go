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

// Role tells what a VM is for.
type Role string

// Roles of VMs.
const (
	RoleEntry  Role = "Entry"
	RoleServer Role = "Server"
)

// State tells whether a VM stays.
type State string

// States of VMs.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// VM is one VM of the list.
type VM struct {
	ID string
	// Address is "host:port"; an entry VM's is that of its caller port.
	Address       string
	FailureDomain api.FailureDomain
	Role          Role
	// Service is empty for an entry VM.
	Service api.Service `json:",omitempty"`
	State   State
}

// List is what the platform answers.
type List struct {
	// AsOf is when the list was true.
	AsOf time.Time
	VMs  []VM
}

// Fetched is one read of the list.
type Fetched struct {
	List List
	// ETag names the list's content; empty if the platform names none.
	ETag string
	// IsUnchanged tells that the content is that of the ETag asked with; List is then empty.
	IsUnchanged bool
	// Bytes is the size of the answer's body as it was sent.
	Bytes int64
}

// Lister reads the platform's list.
type Lister interface {
	// Fetch reads the list, unless it still is the one that etag names.
	Fetch(ctx context.Context, etag string) (Fetched, error)
}
