package follower

import (
	"context"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// healSpread spreads the watchers that find the service older, so that mostly one of them writes.
	healSpread = 500 * time.Millisecond
	// healBytes and healDeltas bound one transaction that writes revisions back.
	healBytes  = 256 << 10
	healDeltas = 50
)

// loadChecked catches up with the service, records how it stands, and writes back what an older service lacks.
func (f *Follower) loadChecked(ctx context.Context) (kv.Version, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := f.opts.Log.Load(callCtx, f)
	switch older, ok := configlog.AsErrServiceOlder(err); {
	case err == nil:
		f.setService(ServiceInSync, nil)
	case ok:
		f.setService(ServiceOlder, err)
		if err := f.heal(ctx, older.Head); err != nil {
			f.log.WithError(err).Warn("revisions not written back yet")
		}
	case fleet.IsErrForked(err):
		f.setService(ServiceForked, err)
	case ctx.Err() == nil && !fleet.IsErrOutOfOrder(err):
		f.setService(ServiceUnreachable, err)
	}
	return version, err
}

// heal writes the revisions that the service lacks, each write by compare-and-swap on the head, so that several
// nodes may do it at once and a change accepted meanwhile is never overwritten.
func (f *Follower) heal(ctx context.Context, head configlog.Head) error {
	if err := sleep.Wait(ctx, f.randomUpTo(healSpread)); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		deltas, state, err := f.missing(head)
		if err != nil {
			f.setService(ServiceForked, err)
			return err
		}
		if state != nil {
			_, err := f.opts.Log.WriteSnapshot(ctx, head, state, 0)
			return err
		}
		if len(deltas) == 0 {
			return nil
		}
		if head, err = f.opts.Log.Append(ctx, head, deltas...); err != nil {
			return err
		}
		f.meters.rewritten.Inc(int64(len(deltas)))
		f.log.WithField("revision", head.Revision).Warn("revisions written back to the key-value service")
	}
}

// missing returns the next deltas that a head lacks, or the whole state where they are no longer kept.
func (f *Follower) missing(head configlog.Head) ([]fleet.Delta, *fleet.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.replica.compare(head.Revision, head.ChangeID); err != nil {
		return nil, nil, err
	}
	found, ok := f.replica.after(head.Revision, healBytes)
	if !ok {
		return nil, f.replica.state, nil
	}
	var deltas []fleet.Delta
	for _, delta := range found[:min(len(found), healDeltas)] {
		decoded, err := fleet.DecodeDelta(delta.data)
		if err != nil {
			return nil, nil, err
		}
		deltas = append(deltas, decoded)
	}
	if len(deltas) > 0 && deltas[0].Parent != head.ChangeID {
		return nil, nil, Error.Wrap(&fleet.ErrForked{Revision: head.Revision, Have: deltas[0].Parent, Got: head.ChangeID})
	}
	return deltas, nil, nil
}
