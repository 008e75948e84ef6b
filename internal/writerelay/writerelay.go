// Package writerelay writes a node's list entry, roll-out states and reports to the store through another node if the store rejects the node's own calls.
package writerelay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/crashes"
	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/platform"
)

const (
	// path is the path of the call.
	path = "/v1/store/entry"
	// callTimeout bounds a call, during which the other node calls the store.
	callTimeout = 1500 * time.Millisecond
	// relayTimeout bounds the calls to all nodes that are asked in turn, maxRelays their number: the store may reject some of them, too.
	relayTimeout = 2 * callTimeout
	maxRelays    = 4
	// failurePause is how long a node makes no calls for others after one has failed, so that an outage of the store doesn't multiply the calls to it.
	failurePause = time.Second
	// maxBytes bounds the bodies of a call and of its answer, in bytes.
	maxBytes = 64 << 10
)

// Error is the class of every error of the package.
var Error = errs.Class("writerelay")

// operation is what a call asks for.
type operation string

const (
	opGrant     operation = "Grant"
	opKeepAlive operation = "KeepAlive"
	opWrite     operation = "Write"
	opRevoke    operation = "Revoke"
	// opCommit is a transaction on roll-out states or reports.
	opCommit operation = "Commit"
)

// call is the body of a call; which fields are set depends on Operation.
type call struct {
	Operation operation
	TTL       time.Duration `json:",omitempty"`
	Lease     kv.LeaseID    `json:",omitempty"`
	Key       string        `json:",omitempty"`
	Value     []byte        `json:",omitempty"`
	If        []kv.Compare  `json:",omitempty"`
	Then      []kv.Op       `json:",omitempty"`
}

// answer is the body of the answer to a call that the store has answered.
type answer struct {
	Lease kv.LeaseID    `json:",omitempty"`
	TTL   time.Duration `json:",omitempty"`
	// HasEnded is set if the call's lease has ended.
	HasEnded bool `json:",omitempty"`
	// Succeeded is set if the conditions of the call's transaction held.
	Succeeded bool `json:",omitempty"`
}

// Handle registers the handler of the call, which makes other nodes' calls to the store.
func Handle(mux *http.ServeMux, store nodelist.Store) {
	// failedAt is the time of the last failed call, after which none is made for failurePause; nil if none has failed. time.Since measures
	// it with the monotonic clock, which isn't set back.
	var failedAt atomic.Pointer[time.Time]
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
		var c call
		if err := json.NewDecoder(io.LimitReader(req.Body, maxBytes)).Decode(&c); err != nil || !c.isValid() {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if last := failedAt.Load(); last != nil && time.Since(*last) < failurePause {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		a, err := c.run(req.Context(), store)
		hasEnded := kv.IsErrLeaseNotFound(err)
		if err != nil && !hasEnded {
			now := time.Now()
			failedAt.Store(&now)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A node that gets no answer makes the call again.
		a.HasEnded = hasEnded
		_ = json.NewEncoder(w).Encode(a)
	})
}

// isValid reports whether the call is limited to list entries, roll-out states and reports.
func (c *call) isValid() bool {
	switch c.Operation {
	case opGrant:
		return c.TTL > 0
	case opKeepAlive, opRevoke:
		return c.Lease != 0
	case opWrite:
		return c.Lease != 0 && strings.HasPrefix(c.Key, nodelist.Prefix)
	case opCommit:
		return isRelayed(kv.Txn{If: c.If, Then: c.Then})
	default:
		return false
	}
}

// isRelayed reports whether a transaction may be relayed: conditional writes of roll-out states, and writes of reports with a lease. Both are idempotent, so that
// they can be retried after a lost response.
func isRelayed(txn kv.Txn) bool {
	if len(txn.Then) == 0 || len(txn.Else) > 0 {
		return false
	}
	return !slices.ContainsFunc(txn.Then, func(op kv.Op) bool {
		isState := hasPrefix(op.Key, platform.PrefixRolloutStatus, versionrollout.StartKeyPrefix) && len(txn.If) > 0 && op.Lease == 0
		isReport := hasPrefix(op.Key, crashes.KeyPrefix, selfreport.KeyPrefix) && op.Lease != 0
		return op.Kind != kv.OpPut || !isState && !isReport
	})
}

func hasPrefix(key string, prefixes ...string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

func (c *call) run(ctx context.Context, store nodelist.Store) (answer, error) {
	switch c.Operation {
	case opGrant:
		lease, err := store.Grant(ctx, c.TTL)
		return answer{Lease: lease.ID, TTL: lease.TTL}, err
	case opKeepAlive:
		lease, err := store.KeepAlive(ctx, c.Lease)
		return answer{Lease: lease.ID, TTL: lease.TTL}, err
	case opWrite:
		put := kv.Op{Kind: kv.OpPut, Key: c.Key, Value: c.Value, Lease: c.Lease}
		result, err := store.Commit(ctx, kv.Txn{Then: []kv.Op{put}})
		return answer{Succeeded: result.Succeeded}, err
	case opCommit:
		result, err := store.Commit(ctx, kv.Txn{If: c.If, Then: c.Then})
		return answer{Succeeded: result.Succeeded}, err
	default:
		return answer{}, store.Revoke(ctx, c.Lease)
	}
}

// Store is a nodelist.Store that calls another node when a call to the store itself fails.
type Store struct {
	Direct nodelist.Store
	// Relays returns the "IP:port" of nodes that may reach the store, in the order in which they are asked.
	Relays func() []string
	Client *http.Client
}

// Grant implements nodelist.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	lease, err := s.Direct.Grant(ctx, ttl)
	if err != nil {
		a, err := s.relay(ctx, call{Operation: opGrant, TTL: ttl}, err)
		return kv.Lease{ID: a.Lease, TTL: a.TTL}, err
	}
	return lease, nil
}

// KeepAlive implements nodelist.Store.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) (kv.Lease, error) {
	lease, err := s.Direct.KeepAlive(ctx, id)
	if err != nil && !kv.IsErrLeaseNotFound(err) {
		a, err := s.relay(ctx, call{Operation: opKeepAlive, Lease: id}, err)
		return kv.Lease{ID: a.Lease, TTL: a.TTL}, err
	}
	return lease, err
}

// Commit implements nodelist.Store. Only writes of list entries, roll-out states and reports are relayed.
func (s *Store) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	result, err := s.Direct.Commit(ctx, txn)
	isEntry := len(txn.If) == 0 && len(txn.Then) == 1 && txn.Then[0].Kind == kv.OpPut && strings.HasPrefix(txn.Then[0].Key, nodelist.Prefix)
	switch {
	case err == nil || kv.IsErrLeaseNotFound(err):
		return result, err
	case isEntry:
		put := txn.Then[0]
		if _, err = s.relay(ctx, call{Operation: opWrite, Lease: put.Lease, Key: put.Key, Value: put.Value}, err); err != nil {
			return kv.TxnResult{}, err
		}
		return kv.TxnResult{Succeeded: true}, nil
	case isRelayed(txn):
		a, err := s.relay(ctx, call{Operation: opCommit, If: txn.If, Then: txn.Then}, err)
		return kv.TxnResult{Succeeded: a.Succeeded}, err
	default:
		return result, err
	}
}

// Revoke implements nodelist.Store.
func (s *Store) Revoke(ctx context.Context, id kv.LeaseID) error {
	err := s.Direct.Revoke(ctx, id)
	if err != nil {
		_, err = s.relay(ctx, call{Operation: opRevoke, Lease: id}, err)
	}
	return err
}

// relay makes a call through the first of the nodes that makes it; without one it returns the error of the call to the store itself. A call that got no
// answer may have been made: made again, it renews, writes or ends the same lease, leaves one
// that ends by itself, or fails the conditions of its transaction.
func (s *Store) relay(ctx context.Context, c call, direct error) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	relays, failure := s.Relays(), direct
	for _, address := range relays[:min(len(relays), maxRelays)] {
		a, err := s.relayThrough(ctx, address, c)
		if err == nil || kv.IsErrLeaseNotFound(err) {
			return a, err
		}
		if failure = Error.Wrap(errors.Join(direct, err)); ctx.Err() != nil {
			break
		}
	}
	return answer{}, failure
}

func (s *Store) relayThrough(ctx context.Context, address string, c call) (answer, error) {
	var a answer
	got, err := httpjson.Do(ctx, s.Client, httpjson.Request{
		Method: http.MethodPost, URL: "http://" + address + path, Body: c, Timeout: callTimeout, MaxResponseBytes: maxBytes,
	}, &a)
	switch {
	case err == nil && len(got.Body) == 0:
		return answer{}, io.ErrUnexpectedEOF
	case err != nil:
		return answer{}, err
	case a.HasEnded:
		return answer{}, kv.Error.Wrap(&kv.ErrLeaseNotFound{ID: c.Lease})
	}
	return a, nil
}
