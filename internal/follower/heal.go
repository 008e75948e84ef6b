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
	// writeBackJitter is the maximum random delay before writing back, so that usually only one of the watchers writes.
	writeBackJitter = 500 * time.Millisecond
	// maxWriteBackBytes and maxWriteBackDeltas bound one transaction that writes revisions back.
	maxWriteBackBytes  = 256 << 10
	maxWriteBackDeltas = 50
)

// loadAndRepair loads newer revisions from the service, records the service's state, and writes back the revisions
// that an older service lacks.
func (f *Follower) loadAndRepair(ctx context.Context) (kv.Version, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := f.opts.Log.Load(callCtx, f)
	switch older, ok := configlog.AsErrServiceOlder(err); {
	case err == nil:
		f.setServiceState(ServiceInSync, nil)
	case ok:
		f.setServiceState(ServiceOlder, err)
		if err := f.writeBack(ctx, older.Head); err != nil {
			f.log.WithError(err).Warn("revisions not written back yet")
		}
	case fleet.IsErrForked(err):
		f.setServiceState(ServiceForked, err)
	case ctx.Err() == nil && !fleet.IsErrOutOfOrder(err):
		f.setServiceState(ServiceUnreachable, err)
	}
	return version, err
}

// writeBack writes the revisions that the service lacks. Each write is a compare-and-swap on the head, so that several
// nodes may write at once and a change accepted meanwhile is never overwritten.
func (f *Follower) writeBack(ctx context.Context, head configlog.Head) error {
	if err := sleep.Wait(ctx, f.randomUpTo(writeBackJitter)); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		deltas, state, err := f.missingDeltas(head)
		if err != nil {
			f.setServiceState(ServiceForked, err)
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

// missingDeltas returns the next deltas after a head, or the whole state if those deltas are no longer retained.
func (f *Follower) missingDeltas(head configlog.Head) ([]fleet.Delta, *fleet.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.replica.compare(head.Revision, head.ChangeID); err != nil {
		return nil, nil, err
	}
	found, ok := f.replica.after(head.Revision, maxWriteBackBytes)
	if !ok {
		return nil, f.replica.state, nil
	}
	var deltas []fleet.Delta
	for _, delta := range found[:min(len(found), maxWriteBackDeltas)] {
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
