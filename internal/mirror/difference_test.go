package mirror_test

import (
	"context"
	"fmt"
	"sort"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/mirror"
)

// peer is another node's mirror as the store of a reader, as internal/relay serves it. It counts the lists.
type peer struct {
	of    *mirror.Mirror
	lists int
}

func (p *peer) List(context.Context, string) (kv.ListResult, error) {
	p.lists++
	return p.of.Listing()
}

func (p *peer) Poll(ctx context.Context, _ string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	batch, err := p.of.Changes(ctx, after, wait)
	if kv.IsErrCompacted(err) {
		return p.of.Difference(after)
	}
	return batch, err
}

func (p *peer) IsRelay() bool { return true }

// keysOf returns the pairs of a mirror in the order of their keys.
func keysOf(m *mirror.Mirror) []kv.Pair {
	pairs := m.List("")
	sort.Slice(pairs, func(a, b int) bool { return pairs[a].Key < pairs[b].Key })
	return pairs
}

// TestReaderWithAnOlderListNeedsNoSecondList draws changes between the list of a reader, which may be seconds old, and that of the node through which it
// reads on: the reader must get all changes, also deletions, without another list.
func TestReaderWithAnOlderListNeedsNoSecondList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		before := rapid.SliceOfN(rapid.IntRange(-9, 9), 1, 20).Draw(rt, "before")
		between := rapid.SliceOfN(rapid.IntRange(-9, 9), 1, 20).Draw(rt, "between")
		after := rapid.SliceOfN(rapid.IntRange(-9, 9), 0, 20).Draw(rt, "after")
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{pairs: make(map[string]kv.Pair), revision: 10}
			change := func(numbers []int) {
				for _, number := range numbers {
					if number < 0 {
						s.remove(fmt.Sprintf("servers/%d", -number))
					} else {
						s.put(fmt.Sprintf("servers/%d", number))
					}
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			run := func(upstream func() mirror.Store) *mirror.Mirror {
				m := mirror.New(mirror.Options{Upstream: upstream, ExpiringPrefix: "servers/", Changed: func([]string) {}})
				go func() { _ = m.Run(ctx) }()
				return m
			}
			change(before)
			var isMoved atomic.Bool
			p := &peer{}
			reader := run(func() mirror.Store {
				if isMoved.Load() {
					return p
				}
				return s
			})
			synctest.Wait()
			change(between)
			relaying := run(func() mirror.Store { return s })
			synctest.Wait()
			p.of = relaying
			// The reader's poll of the store ends without the changes, which the peer no longer retains.
			s.mu.Lock()
			s.events = nil
			s.mu.Unlock()
			isMoved.Store(true)
			time.Sleep(3 * time.Second)
			qt.Check(t, keysOf(reader), qt.DeepEquals, keysOf(relaying))
			change(after)
			time.Sleep(3 * time.Second)
			qt.Check(t, keysOf(reader), qt.DeepEquals, keysOf(relaying))
			qt.Check(t, p.lists, qt.Equals, 0)
			cancel()
			synctest.Wait()
		})
	})
}
