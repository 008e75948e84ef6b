package storepath_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/storepath"
)

// recoveringRelays is a transport to nodes that turn readers away until a time, and tell them then what has changed.
type recoveringRelays struct {
	until time.Time
	calls atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (r *recoveringRelays) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(time.Millisecond)
	r.calls.Add(1)
	if time.Now().Before(r.until) {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: io.NopCloser(strings.NewReader("")), Request: req}, nil
	}
	body := fmt.Sprintf(`{"Events":[{"Pair":{"Key":"op/config","Value":"e30=","Version":9}}],"Revision":9,"Age":%d}`, time.Millisecond)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)), Request: req}, nil
}

// forgetfulStore drops its history at some time, once for each reader.
type forgetfulStore struct {
	hasDropped   atomic.Bool
	lists, polls atomic.Int64
}

// List implements mirror.Store.
func (s *forgetfulStore) List(context.Context, string) (kv.ListResult, error) {
	s.lists.Add(1)
	s.hasDropped.Store(false)
	return kv.ListResult{Revision: 1}, nil
}

// Poll implements mirror.Store.
func (s *forgetfulStore) Poll(_ context.Context, _ string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	s.polls.Add(1)
	if s.hasDropped.Load() {
		return kv.WatchBatch{}, kv.Error.Wrap(&kv.ErrCompacted{})
	}
	time.Sleep(wait)
	return kv.WatchBatch{Revision: after}, nil
}

// TestDroppedHistoryIsReadThroughRecoveringRelays has all nodes turn a reader away after the store has dropped its history: a reader whose call to the store
// shows that asks the nodes again, and reads all keys itself only if they stay away.
func TestDroppedHistoryIsReadThroughRecoveringRelays(t *testing.T) {
	for _, test := range []struct {
		name   string
		outage time.Duration
		lists  int64
	}{
		{"relays come back", 1500 * time.Millisecond, 0},
		{"relays stay away", time.Minute, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := largeFleet(1, 49)
				store, relays := &forgetfulStore{}, &recoveringRelays{until: time.Now().Add(time.Second + test.outage)}
				var known atomic.Pointer[[]nodelist.Node]
				known.Store(new([]nodelist.Node))
				paths := storepath.New(storepath.Options{
					Self: nodes[48].ID, FailureDomain: nodes[48].FailureDomain, Store: store, Client: &http.Client{Transport: relays},
					Nodes: known.Load, CountRead: func(bool, storepath.ReadOutcome) {},
				})
				m, end := newMirror(paths.Next)
				time.Sleep(time.Second)
				// The node has learnt of the others from its first list.
				known.Store(&nodes)
				store.hasDropped.Store(true)
				store.lists.Store(0)
				store.polls.Store(0)
				time.Sleep(4 * time.Second)
				qt.Check(t, store.polls.Load() > 0, qt.IsTrue)
				qt.Check(t, store.lists.Load(), qt.Equals, test.lists)
				qt.Check(t, m.Get("op/config").Version > 0, qt.Equals, test.lists == 0)
				end()
			})
		})
	}
}

// mutedStore is a store of which one watch hears nothing until its timeout.
type mutedStore struct {
	countingStore
	isMuted atomic.Bool
}

// Poll implements mirror.Store.
func (s *mutedStore) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	if s.isMuted.CompareAndSwap(true, false) {
		time.Sleep(wait + 600*time.Millisecond)
		return kv.WatchBatch{}, kv.Error.Wrap(&kv.ErrUnavailable{})
	}
	return s.countingStore.Poll(ctx, prefix, after, wait)
}

// TestWatcherAsksTheStoreAgain has a watch hear nothing, as on a connection that has fallen silent, while other nodes are far or have no copy either: the node
// that watches the store calls it once more before it asks them.
func TestWatcherAsksTheStoreAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := largeFleet(2, 10)
		watcher := storepath.ByCapacity(string(nodes[0].FailureDomain), nodes[:10])[0]
		store, relays := &mutedStore{}, &recoveringRelays{until: time.Now().Add(time.Hour)}
		paths := storepath.New(storepath.Options{
			Self: watcher.ID, FailureDomain: watcher.FailureDomain, Store: store, Client: &http.Client{Transport: relays},
			Nodes: func() *[]nodelist.Node { return &nodes }, CountRead: func(bool, storepath.ReadOutcome) {},
		})
		m, end := newMirror(paths.Next)
		time.Sleep(5 * time.Second)
		store.isMuted.Store(true)
		time.Sleep(5 * time.Second)
		qt.Check(t, m.HasStoreAnswered(), qt.IsTrue)
		qt.Check(t, relays.calls.Load(), qt.Equals, int64(0))
		end()
	})
}
