package mirror

import (
	"context"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// handOnWithin is for how long after the store's last answer a copy is handed on: the longest that a poll takes whose answer comes, with
// the pause before it and a store that is slow. Nodes that follow this one then look for another way.
const handOnWithin = pollWait + gatherTime + 300*time.Millisecond

// Listing returns all pairs for another node's mirror, or IsErrUnavailable where the copy isn't complete.
func (m *Mirror) Listing() (kv.ListResult, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if err := m.mayHandOn(); err != nil {
		return kv.ListResult{}, err
	}
	listed := kv.ListResult{Revision: m.revision, Age: time.Duration(m.opts.Now() - m.provenAt), Silence: time.Since(m.lastAnswer)}
	for _, pair := range m.pairs {
		listed.Pairs = append(listed.Pairs, pair)
	}
	return listed, nil
}

// Changes waits until the copy holds more than a revision, or was proved anew, and returns the changes since; it returns without any
// after a while. The batch's Age counts from the call's arrival. IsErrCompacted tells that the changes are no longer kept, and
// IsErrUnavailable that the store has fallen silent.
func (m *Mirror) Changes(ctx context.Context, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	arrived := time.Now()
	batch, updated, err := m.changesNow(after)
	if err != nil || len(batch.Events) > 0 {
		return batch, err
	}
	m.mu.RLock()
	silentIn := handOnWithin - time.Since(m.lastAnswer)
	m.mu.RUnlock()
	timer := time.NewTimer(min(wait, silentIn))
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
	batch, _, err = m.changesNow(after)
	batch.Age -= time.Since(arrived)
	return batch, err
}

// mayHandOn returns why the copy may not be handed on, or nil; m.mu is held.
func (m *Mirror) mayHandOn() error {
	switch silence := time.Since(m.lastAnswer); {
	case m.revision == 0:
		return kv.Error.Wrap(&kv.ErrUnavailable{Cause: &ErrIncomplete{}})
	case silence >= handOnWithin:
		return kv.Error.Wrap(&kv.ErrUnavailable{Cause: &ErrSilent{Silence: silence}})
	default:
		return nil
	}
}

func (m *Mirror) changesNow(after kv.Version) (kv.WatchBatch, <-chan struct{}, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if err := m.mayHandOn(); err != nil {
		return kv.WatchBatch{}, nil, err
	}
	if after < m.historyFrom {
		return kv.WatchBatch{}, nil, kv.Error.Wrap(&kv.ErrCompacted{Oldest: m.historyFrom})
	}
	batch := kv.WatchBatch{
		Revision: max(m.revision, after), Age: time.Duration(m.opts.Now() - m.provenAt), Silence: time.Since(m.lastAnswer),
	}
	for _, event := range m.history {
		if event.Pair.Version > after {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch, m.updated, nil
}

// ErrSilent means that the store has not answered for a while.
type ErrSilent struct{ Silence time.Duration }

// Error implements error.
func (e *ErrSilent) Error() string { return "no answer of the store for " + e.Silence.String() }

// ErrIncomplete means that a mirror has not read the store yet.
type ErrIncomplete struct{}

// Error implements error.
func (e *ErrIncomplete) Error() string { return "copy of the store is not complete yet" }
