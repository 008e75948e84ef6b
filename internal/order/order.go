// Package order sends orders to engines: to load or unload a version, or to take a role. An order states the state to reach, so that it
// may be repeated; it has a deadline and the fencing number of the sender's lease.
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
	// sendTimeout bounds sending an order and receiving the answer; it also sets the order's deadline at the server.
	sendTimeout = 2 * time.Second
	// readTimeout bounds reading a server's state.
	readTimeout = 2 * time.Second
	// DefaultLongestPause is the longest credible pause of a lease holder between its check of the lease and sending the order.
	DefaultLongestPause = 30 * time.Second
	// maxStateBytes bounds the body of a server's answer.
	maxStateBytes = 1 << 20
)

// Action is the action that an order requests.
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

// Status is the status of a version on a server; empty if the server does not have the version.
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

// StatusOf returns a version's status; empty if the server does not have it.
func (s State) StatusOf(v api.VersionID) Status {
	for _, entry := range s.Versions {
		if entry.Version == v {
			return entry.Status
		}
	}
	return ""
}

// Lease is the lease of the duty that sends the orders; *lease.Lease implements it.
type Lease interface {
	// Held returns the fencing number, how long the lease is certain to last, and whether it is held.
	Held(now time.Time) (lease.Fencing, time.Duration, bool)
	// Since returns when this node took the lease.
	Since() time.Time
}

// Options configures New.
type Options struct {
	Client *http.Client
	Lease  Lease
	// LongestPause is the longest credible pause of a lease holder between its check of the lease and sending an order; 0 means
	// DefaultLongestPause.
	LongestPause time.Duration
}

// Sender sends the orders of one duty.
type Sender struct{ opts Options }

// New returns a sender.
func New(opts Options) *Sender {
	if opts.LongestPause == 0 {
		opts.LongestPause = DefaultLongestPause
	}
	return &Sender{opts: opts}
}

// Target is a server to which an order is sent.
type Target struct {
	Server fleet.Server
	// ChecksFencing is set if the server rejects orders with a fencing number lower than one it has seen.
	ChecksFencing bool
}

// Send sends an order, of which the caller sets ID, Action, and Version or Role. Right before it is sent, the lease must last longer
// than the order may take. A server that does not check fencing numbers gets no orders until those of every earlier lease holder have
// arrived, even if that holder was paused right before it sent one.
//
// The error is IsErrNotHolder, IsErrTooEarly, IsErrFenced, IsErrRejected or IsErrUnknownOutcome. After IsErrUnknownOutcome, and after
// any of them on a server that does not check fencing numbers, State returns what the server has.
func (s *Sender) Send(ctx context.Context, target Target, order Order) error {
	now := time.Now()
	fencing, remaining, held := s.opts.Lease.Held(now)
	if !held || remaining <= sendTimeout {
		return Error.Wrap(&ErrNotHolder{Remaining: remaining})
	}
	if until := s.opts.Lease.Since().Add(s.opts.LongestPause + sendTimeout); !target.ChecksFencing && now.Before(until) {
		return Error.Wrap(&ErrTooEarly{Until: until})
	}
	order.Fencing = fencing
	order.Deadline = now.Add(sendTimeout).UTC()
	return Error.Wrap(s.post(ctx, target.Server, order))
}

func (s *Sender) post(ctx context.Context, server fleet.Server, o Order) error {
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
	resp, err := s.opts.Client.Do(req)
	if err != nil {
		return &ErrUnknownOutcome{Cause: err}
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		var answer struct{ Fencing lease.Fencing }
		_ = json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&answer)
		return &ErrFenced{Own: o.Fencing, Highest: answer.Fencing}
	case resp.StatusCode >= http.StatusInternalServerError:
		return &ErrUnknownOutcome{Cause: &ErrRejected{Status: resp.StatusCode}}
	case resp.StatusCode >= http.StatusMultipleChoices:
		return &ErrRejected{Status: resp.StatusCode}
	}
	return nil
}

// State returns a server's state.
func (s *Sender) State(ctx context.Context, server fleet.Server) (State, error) {
	var state State
	_, err := httpjson.Do(ctx, s.opts.Client, httpjson.Request{
		Method: http.MethodGet, URL: "http://" + server.Address + "/v1/state", Timeout: readTimeout, MaxResponseBytes: maxStateBytes,
	}, &state)
	return state, Error.Wrap(err)
}
