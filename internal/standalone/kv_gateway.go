package standalone

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/kv"

	"github.com/monsoonrail/monsoonrail/internal/standalone/kvwire"
)

const (
	// DefaultTimeout bounds one call to one endpoint.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxWatchAge is the default of StoreOptions.MaxWatchAge.
	DefaultMaxWatchAge = 5 * time.Second
	// DefaultMaxAnswerBytes bounds an answer and one message of a watch.
	DefaultMaxAnswerBytes = 16 << 20
)

// StoreOptions configures NewStore.
type StoreOptions struct {
	// Endpoints holds the base URLs of the service, the preferred one first; at least one.
	Endpoints []string
	// Client makes the calls. It must have no timeout of its own and must not be shared with other users, since its idle
	// connections are closed when one of them went silent.
	Client *http.Client
	// Timeout bounds one call to one endpoint; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxWatchAge is how long a watch stays on one connection, which bounds the delay by a silent connection; 0 means
	// DefaultMaxWatchAge.
	MaxWatchAge time.Duration
	// MaxAnswerBytes bounds an answer; 0 means DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
}

// gateway is a client of the etcd v3 JSON gateway. It implements kv.Store.
type gateway struct {
	opts StoreOptions
	// current is the index of the endpoint that the next call tries first.
	current atomic.Int32
}

// NewStore returns a client of a key-value service behind an etcd v3 JSON gateway.
//
// A failed call is repeated at the next endpoint only if it certainly had no effect, or if it is a read.
func NewStore(opts StoreOptions) kv.Store {
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.MaxWatchAge == 0 {
		opts.MaxWatchAge = DefaultMaxWatchAge
	}
	if opts.MaxAnswerBytes == 0 {
		opts.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	return &gateway{opts: opts}
}

// Get implements Store.
func (g *gateway) Get(ctx context.Context, key string) (kv.Pair, error) {
	var resp kvwire.RangeResponse
	err := g.read(ctx, kvwire.PathRange, kvwire.RangeRequest{Key: []byte(key)}, &resp)
	if err != nil {
		return kv.Pair{}, err
	}
	if len(resp.KVs) == 0 {
		return kv.Pair{Key: key}, nil
	}
	return readPair(resp.KVs[0]), nil
}

// List implements Store.
func (g *gateway) List(ctx context.Context, opts kv.ListOptions) (kv.ListResult, error) {
	req := kvwire.RangeRequest{
		Key:      []byte(max(opts.From, opts.Prefix)),
		RangeEnd: kvwire.PrefixEnd(opts.Prefix),
		Limit:    kvwire.Int64(opts.Limit),
	}
	var resp kvwire.RangeResponse
	if err := g.read(ctx, kvwire.PathRange, req, &resp); err != nil {
		return kv.ListResult{}, err
	}
	result := kv.ListResult{More: resp.More, Revision: kv.Version(resp.Header.Revision)}
	for _, found := range resp.KVs {
		result.Pairs = append(result.Pairs, readPair(found))
	}
	return result, nil
}

// Commit implements Store.
func (g *gateway) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := checkSize(txn); err != nil {
		return kv.TxnResult{}, err
	}
	var resp kvwire.TxnResponse
	if err := g.write(ctx, kvwire.PathTxn, wireTxn(txn), &resp); err != nil {
		return kv.TxnResult{}, err
	}
	result, err := readTxnResult(txn, resp)
	if err != nil {
		return kv.TxnResult{}, kv.Error.Wrap(&kv.ErrUnknownOutcome{Cause: err})
	}
	return result, nil
}

// Grant implements Store; the TTL is rounded down to whole seconds, at least one.
func (g *gateway) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	seconds := max(1, int64(ttl/time.Second))
	var resp kvwire.LeaseResponse
	if err := g.write(ctx, kvwire.PathGrant, kvwire.GrantRequest{TTL: kvwire.Int64(seconds)}, &resp); err != nil {
		return kv.Lease{}, err
	}
	return readLease(resp), nil
}

// KeepAlive implements Store.
func (g *gateway) KeepAlive(ctx context.Context, id kv.LeaseID) (kv.Lease, error) {
	var resp kvwire.KeepAliveResponse
	if err := g.write(ctx, kvwire.PathKeepAlive, kvwire.LeaseRequest{ID: kvwire.Int64(id)}, &resp); err != nil {
		return kv.Lease{}, withLease(err, id)
	}
	if resp.Result.TTL <= 0 {
		return kv.Lease{}, kv.Error.Wrap(&kv.ErrLeaseNotFound{ID: id})
	}
	return readLease(resp.Result), nil
}

// Revoke implements Store.
func (g *gateway) Revoke(ctx context.Context, id kv.LeaseID) error {
	var resp kvwire.LeaseResponse
	return withLease(g.write(ctx, kvwire.PathRevoke, kvwire.LeaseRequest{ID: kvwire.Int64(id)}, &resp), id)
}

// read makes a call without side effects, at each endpoint in turn until one answers.
func (g *gateway) read(ctx context.Context, path string, req, resp any) error {
	return g.eachEndpoint(ctx, func(base string) (error, bool) {
		err := g.post(ctx, base+path, req, resp)
		if kv.IsErrUnknownOutcome(err) {
			return asReadError(err), true
		}
		return err, kv.IsErrUnavailable(err)
	})
}

// write makes a call with side effects, at each endpoint in turn as long as the call cannot have taken effect.
func (g *gateway) write(ctx context.Context, path string, req, resp any) error {
	return g.eachEndpoint(ctx, func(base string) (error, bool) {
		err := g.post(ctx, base+path, req, resp)
		return err, kv.IsErrUnavailable(err)
	})
}

// eachEndpoint calls f with each endpoint, the current one first, until f returns false for next or ctx ends.
func (g *gateway) eachEndpoint(ctx context.Context, f func(base string) (err error, next bool)) error {
	first := int(g.current.Load())
	var last error
	for i := range g.opts.Endpoints {
		index := (first + i) % len(g.opts.Endpoints)
		err, next := f(g.opts.Endpoints[index])
		if !next {
			if err == nil {
				g.current.Store(int32(index))
			}
			return err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	// The next call begins at another endpoint, since the current one may be slow to fail.
	g.current.CompareAndSwap(int32(first), int32((first+1)%len(g.opts.Endpoints)))
	return last
}
