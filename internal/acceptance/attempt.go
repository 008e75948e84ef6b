package acceptance

import (
	"context"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// firstRetry and maxRetry bound the delay between attempts to read the outcome of a write whose answer was lost.
	firstRetry = 50 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// attempt is the state of one call of Accept.
type attempt struct {
	acceptor *Acceptor
	change   fleet.Change
	// lostAnswer is the error of a write whose answer was lost, while that write may still take effect; nil otherwise. Any
	// write after it compares with the same head, so at most one of them takes effect.
	lostAnswer error
	// lastWriteHead is the head that the last write compared with.
	lastWriteHead configlog.Head
	wait          time.Duration
}

func (t *attempt) run(ctx context.Context) (api.Revision, error) {
	a := t.acceptor
	for {
		if a.state == nil || t.lostAnswer != nil {
			if err := a.refresh(ctx); err != nil {
				if err := t.handleError(ctx, err); err != nil {
					return 0, err
				}
				continue
			}
		}
		delta, accepted, err := t.prepare(ctx)
		if err != nil {
			if err := t.handleError(ctx, err); err != nil {
				return 0, err
			}
			continue
		}
		if accepted != 0 {
			return accepted, nil
		}
		done, err := t.write(ctx, delta)
		if err != nil || done {
			return delta.Revision, err
		}
	}
}

// write tries to append the delta. If it returns neither done nor an error, the caller reads the state and tries again.
func (t *attempt) write(ctx context.Context, delta fleet.Delta) (done bool, err error) {
	a := t.acceptor
	next, err := a.state.Apply(delta)
	if err != nil {
		return false, Error.Wrap(err)
	}
	if err := next.Config.Validate(); err != nil {
		return false, Error.Wrap(err)
	}
	t.lastWriteHead = a.head
	head, err := a.log.Append(ctx, a.head, delta)
	switch {
	case err == nil:
		a.head = head
		a.state = next
		a.applyLocally(delta)
		return true, nil
	case isErrHeadMoved(err):
		a.state = nil
		t.lostAnswer = nil
		return false, nil
	case kv.IsErrUnknownOutcome(err):
		t.lostAnswer = err
	}
	a.state = nil
	return false, t.handleError(ctx, err)
}

// prepare returns the delta that applies the change to the newest state, or the accepted revision if the change has one
// already.
func (t *attempt) prepare(ctx context.Context) (delta fleet.Delta, accepted api.Revision, err error) {
	a := t.acceptor
	if known := t.highestKnown(); known > a.head.Revision {
		return fleet.Delta{}, 0, t.catchUp(ctx, known)
	}
	others, err := t.deltasAfter(ctx, t.change.Base)
	if err != nil {
		return fleet.Delta{}, 0, err
	}
	for _, other := range others {
		if other.ID == t.change.ID {
			a.applyLocally(others...)
			return fleet.Delta{}, other.Revision, nil
		}
	}
	// A delayed write can't take effect any more once its comparison with the head fails.
	if a.head != t.lastWriteHead {
		t.lostAnswer = nil
	}
	if err := t.checkConflict(others); err != nil {
		return fleet.Delta{}, 0, err
	}
	return fleet.Delta{Revision: a.head.Revision + 1, Parent: a.head.ChangeID, Change: t.change}, 0, nil
}

// highestKnown returns the highest revision that the node or the change's author has seen.
func (t *attempt) highestKnown() api.Revision {
	if local := t.acceptor.local; local != nil {
		return max(t.change.Base, local.State().Revision())
	}
	return t.change.Base
}

// catchUp reads the service again. It returns ErrServiceOlder if the service lacks the known revision, otherwise errReadAgain.
func (t *attempt) catchUp(ctx context.Context, known api.Revision) error {
	a := t.acceptor
	if err := a.refresh(ctx); err != nil {
		return err
	}
	if a.head.Revision < known {
		return Error.Wrap(&ErrServiceOlder{Service: a.head.Revision, Have: known})
	}
	return Error.Wrap(&errReadAgain{})
}

// checkConflict returns ErrConflict if the author had not seen all other changes, unless the change may be rebased over them.
func (t *attempt) checkConflict(others []fleet.Delta) error {
	a := t.acceptor
	if t.change.Base == a.head.Revision {
		return nil
	}
	conflict := &ErrConflict{Base: t.change.Base, Head: a.head.Revision, Others: others}
	if !t.change.Rebase || len(others) == 0 || others[0].Revision != t.change.Base+1 {
		return Error.Wrap(conflict)
	}
	for _, other := range others {
		if entity, ok := t.change.Overlaps(other.Change); ok {
			conflict.Entity = entity
			return Error.Wrap(conflict)
		}
	}
	return nil
}

// deltasAfter returns the deltas after a revision, up to the acceptor's state; those no longer retained are left out.
func (t *attempt) deltasAfter(ctx context.Context, after api.Revision) ([]fleet.Delta, error) {
	a := t.acceptor
	var found []fleet.Delta
	for after < a.state.Revision() {
		page, err := a.log.Read(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, delta := range page.Deltas {
			if delta.Revision <= a.state.Revision() {
				found = append(found, delta)
			}
		}
		if !page.More || len(page.Deltas) == 0 {
			break
		}
		after = page.Deltas[len(page.Deltas)-1].Revision
	}
	return found, nil
}

// handleError returns the final error, or nil, after a delay, if another read may show the outcome of a lost answer.
func (t *attempt) handleError(ctx context.Context, err error) error {
	if isErrReadAgain(err) {
		return nil
	}
	if t.lostAnswer == nil {
		if kv.IsErrUnavailable(err) {
			return Error.Wrap(&ErrUnavailable{Cause: err})
		}
		return err
	}
	if !isUnreachable(err) {
		return err
	}
	if !sleep.For(ctx, t.wait) {
		return Error.Wrap(&ErrOutcomeUnknown{ID: t.change.ID, Cause: t.lostAnswer})
	}
	t.wait = min(2*t.wait, maxRetry)
	return nil
}
