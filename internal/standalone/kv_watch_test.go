package standalone_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
)

// watch collects the values of keys with the prefix "k/" from a revision on, until the watch ends.
func (b *bench) watch(ctx context.Context, from kv.Version) (values *[]string, ended chan error) {
	values, ended = new([]string), make(chan error, 1)
	go func() {
		ended <- b.store.Watch(ctx, "k/", from, func(batch kv.WatchBatch) error {
			for _, event := range batch.Events {
				*values = append(*values, string(event.Pair.Value))
			}
			return nil
		})
	}()
	return values, ended
}

// advance lets virtual time pass, then waits until every goroutine is blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (b *bench) putMany(first, last int) (want []string) {
	for i := first; i <= last; i++ {
		_, err := b.service.Store().Commit(b.ctx, put(fmt.Sprintf("k/%d", i%7), fmt.Sprint(i)))
		b.Assert(err, qt.IsNil)
		want = append(want, fmt.Sprint(i))
	}
	return want
}

// TestWatchSurvivesSilence checks that no event is missed or repeated when the watch's connection goes silent and is replaced.
func TestWatchSurvivesSilence(t *testing.T) {
	inBubble(t, func(b *bench) {
		ctx, cancel := context.WithCancel(b.ctx)
		want := b.putMany(1, 10)
		values, ended := b.watch(ctx, 1)
		advance(time.Second)
		b.network.Silence(nodeIP, firstIP)
		want = append(want, b.putMany(11, 20)...)
		advance(standalone.DefaultMaxWatchAge + standalone.DefaultTimeout)
		b.Assert(*values, qt.DeepEquals, want)
		advance(3 * standalone.DefaultMaxWatchAge)
		want = append(want, b.putMany(21, 30)...)
		advance(time.Second)
		b.Assert(*values, qt.DeepEquals, want)
		b.Assert(b.service.Counts().OpenWatches <= 2, qt.IsTrue)
		cancel()
		b.Assert(<-ended, qt.Equals, context.Canceled)
	})
}

func TestWatchErrors(t *testing.T) {
	inBubble(t, func(b *bench) {
		snapshot := b.service.Snapshot()
		b.putMany(1, 10)
		b.service.Compact(5)
		_, ended := b.watch(b.ctx, 2)
		b.Assert(<-ended, qt.Satisfies, kv.IsErrCompacted)
		_, ended = b.watch(b.ctx, b.service.Revision()+1)
		advance(time.Second)
		b.service.Restore(snapshot)
		b.Assert(<-ended, qt.Satisfies, kv.IsErrUnavailable)
		_, ended = b.watch(b.ctx, 12)
		b.Assert(<-ended, qt.Satisfies, kv.IsErrRevisionRegressed)
	})
}

func TestWatchSkipsBatches(t *testing.T) {
	inBubble(t, func(b *bench) {
		ctx, cancel := context.WithCancel(b.ctx)
		values, ended := b.watch(ctx, 0)
		advance(time.Second)
		b.service.SkipWatchBatches(2)
		b.putMany(1, 3)
		advance(time.Second)
		b.Assert(*values, qt.DeepEquals, []string{"3"})
		cancel()
		<-ended
	})
}
