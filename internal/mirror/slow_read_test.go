package mirror_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/mirror"
	"github.com/monsoonrail/monsoonrail/internal/transfer"
)

// slowReads is a store whose changes arrive over a poor link.
type slowReads struct {
	*fakeStore
	// duration is how long the changes are on the way; they arrive in steps, which the reader sees as progress.
	duration, step time.Duration
}

// Poll implements mirror.Store.
func (s *slowReads) Poll(ctx context.Context, prefix string, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	batch, err := s.fakeStore.Poll(ctx, prefix, after, wait)
	if err != nil || len(batch.Events) == 0 {
		return batch, err
	}
	_, err = io.Copy(io.Discard, transfer.Reporting(ctx, &slowAnswer{steps: int(s.duration / s.step), step: s.step}))
	return batch, err
}

// slowAnswer is an answer of which a byte arrives in each step.
type slowAnswer struct {
	steps int
	step  time.Duration
}

// Read implements io.Reader.
func (a *slowAnswer) Read(p []byte) (int, error) {
	if a.steps == 0 {
		return 0, io.EOF
	}
	time.Sleep(a.step)
	a.steps--
	p[0] = 'x'
	return 1, nil
}

// TestCopyIsServedWhileALargeChangeArrives guards against watchers that turn all of their readers away while a large value arrives over a poor link: the store
// answers, although the answer is not complete. A read that stands still shows no store.
func TestCopyIsServedWhileALargeChangeArrives(t *testing.T) {
	const duration = 4 * time.Second
	for _, test := range []struct {
		name     string
		step     time.Duration
		isServed bool
	}{
		{"progress", 100 * time.Millisecond, true},
		{"no progress", duration, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := &slowReads{fakeStore: &fakeStore{pairs: make(map[string]kv.Pair), revision: 1}, duration: duration, step: test.step}
				m := mirror.New(mirror.Options{Upstream: func() mirror.Store { return store }, Changed: func([]string) {}})
				ctx, stop := context.WithCancel(context.Background())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_ = m.Run(ctx)
				}()
				time.Sleep(3 * time.Second)
				store.put("config")
				before, refused := time.Now(), 0
				for time.Since(before) < duration-100*time.Millisecond {
					if _, err := m.Changes(ctx, 1, 100*time.Millisecond); err != nil {
						refused++
						time.Sleep(100 * time.Millisecond)
					}
				}
				c.Check(refused == 0, qt.Equals, test.isServed, qt.Commentf("%d refused", refused))
				time.Sleep(2 * time.Second)
				c.Check(m.Get("config").Version, qt.Equals, kv.Version(2))
				c.Check(m.HasRecentOutage(), qt.Equals, !test.isServed)
				stop()
				<-ended
			})
		})
	}
}
