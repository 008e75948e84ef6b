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

// note tells a dependency of a call's outcome. A call that its maker gave up says nothing of the service.
func note(ctx context.Context, dependency *eventlog.Dependency, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	dependency.Note(err)
}

// watchedStore logs when the key-value service is lost and back.
type watchedStore struct {
	kv.Store
	dependency *eventlog.Dependency
}

// note tells the dependency of a call's outcome; a refusal is an answer.
func (s *watchedStore) note(ctx context.Context, err error) {
	if !kv.IsErrUnavailable(err) && !kv.IsErrUnknownOutcome(err) {
		err = nil
	}
	note(ctx, s.dependency, err)
}

// Get implements kv.Store.
func (s *watchedStore) Get(ctx context.Context, key string) (kv.Pair, error) {
	pair, err := s.Store.Get(ctx, key)
	s.note(ctx, err)
	return pair, err
}

// List implements kv.Store.
func (s *watchedStore) List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error) {
	result, err := s.Store.List(ctx, opts)
	s.note(ctx, err)
	return result, err
}

// Commit implements kv.Store.
func (s *watchedStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	result, err := s.Store.Commit(ctx, txn)
	s.note(ctx, err)
	return result, err
}

// Grant implements kv.Store.
func (s *watchedStore) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	s.note(ctx, err)
	return lease, err
}

// KeepAlive implements kv.Store.
func (s *watchedStore) KeepAlive(ctx context.Context, id kv.LeaseID) (kv.Lease, error) {
	lease, err := s.Store.KeepAlive(ctx, id)
	s.note(ctx, err)
	return lease, err
}

// Revoke implements kv.Store.
func (s *watchedStore) Revoke(ctx context.Context, id kv.LeaseID) error {
	err := s.Store.Revoke(ctx, id)
	s.note(ctx, err)
	return err
}

// Watch implements kv.Store. Each batch shows that the service is there; a quiet watch says nothing.
func (s *watchedStore) Watch(ctx context.Context, prefix string, from kv.Version, handle func(kv.WatchBatch) error) error {
	err := s.Store.Watch(ctx, prefix, from, func(batch kv.WatchBatch) error {
		s.dependency.Note(nil)
		return handle(batch)
	})
	s.note(ctx, err)
	return err
}

// watchedVMList logs when the VM list is lost and back.
type watchedVMList struct {
	vmlist.Lister
	dependency *eventlog.Dependency
}

// Fetch implements vmlist.Lister.
func (l *watchedVMList) Fetch(ctx context.Context, etag string) (vmlist.Fetched, error) {
	fetched, err := l.Lister.Fetch(ctx, etag)
	note(ctx, l.dependency, err)
	return fetched, err
}

// watchedRatings logs when the rating service is lost and back.
type watchedRatings struct {
	*Ratings
	dependency *eventlog.Dependency
}

// Submit implements ratingfeed.Service.
func (r *watchedRatings) Submit(ctx context.Context, s rating.Submission) error {
	err := r.Ratings.Submit(ctx, s)
	note(ctx, r.dependency, err)
	return err
}

// SubmitAndWait implements ratingfeed.Service.
func (r *watchedRatings) SubmitAndWait(ctx context.Context, s rating.Submission, wait time.Duration) (rating.Rating, bool, error) {
	rated, ok, err := r.Ratings.SubmitAndWait(ctx, s, wait)
	note(ctx, r.dependency, err)
	return rated, ok, err
}

// Fetch implements rating.Reader.
func (r *watchedRatings) Fetch(ctx context.Context, source api.Incarnation, after int64) (rating.Page, error) {
	page, err := r.Ratings.Fetch(ctx, source, after)
	note(ctx, r.dependency, err)
	return page, err
}

// watchedWeights logs when the weight store is lost and back.
type watchedWeights struct {
	*WeightStore
	dependency *eventlog.Dependency
}

// note tells the dependency of a call's outcome; a refusal is an answer.
func (w *watchedWeights) note(ctx context.Context, err error) {
	if weightstore.IsErrOverRate(err) || weightstore.IsErrVersionNotExist(err) {
		err = nil
	}
	note(ctx, w.dependency, err)
}

// FindWeights implements rollout.WeightSource.
func (w *watchedWeights) FindWeights(ctx context.Context, version api.VersionID) (weightstore.Weights, error) {
	weights, err := w.WeightStore.FindWeights(ctx, version)
	w.note(ctx, err)
	return weights, err
}

// Rate implements rollout.WeightSource.
func (w *watchedWeights) Rate(ctx context.Context) (weightstore.Rate, error) {
	rate, err := w.WeightStore.Rate(ctx)
	w.note(ctx, err)
	return rate, err
}
