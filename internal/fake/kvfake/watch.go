package kvfake

import (
	"context"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// watch calls handle for each batch of matching events from a revision on (0 means the next) until ctx ends, DropWatches breaks it,
// its revision is compacted or handle fails.
func (s *Service) watch(ctx context.Context, match func(string) bool, from kv.Version, handle func(kv.WatchBatch) error) error {
	s.mu.Lock()
	epoch := s.watchEpoch
	if from == 0 {
		from = s.data.revision + 1
	}
	s.openWatches++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.openWatches--
	}()
	for {
		batches, next, changed, err := s.readHistory(match, from)
		if err != nil {
			return err
		}
		for _, batch := range batches {
			if err := handle(batch); err != nil {
				return err
			}
		}
		from = next
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-epoch:
			return errLost
		case <-changed:
		}
	}
}

// readHistory returns the batches from a revision on, the revision to continue from and a channel that the next change closes.
func (s *Service) readHistory(match func(string) bool, from kv.Version) ([]kv.WatchBatch, kv.Version, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= s.data.compacted {
		return nil, 0, nil, &kv.ErrCompacted{Oldest: s.data.compacted + 1}
	}
	next := max(from, s.data.revision+1)
	return s.data.since(from, match), next, s.data.changed, nil
}
