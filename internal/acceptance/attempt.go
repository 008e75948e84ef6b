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
	// firstRetry and maxRetry bound the wait between tries to learn the outcome of a lost answer.
	firstRetry = 50 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// attempt is the way of one change to its acceptance.
type attempt struct {
	acceptor *Acceptor
	change   fleet.Change
	// uncertain holds the lost answer's error while an earlier write may still take effect; any write after it compares
	// with the same head, so at most one of them does.
	uncertain error
	// writtenOn is the head that the last write compared with.
	writtenOn configlog.Head
	wait      time.Duration
}

func (t *attempt) run(ctx context.Context) (api.Revision, error) {
	a := t.acceptor
	for {
		if a.state == nil || t.uncertain != nil {
			if err := a.refresh(ctx); err != nil {
				if err := t.fail(ctx, err); err != nil {
					return 0, err
				}
				continue
			}
		}
		delta, accepted, err := t.place(ctx)
		if err != nil {
			if err := t.fail(ctx, err); err != nil {
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

// write tries to append the delta; neither done nor an error asks for another round.
func (t *attempt) write(ctx context.Context, delta fleet.Delta) (done bool, err error) {
	a := t.acceptor
	next, err := a.state.Apply(delta)
	if err != nil {
		return false, Error.Wrap(err)
	}
	if err := next.Config.Validate(); err != nil {
		return false, Error.Wrap(err)
	}
	t.writtenOn = a.head
	head, err := a.log.Append(ctx, a.head, delta)
	switch {
	case err == nil:
		a.head = head
		a.state = next
		a.handOver(delta)
		return true, nil
	case isErrMoved(err):
		a.state = nil
		t.uncertain = nil
		return false, nil
	case kv.IsErrUnknownOutcome(err):
		t.uncertain = err
	}
	a.state = nil
	return false, t.fail(ctx, err)
}

// place returns the delta that the change becomes on the newest state, or the revision that it has already.
func (t *attempt) place(ctx context.Context) (delta fleet.Delta, accepted api.Revision, err error) {
	a := t.acceptor
	if known := t.known(); known > a.head.Revision {
		return fleet.Delta{}, 0, t.catchUp(ctx, known)
	}
	others, err := t.since(ctx, t.change.Base)
	if err != nil {
		return fleet.Delta{}, 0, err
	}
	for _, other := range others {
		if other.ID == t.change.ID {
			a.handOver(others...)
			return fleet.Delta{}, other.Revision, nil
		}
	}
	// A write whose comparison no longer holds can't take effect any more.
	if a.head != t.writtenOn {
		t.uncertain = nil
	}
	if err := t.checkConflict(others); err != nil {
		return fleet.Delta{}, 0, err
	}
	return fleet.Delta{Revision: a.head.Revision + 1, Parent: a.head.ChangeID, Change: t.change}, 0, nil
}

// known returns the highest revision that the node or the change's author has seen.
func (t *attempt) known() api.Revision {
	if local := t.acceptor.local; local != nil {
		return max(t.change.Base, local.State().Revision())
	}
	return t.change.Base
}

// catchUp reads the service again, and tells whether it was the acceptor or the service that was behind.
func (t *attempt) catchUp(ctx context.Context, known api.Revision) error {
	a := t.acceptor
	if err := a.refresh(ctx); err != nil {
		return err
	}
	if a.head.Revision < known {
		return Error.Wrap(&ErrServiceOlder{Service: a.head.Revision, Have: known})
	}
	return Error.Wrap(&errAgain{})
}

// checkConflict refuses a change whose author had not seen others, unless it may be rebased over them.
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

// since returns the deltas after a revision, up to the acceptor's state; those no longer kept are left out.
func (t *attempt) since(ctx context.Context, after api.Revision) ([]fleet.Delta, error) {
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

// fail returns the final error, or nil after a wait if another round may bring the outcome to light.
func (t *attempt) fail(ctx context.Context, err error) error {
	if isAgain(err) {
		return nil
	}
	if t.uncertain == nil {
		if kv.IsErrUnavailable(err) {
			return Error.Wrap(&ErrUnavailable{Cause: err})
		}
		return err
	}
	if !isUnreachable(err) {
		return err
	}
	if !sleep.For(ctx, t.wait) {
		return Error.Wrap(&ErrOutcomeUnknown{ID: t.change.ID, Cause: t.uncertain})
	}
	t.wait = min(2*t.wait, maxRetry)
	return nil
}
