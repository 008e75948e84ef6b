package storepath_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// pageLatency is how long a list of all keys takes.
const pageLatency = 50 * time.Millisecond

// droppingStore is a history whose polls hear nothing for some time, after which it drops what has changed meanwhile.
type droppingStore struct {
	*history
	mu          sync.Mutex
	silentUntil time.Time
	// oldest is the revision before which the history is dropped.
	oldest kv.Version
	// listed counts the lists since the drop.
	listed int
}

// dropAfter has polls hear nothing for a time, and then drops the history.
func (s *droppingStore) dropAfter(silence time.Duration) {
	s.mu.Lock()
	s.silentUntil = time.Now().Add(silence)
	s.mu.Unlock()
	time.AfterFunc(silence, func() {
		s.history.mu.Lock()
		newest := firstRevision + kv.Version(len(s.events))
		s.history.mu.Unlock()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.oldest, s.listed = newest, 0
	})
}

// List implements mirror.Store.
func (s *droppingStore) List(context.Context, string) (kv.ListResult, error) {
	s.mu.Lock()
	s.listed++
	s.mu.Unlock()
	time.Sleep(pageLatency)
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	pairs, listed := make(map[string]kv.Pair), kv.ListResult{Revision: firstRevision + kv.Version(len(s.events))}
	for _, e := range s.events {
		pairs[e.Pair.Key] = e.Pair
	}
	for _, pair := range pairs {
		listed.Pairs = append(listed.Pairs, pair)
	}
	return listed, nil
}

// ListStale implements mirror.StaleLister.
func (s *droppingStore) ListStale(ctx context.Context, prefix string) (kv.ListResult, error) {
	return s.List(ctx, prefix)
}

// Poll implements mirror.Store.
func (s *droppingStore) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	s.mu.Lock()
	silence, oldest := time.Until(s.silentUntil), s.oldest
	s.mu.Unlock()
	switch {
	case silence > 0:
		time.Sleep(min(silence, wait+600*time.Millisecond))
		return kv.WatchBatch{}, kv.Error.Wrap(&kv.ErrUnavailable{})
	case after < oldest:
		return kv.WatchBatch{}, kv.Error.Wrap(&kv.ErrCompacted{})
	}
	return s.history.Poll(ctx, prefix, after, wait)
}

// TestSilentWatchesSendNoNodesToTheStore guards against a fleet that reads all keys from the store at once: the store's polls hear nothing for two seconds, longer
// than copies are served, while a large configuration is written, and the history is dropped. Nodes that read through others must find it there.
func TestSilentWatchesSendNoNodesToTheStore(t *testing.T) {
	const (
		nodeCount, servers = 60, 300
		linkBytesPerSecond = 20e6 / 8
		silence            = 2 * time.Second
		// applyBound is the time within which a configuration must be in force on all nodes, less a second for its acknowledgement.
		applyBound = 3 * time.Second
		// direct is the number of nodes of a failure domain that read the store themselves.
		direct = 3
	)
	synctest.Test(t, func(t *testing.T) {
		network, store := memnet.New(), &droppingStore{history: &history{changed: make(chan struct{})}}
		f := newSizedFleet()
		for i := range servers {
			store.change(sizedServer(i, 0))
		}
		f.start(t, network, store, nodeCount, linkBytesPerSecond)
		time.Sleep(10 * time.Second)
		var text strings.Builder
		for i := range 1400 {
			fmt.Fprintf(&text, `{"name":"r-%x","host":"h%x.example","prefix":"/p%x/","routeType":"safe","timeoutMs":2000,"service":"models"},`, i*7919, i*104729, i*1299709)
		}
		began := time.Now()
		store.dropAfter(silence)
		time.Sleep(silence / 4)
		store.change(kv.Event{Pair: kv.Pair{Key: "op/config", Value: []byte(text.String())}})
		for time.Since(began) < silence+applyBound {
			time.Sleep(200 * time.Millisecond)
			store.change(sizedServer(int(time.Since(began)/(200*time.Millisecond)), 2))
		}
		late := 0
		for _, m := range f.mirrors {
			if m.Get("op/config").Version == 0 {
				late++
			}
		}
		qt.Check(t, late, qt.Equals, 0)
		qt.Check(t, store.listed <= direct, qt.IsTrue, qt.Commentf("%d lists", store.listed))
		t.Logf("%d lists, copies up to %s old", store.listed, f.oldest())
		f.close()
	})
}
