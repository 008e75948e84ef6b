package mirror

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// maxServeSilence is how long after the store's last answer the copy is served to other nodes: the longest duration of a successful poll,
// with the pause before it and 300 ms for a slow store. After that, nodes that use this one must find another upstream.
const maxServeSilence = pollWait + minPollInterval + 300*time.Millisecond

// Listing returns all pairs for another node's mirror; kv.ErrUnavailable if the copy isn't complete or the store doesn't answer.
func (m *Mirror) Listing() (kv.ListResult, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if err := m.checkFresh(); err != nil {
		return kv.ListResult{}, err
	}
	listed := kv.ListResult{
		Revision: m.revision, Age: time.Duration(m.opts.Now() - m.confirmedAt), Silence: time.Since(m.lastAnswer), SinceOutage: m.sinceOutage(),
	}
	for _, pair := range m.pairs {
		listed.Pairs = append(listed.Pairs, pair)
	}
	return listed, nil
}

// Changes waits until the copy has changes after a revision or is confirmed again, at most for wait, and returns the changes. The
// batch's Age is relative to the start of the call, and can be negative. The error is kv.ErrCompacted if the changes are no longer
// retained, and kv.ErrUnavailable if the copy isn't complete or the store has not answered for maxServeSilence.
func (m *Mirror) Changes(ctx context.Context, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	arrived := time.Now()
	batch, updated, err := m.currentChanges(after)
	if err != nil || len(batch.Events) > 0 {
		return batch, err
	}
	m.mu.RLock()
	silentIn := maxServeSilence - time.Since(m.lastAnswer)
	m.mu.RUnlock()
	timer := time.NewTimer(min(wait, silentIn))
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
	batch, _, err = m.currentChanges(after)
	batch.Age -= time.Since(arrived)
	return batch, err
}

// Difference returns what differs in the copy from that of a reader that was complete at a revision, of which the changes are no longer retained: the
// pairs that were written since, and the hashes of all keys. It is much smaller than Listing. The error is kv.ErrCompacted if the reader's copy is of
// another era, and kv.ErrUnavailable as for Changes.
func (m *Mirror) Difference(after kv.Version) (kv.WatchBatch, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if err := m.checkFresh(); err != nil {
		return kv.WatchBatch{}, err
	}
	if after.Era() != m.era || after == 0 || after > m.revision {
		return kv.WatchBatch{}, kv.Error.Wrap(&kv.ErrCompacted{Oldest: m.historyFrom})
	}
	batch := kv.WatchBatch{
		Revision: m.revision, Age: time.Duration(m.opts.Now() - m.confirmedAt), Silence: time.Since(m.lastAnswer), SinceOutage: m.sinceOutage(),
		KeyHashes: make([]uint64, 0, len(m.pairs)),
	}
	for key, pair := range m.pairs {
		// Each node keeps missing keys for its own grace period.
		if _, isMissing := m.missing[key]; isMissing {
			continue
		}
		batch.KeyHashes = append(batch.KeyHashes, kv.HashKey(key))
		if pair.Version > after {
			batch.Events = append(batch.Events, kv.Event{Pair: pair})
		}
	}
	return batch, nil
}

// HasStoreAnswered reports whether the store has answered recently, to this node or to the one through which it reads, and the copy is complete.
func (m *Mirror) HasStoreAnswered() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.checkFresh() == nil
}

// checkFresh returns kv.ErrUnavailable if the copy must not be served to other nodes; m.mu is held.
func (m *Mirror) checkFresh() error {
	switch silence := time.Since(m.lastAnswer); {
	case m.revision == 0 || m.confirmedAt == 0:
		return kv.Error.Wrap(&kv.ErrUnavailable{Cause: &ErrIncomplete{}})
	case silence >= maxServeSilence:
		return kv.Error.Wrap(&kv.ErrUnavailable{Cause: &ErrSilent{Silence: silence}})
	default:
		return nil
	}
}

func (m *Mirror) currentChanges(after kv.Version) (kv.WatchBatch, <-chan struct{}, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if err := m.checkFresh(); err != nil {
		return kv.WatchBatch{}, nil, err
	}
	if after.Era() > m.era {
		return kv.WatchBatch{}, nil, kv.Error.Wrap(&kv.ErrUnavailable{Cause: &ErrOlderEra{Era: m.era}})
	}
	if after < m.historyFrom {
		return kv.WatchBatch{}, nil, kv.Error.Wrap(&kv.ErrCompacted{Oldest: m.historyFrom})
	}
	batch := kv.WatchBatch{
		Revision: max(m.revision, after), Age: time.Duration(m.opts.Now() - m.confirmedAt), Silence: time.Since(m.lastAnswer),
		SinceOutage: m.sinceOutage(),
	}
	for _, event := range m.history {
		if event.Pair.Version > after {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch, m.updated, nil
}

// ErrSilent means that the store has not answered for maxServeSilence.
type ErrSilent struct{ Silence time.Duration }

// Error implements error.
func (e *ErrSilent) Error() string { return "no answer of the store for " + e.Silence.String() }

// ErrOlderEra means that a copy is of a store that has been restored from an older copy since.
type ErrOlderEra struct{ Era kv.Era }

// Error implements error.
func (e *ErrOlderEra) Error() string { return fmt.Sprintf("copy is of era %d of the store", e.Era) }

// ErrIncomplete means that a mirror has no complete copy of the store.
type ErrIncomplete struct{}

// Error implements error.
func (e *ErrIncomplete) Error() string { return "copy of the store is not complete yet" }
