package mirror

import (
	"context"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// Listing returns all pairs for another node's mirror, or IsErrUnavailable where the copy isn't complete.
func (m *Mirror) Listing() (kv.ListResult, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.revision == 0 {
		return kv.ListResult{}, kv.Error.Wrap(&kv.ErrUnavailable{Cause: &ErrIncomplete{}})
	}
	listed := kv.ListResult{Revision: m.revision, Age: time.Duration(m.opts.Now() - m.provenAt)}
	for _, pair := range m.pairs {
		listed.Pairs = append(listed.Pairs, pair)
	}
	return listed, nil
}

// Changes waits until the copy holds more than a revision, or was proved anew, and returns the changes since; it returns without any
// after a while. The batch's Age counts from the call's arrival. IsErrCompacted tells that the changes are no longer kept.
func (m *Mirror) Changes(ctx context.Context, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	arrived := time.Now()
	batch, updated, err := m.changesNow(after)
	if err != nil || len(batch.Events) > 0 {
		return batch, err
	}
	timer := time.NewTimer(wait)
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

func (m *Mirror) changesNow(after kv.Version) (kv.WatchBatch, <-chan struct{}, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.revision == 0 {
		return kv.WatchBatch{}, nil, kv.Error.Wrap(&kv.ErrUnavailable{Cause: &ErrIncomplete{}})
	}
	if after < m.historyFrom {
		return kv.WatchBatch{}, nil, kv.Error.Wrap(&kv.ErrCompacted{Oldest: m.historyFrom})
	}
	batch := kv.WatchBatch{Revision: max(m.revision, after), Age: time.Duration(m.opts.Now() - m.provenAt)}
	for _, event := range m.history {
		if event.Pair.Version > after {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch, m.updated, nil
}

// ErrIncomplete means that a mirror has not read the store yet.
type ErrIncomplete struct{}

// Error implements error.
func (e *ErrIncomplete) Error() string { return "copy of the store is not complete yet" }
