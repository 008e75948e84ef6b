// Package order gives orders to engines: load or unload a version, or take a role. An order names a state to be in, so
// that it may be repeated; it carries a deadline and the fencing number of the lease of its giver.
package order

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/internal/lease"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// sendTimeout bounds an order's way and answer; it is also the order's deadline at the server.
	sendTimeout = 2 * time.Second
	// readTimeout bounds the reading of a server's state.
	readTimeout = 2 * time.Second
	// DefaultLongestPause is the longest credible pause of a holder between its check of the lease and its order.
	DefaultLongestPause = 30 * time.Second
	// maxState bounds a server's state in bytes.
	maxState = 1 << 20
)

// Action is what an order asks for.
type Action string

// Actions.
const (
	ActionLoad   Action = "Load"
	ActionUnload Action = "Unload"
	ActionRole   Action = "Role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	ID       string
	Fencing  lease.Fencing
	Action   Action
	Version  api.VersionID `json:",omitzero"`
	Role     string        `json:",omitempty"`
	Deadline time.Time
}

// Status is the state of a version on a server; the empty one means that it is not there.
type Status string

// Statuses.
const (
	StatusLoading Status = "Loading"
	StatusLoaded  Status = "Loaded"
	StatusFailed  Status = "Failed"
)

// VersionStatus is a version's entry in a server's state.
type VersionStatus struct {
	Version api.VersionID
	Status  Status
}

// State is the answer of GET /v1/state.
type State struct {
	Role string
	// Fencing is the highest fencing number that the server has seen.
	Fencing  lease.Fencing
	Versions []VersionStatus
}

// StatusOf returns a version's status, empty if it is not there.
func (s State) StatusOf(v api.VersionID) Status {
	for _, entry := range s.Versions {
		if entry.Version == v {
			return entry.Status
		}
	}
	return ""
}

// Lease is the lease of the duty that gives the orders.
type Lease interface {
	// Held returns the fencing number and how long the lease surely lasts.
	Held(now time.Time) (lease.Fencing, time.Duration, bool)
	// Since returns when this holder took the duty.
	Since() time.Time
}

// Options configures New.
type Options struct {
	Client *http.Client
	Lease  Lease
	// LongestPause is the longest credible pause of a holder; 0 means DefaultLongestPause.
	LongestPause time.Duration
}

// Sender gives the orders of one duty.
type Sender struct{ opts Options }

// New returns a giver.
func New(opts Options) *Sender {
	if opts.LongestPause == 0 {
		opts.LongestPause = DefaultLongestPause
	}
	return &Sender{opts: opts}
}

// Target is a server that takes orders.
type Target struct {
	Server fleet.Server
	// ChecksFencing tells that the server refuses orders with an old fencing number.
	ChecksFencing bool
}

// Give sends an order; its ID, Action and Version or Role are set. Right before it goes out, the lease must last longer
// than the order may take, and a server that does not check fencing numbers gets none until every earlier holder's
// orders have arrived, be it paused right before it sent one.
//
// The error is IsErrNotHolder, IsErrTooEarly, IsErrFenced, IsErrRefused or IsErrUnknownOutcome; after the last, and on a
// server that does not check fencing numbers after any, State tells what is so.
func (g *Sender) Send(ctx context.Context, to Target, o Order) error {
	now := time.Now()
	fencing, remaining, held := g.opts.Lease.Held(now)
	if !held || remaining <= sendTimeout {
		return Error.Wrap(&ErrNotHolder{Remaining: remaining})
	}
	if until := g.opts.Lease.Since().Add(g.opts.LongestPause + sendTimeout); !to.ChecksFencing && now.Before(until) {
		return Error.Wrap(&ErrTooEarly{Until: until})
	}
	o.Fencing = fencing
	o.Deadline = now.Add(sendTimeout).UTC()
	return Error.Wrap(g.post(ctx, to.Server, o))
}

func (g *Sender) post(ctx context.Context, server fleet.Server, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	req, err := newRequest(ctx, server, body)
	if err != nil {
		return err
	}
	resp, err := g.opts.Client.Do(req)
	if err != nil {
		return &ErrUnknownOutcome{Cause: err}
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		var answer struct{ Fencing lease.Fencing }
		_ = json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&answer)
		return &ErrFenced{Own: o.Fencing, Highest: answer.Fencing}
	case resp.StatusCode >= http.StatusInternalServerError:
		return &ErrUnknownOutcome{Cause: &ErrRejected{Status: resp.StatusCode}}
	case resp.StatusCode >= http.StatusMultipleChoices:
		return &ErrRejected{Status: resp.StatusCode}
	}
	return nil
}

// State reads a server's state.
func (g *Sender) State(ctx context.Context, server fleet.Server) (State, error) {
	var state State
	_, err := httpjson.Do(ctx, g.opts.Client, httpjson.Request{
		Method: http.MethodGet, URL: "http://" + server.Address + "/v1/state", Timeout: readTimeout, Limit: maxState,
	}, &state)
	return state, Error.Wrap(err)
}
