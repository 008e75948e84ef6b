// Package acceptance accepts changes of the configuration: each gets the next revision by compare-and-swap in the
// key-value service, exactly once, even if answers of the service are lost.
package acceptance

import (
	"context"
	"strings"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// snapshotInterval is how many deltas a starting node reads at most after a snapshot.
	snapshotInterval = 500
	// retainedDeltas is how many deltas remain in the service as the history.
	retainedDeltas = 20000
)

// Local is the copy of the configuration on this node.
type Local interface {
	// State returns the configuration in force on the node.
	State() *fleet.State
	// ApplyAccepted applies a delta that was just accepted; a delta that doesn't follow the state is dropped.
	ApplyAccepted(delta fleet.Delta)
}

// adopter is a Local that can lag behind and accepts a newer state as a whole.
type adopter interface{ Adopt(state *fleet.State) }

// Acceptor accepts changes, one after the other. It is safe for concurrent use.
type Acceptor struct {
	log    *configlog.Log
	local  Local
	logger log.Interface

	// token is a mutex for state and head that can be awaited with a context; it is empty while a goroutine holds the mutex.
	token chan struct{}
	// state is the configuration at head; it is nil if both have to be read from the service.
	state *fleet.State
	head  configlog.Head
}

// New returns an acceptor that writes to changes. Local may be nil if the process is not a node.
func New(changes *configlog.Log, local Local, logger log.Interface) *Acceptor {
	a := &Acceptor{log: changes, local: local, logger: logger, token: make(chan struct{}, 1)}
	a.token <- struct{}{}
	return a
}

// State returns the newest state in the service.
func (a *Acceptor) State(ctx context.Context) (*fleet.State, error) {
	if err := a.acquire(ctx); err != nil {
		return nil, err
	}
	defer a.release()
	err := a.refresh(ctx)
	return a.state, err
}

// Accept accepts a change and returns its revision. A change whose id was accepted before keeps that revision.
//
// The error is ErrIncomplete if a field is missing, ErrConflict with the changes that the author had not seen,
// fleet.ErrInvalid with the rules that the change would break, ErrServiceOlder if the service lacks revisions in force,
// ErrUnavailable if the change was not accepted, or ErrOutcomeUnknown if it may have been accepted. In each case the
// same change, with the same id, can be submitted again.
func (a *Acceptor) Accept(ctx context.Context, change fleet.Change) (api.Revision, error) {
	if err := checkChange(change); err != nil {
		return 0, err
	}
	if err := a.acquire(ctx); err != nil {
		return 0, err
	}
	defer a.release()
	attempt := &attempt{acceptor: a, change: change, wait: firstRetry}
	revision, err := attempt.run(ctx)
	if err != nil {
		return 0, err
	}
	a.compact(ctx)
	return revision, nil
}

// acquire waits until no other goroutine uses state and head; the caller must call release.
func (a *Acceptor) acquire(ctx context.Context) error {
	select {
	case <-a.token:
		return nil
	case <-ctx.Done():
		return Error.Wrap(&ErrUnavailable{Cause: ctx.Err()})
	}
}

func (a *Acceptor) release() { a.token <- struct{}{} }

// checkChange returns ErrIncomplete if a required field is missing; it does not depend on the configuration.
func checkChange(change fleet.Change) error {
	switch {
	case change.ID == "":
		return Error.Wrap(&ErrIncomplete{Field: "ID"})
	case strings.TrimSpace(change.Author) == "":
		return Error.Wrap(&ErrIncomplete{Field: "Author"})
	case strings.TrimSpace(change.Reason) == "":
		return Error.Wrap(&ErrIncomplete{Field: "Reason"})
	case len(change.Ops) == 0:
		return Error.Wrap(&ErrIncomplete{Field: "Ops"})
	}
	return nil
}

// applyLocally applies accepted deltas on this node, so that they reach its peers even if the service fails now.
func (a *Acceptor) applyLocally(deltas ...fleet.Delta) {
	if a.local == nil {
		return
	}
	for _, delta := range deltas {
		a.local.ApplyAccepted(delta)
	}
	if local, ok := a.local.(adopter); ok {
		local.Adopt(a.state)
	}
}

// refresh reads the head and the state at the head.
func (a *Acceptor) refresh(ctx context.Context) error {
	copied := &replica{state: a.state}
	if a.state == nil {
		copied.state = a.initialState()
	}
	for {
		head, err := a.log.Head(ctx)
		if err != nil {
			return err
		}
		if have := copied.state.Revision(); head.Revision < have {
			return Error.Wrap(&ErrServiceOlder{Service: head.Revision, Have: have})
		}
		if _, err = a.log.Load(ctx, copied); err != nil {
			return err
		}
		if head.Revision == copied.state.Revision() {
			a.state = copied.state
			a.head = head
			return nil
		}
	}
}

// replica is the acceptor's copy of the state while refresh updates it to the head.
type replica struct{ state *fleet.State }

// State implements configlog.Replica.
func (r *replica) State() *fleet.State { return r.state }

// Apply implements configlog.Replica.
func (r *replica) Apply(deltas []fleet.Delta) error {
	for _, delta := range deltas {
		next, err := r.state.Apply(delta)
		if err != nil {
			return err
		}
		r.state = next
	}
	return nil
}

// Adopt implements configlog.Replica.
func (r *replica) Adopt(state *fleet.State) { r.state = state }

// initialState returns the node's copy, so that only newer revisions have to be read.
func (a *Acceptor) initialState() *fleet.State {
	if a.local != nil {
		return a.local.State()
	}
	return fleet.NewState()
}

// compact writes a snapshot if at least snapshotInterval deltas were accepted since the last one. The change is already
// accepted, so a failure is only logged; the next change retries the snapshot.
func (a *Acceptor) compact(ctx context.Context) {
	if a.head.Revision-a.head.Snapshot < snapshotInterval {
		return
	}
	head, err := a.log.WriteSnapshot(ctx, a.head, a.state, retainedDeltas)
	if err != nil {
		a.logger.WithError(err).WithField("revision", a.state.Revision()).Warn("snapshot of the configuration not written")
		a.state = nil
		return
	}
	a.head = head
}
