package kvfake

import (
	"context"
	"errors"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/standalone/kvwire"
)

// store is a kv.Store that calls a Service without HTTP.
type store struct{ service *Service }

// Store returns a kv.Store that calls the service in process, with the same faults as over HTTP.
func (s *Service) Store() kv.Store { return store{s} }

// run makes a call and returns errLost if ctx ends first; the call goes on and may still take effect after that.
func run[T any](ctx context.Context, s *Service, kind CallKind, apply func() (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	answers := make(chan answer, 1)
	s.inFlight.Add(1)
	go func() {
		defer s.inFlight.Done()
		var a answer
		a.err = s.call(ctx, kind, func() (err error) {
			a.value, err = apply()
			return err
		})
		answers <- a
	}()
	select {
	case a := <-answers:
		return a.value, a.err
	case <-ctx.Done():
		var none T
		return none, errLost
	}
}

// Get implements kv.Store.
func (s store) Get(ctx context.Context, key string) (kv.Pair, error) {
	pair, err := run(ctx, s.service, CallRead, func() (kv.Pair, error) {
		if found, _, _ := s.service.find(key, "", 0); len(found) > 0 {
			return found[0], nil
		}
		return kv.Pair{Key: key}, nil
	})
	return pair, readError(err)
}

// List implements kv.Store.
func (s store) List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error) {
	result, err := run(ctx, s.service, CallRead, func() (result kv.ListResult, err error) {
		from := max(opts.From, opts.Prefix)
		result.Pairs, result.More, result.Revision = s.service.find(from, string(kvwire.PrefixEnd(opts.Prefix)), opts.Limit)
		return result, nil
	})
	return result, readError(err)
}

// Commit implements kv.Store.
func (s store) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	result, err := run(ctx, s.service, CallWrite, func() (kv.TxnResult, error) { return s.service.commit(txn) })
	return result, writeError(err)
}

// Grant implements kv.Store.
func (s store) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	granted, err := run(ctx, s.service, CallLease, func() (kv.Lease, error) { return s.service.grant(ttl), nil })
	return granted, writeError(err)
}

// KeepAlive implements kv.Store.
func (s store) KeepAlive(ctx context.Context, id kv.LeaseID) (kv.Lease, error) {
	kept, err := run(ctx, s.service, CallLease, func() (kv.Lease, error) { return s.service.keepAlive(id) })
	return kept, writeError(err)
}

// Revoke implements kv.Store.
func (s store) Revoke(ctx context.Context, id kv.LeaseID) error {
	_, err := run(ctx, s.service, CallLease, func() (struct{}, error) { return struct{}{}, s.service.revoke(id) })
	return writeError(err)
}

// Watch implements kv.Store.
func (s store) Watch(ctx context.Context, prefix string, from kv.Version, handle func(kv.WatchBatch) error) error {
	_, err := run(ctx, s.service, CallWatch, func() (struct{}, error) { return struct{}{}, nil })
	if err != nil {
		return readError(err)
	}
	if revision := s.service.Revision(); from > revision+1 {
		return kv.Error.Wrap(&kv.ErrRevisionRegressed{Requested: from, Revision: revision})
	}
	err = s.service.watch(ctx, inRange(prefix, string(kvwire.PrefixEnd(prefix))), from, handle)
	if errors.Is(err, errLost) || kv.IsErrCompacted(err) {
		return readError(err)
	}
	return err
}

func (s *Service) find(from, end string, limit int) ([]kv.Pair, bool, kv.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pairs, more := s.data.find(from, end, limit)
	return pairs, more, s.data.revision
}

func (s *Service) commit(txn kv.Txn) (kv.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.commit(txn)
}

// readError converts the error of a call that can't have changed anything to that of a kv.Store.
func readError(err error) error {
	var failed callError
	if errors.As(err, &failed) {
		return kv.Error.Wrap(&kv.ErrUnavailable{Cause: err})
	}
	return kv.Error.Wrap(err)
}

// writeError converts the error of a call that may have changed something to that of a kv.Store.
func writeError(err error) error {
	if errors.Is(err, errLost) {
		return kv.Error.Wrap(&kv.ErrUnknownOutcome{Cause: err})
	}
	return readError(err)
}
