package standalone

import (
	"context"
	"errors"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/rating"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
	"github.com/monsoonrail/monsoonrail/internal/weightstore"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// recordOutcome records a call's outcome with a dependency. A call that failed after its caller canceled it is ignored, since it does
// not show whether the service works.
func recordOutcome(ctx context.Context, dependency *eventlog.Dependency, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	dependency.Record(err)
}

// loggingStore logs when the key-value service becomes unreachable and reachable again.
type loggingStore struct {
	kv.Store
	dependency *eventlog.Dependency
}

// recordOutcome records a call's outcome with the dependency; a rejection counts as an answer.
func (s *loggingStore) recordOutcome(ctx context.Context, err error) {
	if !kv.IsErrUnavailable(err) && !kv.IsErrUnknownOutcome(err) {
		err = nil
	}
	recordOutcome(ctx, s.dependency, err)
}

// Get implements kv.Store.
func (s *loggingStore) Get(ctx context.Context, key string) (kv.Pair, error) {
	pair, err := s.Store.Get(ctx, key)
	s.recordOutcome(ctx, err)
	return pair, err
}

// List implements kv.Store.
func (s *loggingStore) List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error) {
	result, err := s.Store.List(ctx, opts)
	s.recordOutcome(ctx, err)
	return result, err
}

// Commit implements kv.Store.
func (s *loggingStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	result, err := s.Store.Commit(ctx, txn)
	s.recordOutcome(ctx, err)
	return result, err
}

// Grant implements kv.Store.
func (s *loggingStore) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	s.recordOutcome(ctx, err)
	return lease, err
}

// KeepAlive implements kv.Store.
func (s *loggingStore) KeepAlive(ctx context.Context, id kv.LeaseID) (kv.Lease, error) {
	lease, err := s.Store.KeepAlive(ctx, id)
	s.recordOutcome(ctx, err)
	return lease, err
}

// Revoke implements kv.Store.
func (s *loggingStore) Revoke(ctx context.Context, id kv.LeaseID) error {
	err := s.Store.Revoke(ctx, id)
	s.recordOutcome(ctx, err)
	return err
}

// Watch implements kv.Store. Each batch shows that the service is reachable; a watch without events shows nothing.
func (s *loggingStore) Watch(ctx context.Context, prefix string, from kv.Version, handle func(kv.WatchBatch) error) error {
	err := s.Store.Watch(ctx, prefix, from, func(batch kv.WatchBatch) error {
		s.dependency.Record(nil)
		return handle(batch)
	})
	s.recordOutcome(ctx, err)
	return err
}

// loggingVMList logs when the VM list becomes unreachable and reachable again.
type loggingVMList struct {
	vmlist.Lister
	dependency *eventlog.Dependency
}

// Fetch implements vmlist.Lister.
func (l *loggingVMList) Fetch(ctx context.Context, etag string) (vmlist.Fetched, error) {
	fetched, err := l.Lister.Fetch(ctx, etag)
	recordOutcome(ctx, l.dependency, err)
	return fetched, err
}

// loggingRatings logs when the rating service becomes unreachable and reachable again.
type loggingRatings struct {
	*Ratings
	dependency *eventlog.Dependency
}

// Submit implements ratingfeed.Service.
func (r *loggingRatings) Submit(ctx context.Context, s rating.Submission) error {
	err := r.Ratings.Submit(ctx, s)
	recordOutcome(ctx, r.dependency, err)
	return err
}

// SubmitAndWait implements ratingfeed.Service.
func (r *loggingRatings) SubmitAndWait(ctx context.Context, s rating.Submission, wait time.Duration) (rating.Rating, bool, error) {
	rated, ok, err := r.Ratings.SubmitAndWait(ctx, s, wait)
	recordOutcome(ctx, r.dependency, err)
	return rated, ok, err
}

// Fetch implements rating.Reader.
func (r *loggingRatings) Fetch(ctx context.Context, source api.Incarnation, after int64) (rating.Page, error) {
	page, err := r.Ratings.Fetch(ctx, source, after)
	recordOutcome(ctx, r.dependency, err)
	return page, err
}

// loggingWeightStore logs when the weight store becomes unreachable and reachable again.
type loggingWeightStore struct {
	*WeightStore
	dependency *eventlog.Dependency
}

// recordOutcome records a call's outcome with the dependency; rejections by the store count as answers.
func (w *loggingWeightStore) recordOutcome(ctx context.Context, err error) {
	if weightstore.IsErrRateLimited(err) || weightstore.IsErrVersionNotExist(err) {
		err = nil
	}
	recordOutcome(ctx, w.dependency, err)
}

// FindWeights implements rollout.WeightSource.
func (w *loggingWeightStore) FindWeights(ctx context.Context, version api.VersionID) (weightstore.Weights, error) {
	weights, err := w.WeightStore.FindWeights(ctx, version)
	w.recordOutcome(ctx, err)
	return weights, err
}

// Rate implements rollout.WeightSource.
func (w *loggingWeightStore) Rate(ctx context.Context) (weightstore.Rate, error) {
	rate, err := w.WeightStore.Rate(ctx)
	w.recordOutcome(ctx, err)
	return rate, err
}
