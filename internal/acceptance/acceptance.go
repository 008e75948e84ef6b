// Package acceptance has changes of the configuration accepted: each gets the next revision by compare-and-swap in the
// key-value service, exactly once, however often its answer is lost.
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
	// snapshotEvery is how many deltas a starting node reads at most after a snapshot.
	snapshotEvery = 500
	// keepDeltas is how many deltas stay readable as the history.
	keepDeltas = 20000
)

// Local is the node's own copy of the configuration.
type Local interface {
	// State returns what is in force on the node.
	State() *fleet.State
	// Offer hands over a delta that was just accepted; one that doesn't follow the state is dropped.
	ApplyAccepted(delta fleet.Delta)
}

// adopter is a Local that lags behind at times and takes a newer state as a whole.
type adopter interface{ Adopt(state *fleet.State) }

// Acceptor has changes accepted, one after the other. Its methods may be called by many goroutines.
type Acceptor struct {
	log    *configlog.Log
	local  Local
	logger log.Interface

	// turn holds one token, which the goroutine that uses state and head has taken.
	turn chan struct{}
	// state and head belong together; state is nil until they were read.
	state *fleet.State
	head  configlog.Head
}

// New returns an acceptor. Local may be nil where there is no node.
func New(changes *configlog.Log, local Local, logger log.Interface) *Acceptor {
	a := &Acceptor{log: changes, local: local, logger: logger, turn: make(chan struct{}, 1)}
	a.turn <- struct{}{}
	return a
}

// State returns the newest state in the service.
func (a *Acceptor) State(ctx context.Context) (*fleet.State, error) {
	if err := a.takeTurn(ctx); err != nil {
		return nil, err
	}
	defer a.endTurn()
	err := a.refresh(ctx)
	return a.state, err
}

// Accept has a change accepted and returns its revision. A change whose id was accepted before keeps that revision.
//
// ErrConflict names the changes that the author had not seen, fleet.ErrInvalid lists what the change would break,
// ErrUnavailable says that the change was not accepted, and ErrOutcomeUnknown that it may have been: the same change,
// with the same id, can be offered again in each case.
func (a *Acceptor) Accept(ctx context.Context, change fleet.Change) (api.Revision, error) {
	if err := checkChange(change); err != nil {
		return 0, err
	}
	if err := a.takeTurn(ctx); err != nil {
		return 0, err
	}
	defer a.endTurn()
	attempt := &attempt{acceptor: a, change: change, wait: firstRetry}
	revision, err := attempt.run(ctx)
	if err != nil {
		return 0, err
	}
	a.compact(ctx)
	return revision, nil
}

// takeTurn waits until no other goroutine uses state and head.
func (a *Acceptor) takeTurn(ctx context.Context) error {
	select {
	case <-a.turn:
		return nil
	case <-ctx.Done():
		return Error.Wrap(&ErrUnavailable{Cause: ctx.Err()})
	}
}

func (a *Acceptor) endTurn() { a.turn <- struct{}{} }

// checkChange checks what does not depend on the configuration.
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

// handOver gives the node what was accepted, so that it spreads even if the service dies now.
func (a *Acceptor) handOver(deltas ...fleet.Delta) {
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

// refresh reads the head and the state that belongs to it.
func (a *Acceptor) refresh(ctx context.Context) error {
	copied := &replica{state: a.state}
	if a.state == nil {
		copied.state = a.startState()
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

// replica is the acceptor's copy while it is brought up to the head.
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

// startState returns the node's copy, so that only what is newer is read.
func (a *Acceptor) startState() *fleet.State {
	if a.local != nil {
		return a.local.State()
	}
	return fleet.NewState()
}

// compact writes a snapshot when enough deltas have come since the last. The change is accepted already,
// so a failure is only logged; the next change tries again.
func (a *Acceptor) compact(ctx context.Context) {
	if a.head.Revision-a.head.Snapshot < snapshotEvery {
		return
	}
	head, err := a.log.WriteSnapshot(ctx, a.head, a.state, keepDeltas)
	if err != nil {
		a.logger.WithError(err).WithField("revision", a.state.Revision()).Warn("snapshot of the configuration not written")
		a.state = nil
		return
	}
	a.head = head
}
