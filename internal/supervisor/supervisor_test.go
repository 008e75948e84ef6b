package supervisor_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/supervisor"
)

// TestFailingDutyIsRestartedWithBackoff lets a duty fail by returning and by panicking, and then run for stablePeriod and longer. The
// other duty must keep running.
func TestFailingDutyIsRestartedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failures = 10
		var mu sync.Mutex
		var starts []time.Duration
		count := func() int {
			mu.Lock()
			defer mu.Unlock()
			return len(starts)
		}
		healthyRuns := 0
		began := time.Now()
		super := supervisor.New(&log.Logger{Handler: discard.New()})
		super.Add(supervisor.Duty{Name: "failing", Run: func(ctx context.Context) error {
			mu.Lock()
			starts = append(starts, time.Since(began))
			mu.Unlock()
			if count()%2 == 0 {
				panic("broken")
			}
			if count() <= failures {
				return nil
			}
			time.Sleep(time.Minute)
			return nil
		}})
		super.Add(supervisor.Duty{Name: "calm", Run: func(ctx context.Context) error {
			healthyRuns++
			<-ctx.Done()
			return ctx.Err()
		}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- super.Run(ctx) }()

		time.Sleep(12*time.Second + 600*time.Millisecond)
		synctest.Wait()
		qt.Check(t, super.IsHealthy(), qt.IsTrue, qt.Commentf("after %d failures", count()))
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		qt.Check(t, super.IsHealthy(), qt.IsFalse, qt.Commentf("after %d failures", count()))
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		qt.Check(t, super.IsHealthy(), qt.IsTrue, qt.Commentf("after a long run"))
		mu.Lock()
		seen := slices.Clone(starts)
		mu.Unlock()
		want := []time.Duration{0, 100, 300, 700, 1500, 3100, 6300, 12700, 22700, 32700, 42700}
		qt.Assert(t, len(seen) >= len(want), qt.IsTrue)
		for i, at := range want {
			qt.Check(t, seen[i], qt.Equals, at*time.Millisecond, qt.Commentf("start %d", i))
		}
		cancel()
		qt.Check(t, <-done, qt.IsNil)
		qt.Check(t, healthyRuns, qt.Equals, 1)
	})
}
