package mirror_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/boottime"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/mirror"
)

// source is a store whose answers the test decides.
type source struct {
	mu       sync.Mutex
	pairs    map[string]kv.Pair
	events   []kv.Event
	revision kv.Version
	err      error
}

func (s *source) List(context.Context, string) (kv.ListResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := kv.ListResult{Revision: s.revision}
	for _, pair := range s.pairs {
		listed.Pairs = append(listed.Pairs, pair)
	}
	return listed, s.err
}

func (s *source) Poll(ctx context.Context, _ string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	s.mu.Lock()
	err := s.err
	batch := kv.WatchBatch{Revision: s.revision}
	for _, event := range s.events {
		if event.Pair.Version > after {
			batch.Events = append(batch.Events, event)
		}
	}
	s.mu.Unlock()
	if err == nil && len(batch.Events) == 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return batch, err
}

func (s *source) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	pair := kv.Pair{Key: key, Value: fmt.Append(nil, s.revision), Version: s.revision}
	s.pairs[key] = pair
	s.events = append(s.events, kv.Event{Pair: pair})
}

func (s *source) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.pairs, key)
	s.events = append(s.events, kv.Event{Deleted: true, Pair: kv.Pair{Key: key, Version: s.revision}})
}

func (s *source) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// inBubble runs a mirror of a source in virtual time.
func inBubble(t *testing.T, test func(s *source, m *mirror.Mirror, proven func() time.Duration)) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{pairs: make(map[string]kv.Pair), revision: 10}
		began := time.Now()
		now := func() boottime.Time { return boottime.Time(time.Since(began) + time.Hour) }
		var mu sync.Mutex
		provenAt := boottime.Time(0)
		m := mirror.New(mirror.Options{
			Upstream: func() mirror.Store { return s }, ExpiringPrefix: "servers/", Changed: func([]string) {}, Now: now,
			Confirmed: func(at boottime.Time) {
				mu.Lock()
				defer mu.Unlock()
				provenAt = max(provenAt, at)
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = m.Run(ctx)
		}()
		test(s, m, func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(now() - provenAt)
		})
		cancel()
		<-done
	})
}

// TestLapsedKeysWait removes keys around an outage: those that may lapse stay until two seconds after the store's return, others and
// those removed at other times go at once.
func TestLapsedKeysWait(t *testing.T) {
	inBubble(t, func(s *source, m *mirror.Mirror, _ func() time.Duration) {
		for _, key := range []string{"servers/a", "servers/b", "servers/c", "other"} {
			s.put(key)
		}
		time.Sleep(3 * time.Second)
		s.remove("servers/a")
		time.Sleep(2 * time.Second)
		qt.Assert(t, m.Get("servers/a").Version, qt.Equals, kv.Version(0))

		s.fail(kv.Error.Wrap(&kv.ErrUnavailable{}))
		time.Sleep(5 * time.Second)
		s.remove("servers/b")
		s.remove("servers/c")
		s.remove("other")
		s.fail(nil)
		time.Sleep(time.Second)
		qt.Assert(t, m.Get("other").Version, qt.Equals, kv.Version(0))
		qt.Assert(t, m.Get("servers/b").Version > 0, qt.IsTrue)
		s.put("servers/b")
		time.Sleep(3 * time.Second)
		qt.Assert(t, m.Get("servers/b").Version > 0, qt.IsTrue)
		qt.Assert(t, m.Get("servers/c").Version, qt.Equals, kv.Version(0))
	})
}

// TestCopyNeverGoesBack draws changes, outages, compactions and stale lists: a key's version in the copy only grows, and the copy equals
// the store once it has had time.
func TestCopyNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 30).Draw(rt, "steps")
		inBubble(t, func(s *source, m *mirror.Mirror, _ func() time.Duration) {
			seen := make(map[string]kv.Version)
			check := func() {
				for _, pair := range m.List("") {
					if pair.Version < seen[pair.Key] {
						rt.Fatalf("%s went from %d to %d", pair.Key, seen[pair.Key], pair.Version)
					}
					seen[pair.Key] = pair.Version
				}
			}
			for i, step := range steps {
				key := fmt.Sprintf("servers/%d", i%3)
				switch step {
				case 0, 1:
					s.put(key)
				case 2:
					s.remove(key)
				case 3:
					s.fail(kv.Error.Wrap(&kv.ErrUnavailable{}))
				case 4:
					s.fail(kv.Error.Wrap(&kv.ErrCompacted{}))
				case 5:
					s.fail(nil)
				}
				time.Sleep(time.Duration(200*(i%7)) * time.Millisecond)
				check()
			}
			s.fail(nil)
			time.Sleep(10 * time.Second)
			check()
			if got, want := len(m.List("")), len(s.pairs); got != want {
				rt.Fatalf("copy has %d keys, store %d", got, want)
			}
		})
	})
}

// TestProofAgesWithTheStore shows that proofs of freshness come all the time while the store answers, and none while it does not.
func TestProofAgesWithTheStore(t *testing.T) {
	inBubble(t, func(s *source, _ *mirror.Mirror, proofAge func() time.Duration) {
		time.Sleep(time.Second)
		for range 20 {
			time.Sleep(310 * time.Millisecond)
			qt.Assert(t, proofAge() < 3*time.Second, qt.IsTrue)
		}
		s.fail(kv.Error.Wrap(&kv.ErrUnavailable{}))
		time.Sleep(10 * time.Second)
		qt.Assert(t, proofAge() >= 10*time.Second, qt.IsTrue)
	})
}

// TestFollowingAMirror hands a mirror on: a follower gets what changed since, all of it, and is told where that is no longer kept.
func TestFollowingAMirror(t *testing.T) {
	inBubble(t, func(s *source, m *mirror.Mirror, _ func() time.Duration) {
		time.Sleep(time.Second)
		listed, err := m.Listing()
		qt.Assert(t, err, qt.IsNil)
		s.put("a")
		s.put("b")
		time.Sleep(2 * time.Second)
		batch, err := m.Changes(context.Background(), listed.Revision, time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, batch.Events, qt.HasLen, 2)
		begin := time.Now()
		batch, err = m.Changes(context.Background(), batch.Revision, 5*time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, batch.Events, qt.HasLen, 0)
		// A new proof is worth an answer.
		qt.Assert(t, time.Since(begin) < 2*time.Second, qt.IsTrue)
		_, err = m.Changes(context.Background(), 1, time.Second)
		qt.Assert(t, kv.IsErrCompacted(err), qt.IsTrue)
	})
}

// follower hands a mirror on as another node does.
type follower struct{ *mirror.Mirror }

func (f follower) List(context.Context, string) (kv.ListResult, error) { return f.Listing() }

func (f follower) Poll(ctx context.Context, _ string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	return f.Changes(ctx, after, wait)
}

// TestNodesDoNotTakeEachOtherForTheStore lets two nodes that are cut from the store follow each other: neither hands its copy on for
// longer than one alone would.
func TestNodesDoNotTakeEachOtherForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &source{pairs: make(map[string]kv.Pair), revision: 10}
		began := time.Now()
		var isCut atomic.Bool
		nodes := make([]*mirror.Mirror, 2)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for i := range nodes {
			nodes[i] = mirror.New(mirror.Options{
				Upstream: func() mirror.Store {
					if isCut.Load() {
						return follower{nodes[1-i]}
					}
					return store
				},
				Changed: func([]string) {},
				Now:     func() boottime.Time { return boottime.Time(time.Since(began) + time.Hour) },
			})
		}
		for _, node := range nodes {
			running.Go(func() { _ = node.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		isCut.Store(true)
		const longest = 3 * time.Second
		time.Sleep(longest)
		for _, node := range nodes {
			_, err := node.Listing()
			qt.Check(t, kv.IsErrUnavailable(err), qt.IsTrue, qt.Commentf("%v", err))
			_, err = node.Changes(ctx, 10, time.Second)
			qt.Check(t, kv.IsErrUnavailable(err), qt.IsTrue, qt.Commentf("%v", err))
		}
		cancel()
		running.Wait()
	})
}
