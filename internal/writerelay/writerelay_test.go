package writerelay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/writerelay"
)

// fakeStore counts the calls that reach it, and fails them with err.
type fakeStore struct {
	err   error
	calls int
	// refuses says that the conditions of transactions don't hold; txns are those that were made.
	refuses bool
	txns    []kv.Txn
}

func (s *fakeStore) Grant(context.Context, time.Duration) (kv.Lease, error) {
	s.calls++
	return kv.Lease{ID: 7, TTL: time.Second}, s.err
}

func (s *fakeStore) KeepAlive(_ context.Context, id kv.LeaseID) (kv.Lease, error) {
	s.calls++
	return kv.Lease{ID: id, TTL: time.Second}, s.err
}

func (s *fakeStore) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.calls++
	if s.err == nil {
		s.txns = append(s.txns, txn)
	}
	return kv.TxnResult{Succeeded: s.err == nil && !s.refuses}, s.err
}

func (s *fakeStore) Revoke(context.Context, kv.LeaseID) error {
	s.calls++
	return s.err
}

// relayOver returns a Store whose own calls are rejected, and which makes them through nodes with the given stores.
func relayOver(t *testing.T, stores ...*fakeStore) *writerelay.Store {
	network := memnet.New()
	var addresses []string
	for i, store := range stores {
		ip := fmt.Sprintf("10.0.0.%d", i+2)
		addresses = append(addresses, ip+":83")
		mux := http.NewServeMux()
		writerelay.Handle(mux, store)
		listener, err := network.Host(ip).Listen(t.Context(), ip+":83")
		qt.Assert(t, err, qt.IsNil)
		web := &http.Server{Handler: mux}
		go func() { _ = web.Serve(listener) }()
		t.Cleanup(func() { _ = web.Close() })
	}
	transport := tcp.NewTransport(network.Host("10.0.0.1"))
	t.Cleanup(transport.CloseIdleConnections)
	return &writerelay.Store{
		Direct: &fakeStore{err: errRejected}, Client: &http.Client{Transport: transport}, Relays: func() []string { return addresses },
	}
}

var errRejected = kv.Error.Wrap(&kv.ErrUnavailable{})

// TestCallsGoThroughAnotherNodeThatReachesTheStore has the store reject the node and some of those through which it makes its calls.
func TestCallsGoThroughAnotherNodeThatReachesTheStore(t *testing.T) {
	ended := kv.Error.Wrap(&kv.ErrLeaseNotFound{ID: 5})
	for _, test := range []struct {
		name string
		// relays are the answers of the store to the other nodes, in the order in which they are asked.
		relays []error
		// calls is the number of nodes that are asked, want the error of the call; nil means none.
		calls int
		want  func(error) bool
	}{
		{"the first reaches it", []error{nil, nil}, 1, nil},
		{"the second reaches it", []error{errRejected, nil, nil}, 2, nil},
		{"the last reaches it", []error{errRejected, errRejected, errRejected, nil}, 4, nil},
		{"too many don't", []error{errRejected, errRejected, errRejected, errRejected, nil}, 4, kv.IsErrUnavailable},
		{"the lease has ended", []error{errRejected, ended, nil}, 2, kv.IsErrLeaseNotFound},
		{"there is none", nil, 0, kv.IsErrUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var stores []*fakeStore
				for _, err := range test.relays {
					stores = append(stores, &fakeStore{err: err})
				}
				store := relayOver(t, stores...)
				lease, err := store.KeepAlive(t.Context(), 5)
				if test.want == nil {
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, lease.ID, qt.Equals, kv.LeaseID(5))
				} else {
					qt.Check(t, test.want(err), qt.IsTrue, qt.Commentf("%v", err))
				}
				calls := 0
				for _, relay := range stores {
					calls += relay.calls
				}
				qt.Check(t, calls, qt.Equals, test.calls)
			})
		})
	}
}

// TestFailedCallsOfOthersAreNotMultiplied has a node make calls for others while the store is out: it asks the store once in a second.
func TestFailedCallsOfOthersAreNotMultiplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &fakeStore{err: errRejected}
		store := relayOver(t, out)
		for range 50 {
			_, err := store.KeepAlive(t.Context(), 5)
			qt.Check(t, kv.IsErrUnavailable(err), qt.IsTrue)
			time.Sleep(100 * time.Millisecond)
		}
		qt.Check(t, out.calls, qt.Equals, 5)
		out.err = nil
		time.Sleep(time.Second)
		_, err := store.KeepAlive(t.Context(), 5)
		qt.Check(t, err, qt.IsNil)
	})
}

// stateTxn returns a transaction that writes a key and the start of a roll-out unless the roll-out's state was written meanwhile.
func stateTxn(key string) kv.Txn {
	return kv.Txn{
		If: []kv.Compare{{Key: "status/rollout/calls", Version: 4}, {Key: "op/rollout/calls", Version: 3}},
		Then: []kv.Op{
			{Kind: kv.OpPut, Key: key, Value: []byte("{}")}, {Kind: kv.OpPut, Key: "monsoonrail/rollouts/calls", Value: []byte("{}")},
		},
	}
}

// TestRolloutStatesAreRelayed checks that the conditions of a roll-out state are relayed and their result is returned.
func TestRolloutStatesAreRelayed(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			rejected, reached := &fakeStore{err: errRejected}, &fakeStore{refuses: refuses}
			result, err := relayOver(t, rejected, reached).Commit(t.Context(), stateTxn("status/rollout/calls"))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, result.Succeeded, qt.Equals, !refuses)
			qt.Check(t, reached.txns, qt.DeepEquals, []kv.Txn{stateTxn("status/rollout/calls")})
		})
	}
}

// TestOtherTransactionsAreNotRelayed checks that neither side of a relayed call accepts any other transaction.
func TestOtherTransactionsAreNotRelayed(t *testing.T) {
	state := stateTxn("status/rollout/calls")
	for name, txn := range map[string]kv.Txn{
		"an operator's key":      stateTxn("op/config"),
		"report without a lease": {Then: []kv.Op{{Kind: kv.OpPut, Key: "monsoonrail/crashes/1/2"}}},
		"entry among reports":    {Then: []kv.Op{{Kind: kv.OpPut, Key: "monsoonrail/crashes/1/2", Lease: 3}, {Kind: kv.OpPut, Key: "servers/m0", Lease: 3}}},
		"no condition":           {Then: state.Then},
		"nothing written":        {If: state.If},
		"a deletion":             {If: state.If, Then: []kv.Op{{Kind: kv.OpDelete, Key: "status/rollout/calls"}}},
		"with another branch":    {If: state.If, Then: state.Then, Else: state.Then},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reached := &fakeStore{}
				store := relayOver(t, reached)
				_, err := store.Commit(t.Context(), txn)
				qt.Check(t, kv.IsErrUnavailable(err), qt.IsTrue, qt.Commentf("%v", err))
				if len(txn.Else) == 0 {
					body, err := json.Marshal(map[string]any{"Operation": "Commit", "If": txn.If, "Then": txn.Then})
					qt.Assert(t, err, qt.IsNil)
					resp, err := store.Client.Post("http://"+store.Relays()[0]+"/v1/store/entry", "application/json", bytes.NewReader(body))
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, resp.Body.Close(), qt.IsNil)
					qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadRequest)
				}
				qt.Check(t, reached.calls, qt.Equals, 0)
			})
		})
	}
}

// TestReportsAreRelayed relays several reports with one lease.
func TestReportsAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reached := &fakeStore{}
		reports := kv.Txn{Then: []kv.Op{
			{Kind: kv.OpPut, Key: "monsoonrail/crashes/1/2", Value: []byte("{}"), Lease: 3}, {Kind: kv.OpPut, Key: "monsoonrail/reports/4", Value: []byte("{}"), Lease: 3},
		}}
		result, err := relayOver(t, reached).Commit(t.Context(), reports)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, result.Succeeded, qt.IsTrue)
		qt.Check(t, reached.txns, qt.DeepEquals, []kv.Txn{reports})
	})
}
