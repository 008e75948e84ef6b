// Package vmlist reads the platform's list of VMs and publishes it as snapshots.
package vmlist

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("vmlist")

const (
	// fetchTimeout bounds one read of the list.
	fetchTimeout = 5 * time.Second
	// maxListBytes bounds the list; 12,000 VMs take about 2.5 MB.
	maxListBytes = 16 << 20
)

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

// Client reads the list.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the list below a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
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

// Fetch reads the list, unless it still is the one that etag names.
func (c *Client) Fetch(ctx context.Context, etag string) (Fetched, error) {
	call := httpjson.Request{
		Method:     http.MethodGet,
		URL:        c.base + "/v1/vms",
		Header:     http.Header{},
		Timeout:    fetchTimeout,
		Limit:      maxListBytes,
		AcceptGzip: true,
	}
	if etag != "" {
		call.Header.Set("If-None-Match", etag)
	}
	var list List
	answer, err := httpjson.Do(ctx, c.http, call, &list)
	if err != nil {
		return Fetched{}, Error.Wrap(err)
	}
	return Fetched{
		List:        list,
		ETag:        answer.Header.Get("ETag"),
		IsUnchanged: answer.Status == http.StatusNotModified,
		Bytes:       answer.Transferred,
	}, nil
}
