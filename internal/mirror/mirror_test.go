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

// fakeStore is a store whose contents and errors are set by the test.
type fakeStore struct {
	mu       sync.Mutex
	pairs    map[string]kv.Pair
	events   []kv.Event
	revision kv.Version
	err      error
}

func (s *fakeStore) List(context.Context, string) (kv.ListResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := kv.ListResult{Revision: s.revision}
	for _, pair := range s.pairs {
		listed.Pairs = append(listed.Pairs, pair)
	}
	return listed, s.err
}

func (s *fakeStore) Poll(ctx context.Context, _ string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
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

func (s *fakeStore) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	pair := kv.Pair{Key: key, Value: fmt.Append(nil, s.revision), Version: s.revision}
	s.pairs[key] = pair
	s.events = append(s.events, kv.Event{Pair: pair})
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.pairs, key)
	s.events = append(s.events, kv.Event{Deleted: true, Pair: kv.Pair{Key: key, Version: s.revision}})
}

func (s *fakeStore) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// inBubble runs a mirror of a fake store in virtual time. The test gets the time since the last confirmation of the copy.
func inBubble(t *testing.T, test func(s *fakeStore, m *mirror.Mirror, confirmationAge func() time.Duration)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{pairs: make(map[string]kv.Pair), revision: 10}
		began := time.Now()
		now := func() boottime.Time { return boottime.Time(time.Since(began) + time.Hour) }
		var mu sync.Mutex
		confirmedAt := boottime.Time(0)
		m := mirror.New(mirror.Options{
			Upstream: func() mirror.Store { return s }, ExpiringPrefix: "servers/", Changed: func([]string) {}, Now: now,
			Confirmed: func(at boottime.Time) {
				mu.Lock()
				defer mu.Unlock()
				confirmedAt = max(confirmedAt, at)
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
			return time.Duration(now() - confirmedAt)
		})
		cancel()
		<-done
	})
}

// TestExpiredKeysAreKeptAfterOutage removes keys before and after an outage: expiring keys that are missing after it stay for two seconds,
// while other keys, and keys removed at other times, are removed at once.
func TestExpiredKeysAreKeptAfterOutage(t *testing.T) {
	inBubble(t, func(s *fakeStore, m *mirror.Mirror, _ func() time.Duration) {
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

// TestVersionsNeverDecrease draws changes, outages and compactions, and checks that a key's version in the copy never decreases, and that
// the copy has as many keys as the store ten seconds after the end.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 30).Draw(rt, "steps")
		inBubble(t, func(s *fakeStore, m *mirror.Mirror, _ func() time.Duration) {
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

// TestConfirmationAgeGrowsDuringOutage checks that the copy is confirmed continuously while the store answers, and never while it does
// not.
func TestConfirmationAgeGrowsDuringOutage(t *testing.T) {
	inBubble(t, func(s *fakeStore, _ *mirror.Mirror, confirmationAge func() time.Duration) {
		time.Sleep(time.Second)
		for range 20 {
			time.Sleep(310 * time.Millisecond)
			qt.Assert(t, confirmationAge() < 3*time.Second, qt.IsTrue)
		}
		s.fail(kv.Error.Wrap(&kv.ErrUnavailable{}))
		time.Sleep(10 * time.Second)
		qt.Assert(t, confirmationAge() >= 10*time.Second, qt.IsTrue)
	})
}

// laggingStore answers polls as soon as there are changes. Like the platform's store, its answers may lack the changes of the last second.
type laggingStore struct{ *fakeStore }

const watchLag = time.Second

func (s laggingStore) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	for waited := time.Duration(0); ; waited += 10 * time.Millisecond {
		batch, err := s.fakeStore.Poll(ctx, prefix, after, 0)
		if batch.Age = watchLag; len(batch.Events) > 0 || err != nil {
			return batch, err
		}
		if waited >= wait {
			batch.Age -= wait
			return batch, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestChangesLeaveNoOldConfirmation guards against an outage that finds the copy confirmed long ago, since the last poll returned a change at its end.
func TestChangesLeaveNoOldConfirmation(t *testing.T) {
	for after := 10 * time.Millisecond; after <= 1200*time.Millisecond; after += 70 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store := laggingStore{&fakeStore{pairs: make(map[string]kv.Pair), revision: 10}}
			began := time.Now()
			now := func() boottime.Time { return boottime.Time(time.Since(began) + time.Hour) }
			var confirmedAt atomic.Int64
			polls := countedPolls{Store: store}
			m := mirror.New(mirror.Options{
				Upstream: func() mirror.Store { return &polls }, Changed: func([]string) {}, Now: now,
				Confirmed: func(at boottime.Time) { confirmedAt.Store(max(confirmedAt.Load(), int64(at))) },
			})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = m.Run(ctx)
			}()
			oldest := time.Duration(0)
			for i := range 20 {
				// A change, and then silence for a time or until the next one.
				for until := time.Now().Add(after + time.Duration(i%3)*1300*time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
					if time.Since(began) > 3*time.Second {
						oldest = max(oldest, time.Duration(int64(now())-confirmedAt.Load()))
					}
				}
				store.put("a")
			}
			took := time.Since(began)
			cancel()
			<-done
			qt.Check(t, oldest <= 2500*time.Millisecond, qt.IsTrue, qt.Commentf("change after %s: confirmed %s ago", after, oldest))
			// One more poll for each change at most.
			most := int64(took/(1200*time.Millisecond)) + 2*20 + 2
			qt.Check(t, polls.count.Load() <= most, qt.IsTrue, qt.Commentf("change after %s: %d polls of %d", after, polls.count.Load(), most))
		})
	}
}

// countedPolls counts the polls of a store.
type countedPolls struct {
	mirror.Store
	count atomic.Int64
}

func (c *countedPolls) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	c.count.Add(1)
	return c.Store.Poll(ctx, prefix, after, wait)
}

// TestFollowingAMirror checks that a mirror serves all changes after a revision to another node, and returns kv.ErrCompacted if they are
// no longer retained.
func TestFollowingAMirror(t *testing.T) {
	inBubble(t, func(s *fakeStore, m *mirror.Mirror, _ func() time.Duration) {
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
		// Without changes, the call returns at the next confirmation, before its wait is over.
		qt.Assert(t, time.Since(begin) < 2*time.Second, qt.IsTrue)
		_, err = m.Changes(context.Background(), 1, time.Second)
		qt.Assert(t, kv.IsErrCompacted(err), qt.IsTrue)
	})
}

// TestSupersededChangesAreNotServed changes one key many times: a node that is behind gets its newest value only, with the other changes.
func TestSupersededChangesAreNotServed(t *testing.T) {
	inBubble(t, func(s *fakeStore, m *mirror.Mirror, _ func() time.Duration) {
		time.Sleep(time.Second)
		listed, err := m.Listing()
		qt.Assert(t, err, qt.IsNil)
		s.put("b")
		for range 30 {
			s.put("a")
			time.Sleep(300 * time.Millisecond)
		}
		s.remove("b")
		time.Sleep(2 * time.Second)
		batch, err := m.Changes(context.Background(), listed.Revision, time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, batch.Events, qt.HasLen, 2)
		qt.Assert(t, batch.Events[0].Pair, qt.DeepEquals, s.pairs["a"])
		qt.Assert(t, batch.Events[1].Deleted, qt.IsTrue)
	})
}

// restore takes the store back to a copy without keys, in the next era.
func (s *fakeStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pairs, s.events, s.revision = make(map[string]kv.Pair), nil, kv.NewVersion(s.revision.Era()+1, 5)
}

// TestChangesAfterRestoreAreServedAtOnce restores the store from an older copy: nodes that follow a mirror get the writes made in the two
// seconds after, in which the copy isn't confirmed, without waiting.
func TestChangesAfterRestoreAreServedAtOnce(t *testing.T) {
	inBubble(t, func(s *fakeStore, m *mirror.Mirror, confirmationAge func() time.Duration) {
		s.put("a")
		time.Sleep(3 * time.Second)
		s.fail(kv.Error.Wrap(&kv.ErrCompacted{}))
		s.restore()
		time.Sleep(time.Second)
		s.fail(nil)
		time.Sleep(500 * time.Millisecond)
		listed, err := m.Listing()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, listed.Pairs, qt.HasLen, 0)
		qt.Assert(t, listed.Revision.Era(), qt.Equals, kv.Era(1))
		batches := make(chan kv.WatchBatch, 1)
		go func() {
			batch, _ := m.Changes(context.Background(), listed.Revision, 5*time.Second)
			batches <- batch
		}()
		s.put("b")
		for m.Get("b").Version == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		select {
		case batch := <-batches:
			qt.Check(t, batch.Events, qt.HasLen, 1)
		default:
			t.Error("change not served")
		}
		qt.Check(t, confirmationAge() > 1500*time.Millisecond, qt.IsTrue)
		time.Sleep(4 * time.Second)
		qt.Check(t, confirmationAge() < 3*time.Second, qt.IsTrue)
	})
}

// follower serves a mirror as a Store, like a node that is an upstream.
type follower struct{ *mirror.Mirror }

func (f follower) List(context.Context, string) (kv.ListResult, error) { return f.Listing() }

func (f follower) Poll(ctx context.Context, _ string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	return f.Changes(ctx, after, wait)
}

// TestNodesCutOffStopServingEachOther lets two nodes that are cut off from the store use each other as upstream, and checks that neither
// takes the other's answers for answers of the store: both stop serving as soon as a single node would.
func TestNodesCutOffStopServingEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{pairs: make(map[string]kv.Pair), revision: 10}
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

// probingFollower is an upstream node whose answers take longer than the requests. Its first poll doesn't wait, as when a path is tried.
type probingFollower struct {
	follower
	polls *atomic.Int64
}

func (p probingFollower) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	if p.polls.Add(1) == 1 {
		wait = 0
	}
	time.Sleep(time.Millisecond)
	defer time.Sleep(2 * time.Millisecond)
	return p.follower.Poll(ctx, prefix, after, wait)
}

// TestNodesCutOffDoNotWakeEachOther lets two nodes that are cut off from the store use each other as upstream: an answer that confirms nothing new
// must not end the other node's wait, or each answer would call for the next one.
func TestNodesCutOffDoNotWakeEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{pairs: make(map[string]kv.Pair), revision: 10}
		var isCut atomic.Bool
		var polls atomic.Int64
		nodes := make([]*mirror.Mirror, 2)
		for i := range nodes {
			var end func()
			nodes[i], end = runMirror(func() mirror.Store {
				if isCut.Load() {
					return probingFollower{follower{nodes[1-i]}, &polls}
				}
				return store
			})
			defer end()
			// The nodes poll the store at different times.
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		isCut.Store(true)
		const outage, callsPerSecond = 4, 10
		time.Sleep(outage * time.Second)
		qt.Check(t, polls.Load() <= outage*callsPerSecond*int64(len(nodes)), qt.IsTrue, qt.Commentf("%d polls", polls.Load()))
	})
}

// IsRelay implements mirror.Relay.
func (f follower) IsRelay() bool { return true }

// slowRelay is a node that relays the store; it heard of the store's last answer silence ago.
type slowRelay struct {
	*fakeStore
	silence time.Duration
}

func (r slowRelay) IsRelay() bool { return true }

func (r slowRelay) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	batch, err := r.fakeStore.Poll(ctx, prefix, after, wait)
	batch.Silence = r.silence
	return batch, err
}

// latePoll is a store at which something is removed right before a poll would end without changes.
type latePoll struct{ *fakeStore }

func (l latePoll) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	time.Sleep(wait * 9 / 10)
	l.remove("servers/a")
	return l.fakeStore.Poll(ctx, prefix, after, wait)
}

// runMirror runs a mirror in a synctest bubble until the returned function is called.
func runMirror(upstream func() mirror.Store) (m *mirror.Mirror, end func()) {
	began := time.Now()
	m = mirror.New(mirror.Options{
		Upstream: upstream, ExpiringPrefix: "servers/", Changed: func([]string) {},
		Now: func() boottime.Time { return boottime.Time(time.Since(began) + time.Hour) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	return m, func() {
		cancel()
		<-done
	}
}

// TestChangeOfPathIsNoOutage lets a node read the store itself after it had read it through another node, whose last news of the store was older
// than a poll takes. The store was there all the time, so that a server's entry is removed at once, not kept as one that expired in an outage.
func TestChangeOfPathIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{pairs: make(map[string]kv.Pair), revision: 10}
		store.put("servers/a")
		var polls atomic.Int64
		m, end := runMirror(func() mirror.Store {
			switch polls.Add(1) {
			case 1:
				// An earlier failure doesn't count, as the store has answered since.
				return &fakeStore{err: kv.Error.Wrap(&kv.ErrUnavailable{})}
			case 2, 3, 4, 5:
				return slowRelay{fakeStore: store, silence: 1400 * time.Millisecond}
			case 6:
				return latePoll{store}
			default:
				return store
			}
		})
		for polls.Load() < 7 {
			time.Sleep(10 * time.Millisecond)
		}
		qt.Check(t, m.Get("servers/a").Version, qt.Equals, kv.Version(0))
		end()
	})
}

// TestFollowersKnowOfAnOutage lets the store fail for a node through which another one reads it: both keep keys that are missing after the outage
// for two seconds.
func TestFollowersKnowOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{pairs: make(map[string]kv.Pair), revision: 10}
		store.put("servers/a")
		watcher, endWatcher := runMirror(func() mirror.Store { return store })
		reader, endReader := runMirror(func() mirror.Store { return follower{watcher} })
		time.Sleep(5 * time.Second)
		store.fail(kv.Error.Wrap(&kv.ErrUnavailable{}))
		time.Sleep(5 * time.Second)
		store.remove("servers/a")
		store.fail(nil)
		time.Sleep(1500 * time.Millisecond)
		for _, m := range []*mirror.Mirror{watcher, reader} {
			qt.Check(t, m.Get("servers/a").Version > 0, qt.IsTrue)
		}
		time.Sleep(3 * time.Second)
		for _, m := range []*mirror.Mirror{watcher, reader} {
			qt.Check(t, m.Get("servers/a").Version, qt.Equals, kv.Version(0))
		}
		endReader()
		endWatcher()
	})
}

// staleStore offers a list as it was at a time, and counts the lists of both kinds.
type staleStore struct {
	fakeStore
	stale       kv.ListResult
	staleLists  int
	directLists int
}

func (s *staleStore) List(ctx context.Context, prefix string) (kv.ListResult, error) {
	s.directLists++
	return s.fakeStore.List(ctx, prefix)
}

func (s *staleStore) ListStale(context.Context, string) (kv.ListResult, error) {
	s.staleLists++
	return s.stale, nil
}

// TestFirstListMayBeStale starts a mirror with an old list: it must have the later changes at once, confirm nothing by the list itself, and read a
// current list when the store has dropped its history.
func TestFirstListMayBeStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &staleStore{fakeStore: fakeStore{pairs: make(map[string]kv.Pair), revision: 10}}
		s.put("a")
		s.put("b")
		s.stale, _ = s.fakeStore.List(t.Context(), "")
		s.put("a")
		s.remove("b")
		began := time.Now()
		var confirmations atomic.Int64
		m := mirror.New(mirror.Options{
			Upstream: func() mirror.Store { return s }, Changed: func([]string) {},
			Now:       func() boottime.Time { return boottime.Time(time.Since(began) + time.Hour) },
			Confirmed: func(boottime.Time) { confirmations.Add(1) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = m.Run(ctx)
		}()
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, m.Get("a").Version, qt.Equals, kv.Version(13))
		qt.Check(t, m.Get("b").Version, qt.Equals, kv.Version(0))
		qt.Check(t, confirmations.Load(), qt.Equals, int64(1))
		s.fail(kv.Error.Wrap(&kv.ErrCompacted{}))
		time.Sleep(2 * time.Second)
		s.fail(nil)
		time.Sleep(2 * time.Second)
		cancel()
		<-done
		qt.Check(t, s.staleLists, qt.Equals, 1)
		qt.Check(t, s.directLists > 0, qt.IsTrue)
	})
}

// forgetfulStore is a store that takes a while to list its keys and drops its history when it is told to.
type forgetfulStore struct {
	*fakeStore
	hasDropped atomic.Bool
}

func (s *forgetfulStore) List(ctx context.Context, prefix string) (kv.ListResult, error) {
	listed, err := s.fakeStore.List(ctx, prefix)
	time.Sleep(100 * time.Millisecond)
	s.hasDropped.Store(false)
	return listed, err
}

func (s *forgetfulStore) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	if s.hasDropped.Load() {
		return kv.WatchBatch{}, kv.Error.Wrap(&kv.ErrCompacted{})
	}
	return s.fakeStore.Poll(ctx, prefix, after, wait)
}

// countingFollower counts the lists and failed polls of a node that reads another one's copy.
type countingFollower struct {
	follower
	lists, failures *atomic.Int64
}

func (c countingFollower) List(ctx context.Context, prefix string) (kv.ListResult, error) {
	listed, err := c.follower.List(ctx, prefix)
	if err == nil {
		c.lists.Add(1)
	}
	return listed, err
}

func (c countingFollower) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	batch, err := c.follower.Poll(ctx, prefix, after, wait)
	if err != nil {
		c.failures.Add(1)
	}
	return batch, err
}

// TestDroppedHistoryIsReadAgainByWatchersOnly has the store drop its history several times while keys change: the node that reads the store lists all
// keys again, serves its copy meanwhile, and hands only the changes to the node that reads through it.
func TestDroppedHistoryIsReadAgainByWatchersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &forgetfulStore{fakeStore: &fakeStore{pairs: make(map[string]kv.Pair), revision: 10}}
		store.put("kept")
		watcher, endWatcher := runMirror(func() mirror.Store { return store })
		defer endWatcher()
		time.Sleep(time.Second)
		var lists, failures atomic.Int64
		reader, endReader := runMirror(func() mirror.Store { return countingFollower{follower{watcher}, &lists, &failures} })
		defer endReader()
		time.Sleep(time.Second)
		const drops = 3
		for i := range drops {
			store.put(fmt.Sprint("new", i))
			store.remove(fmt.Sprint("new", i-1))
			store.hasDropped.Store(true)
			time.Sleep(2 * time.Second)
			for _, m := range []*mirror.Mirror{watcher, reader} {
				qt.Check(t, m.Get(fmt.Sprint("new", i)).Version > 0, qt.IsTrue, qt.Commentf("after drop %d", i))
				qt.Check(t, m.Get(fmt.Sprint("new", i-1)).Version, qt.Equals, kv.Version(0), qt.Commentf("after drop %d", i))
				qt.Check(t, m.Get("kept").Version, qt.Equals, kv.Version(11))
			}
		}
		qt.Check(t, lists.Load(), qt.Equals, int64(1))
		qt.Check(t, failures.Load(), qt.Equals, int64(0))
	})
}
