package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestForChecksContextFirst checks that For returns immediately for a duration that isn't positive, and reports false if the context ends
// first or has already ended.
func TestForChecksContextFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		began := time.Now()
		qt.Check(t, For(ctx, 0), qt.IsTrue)
		qt.Check(t, For(ctx, -time.Second), qt.IsTrue)
		qt.Check(t, time.Since(began), qt.Equals, time.Duration(0))
		qt.Check(t, For(ctx, 2*time.Second), qt.IsFalse)
		qt.Check(t, time.Since(began), qt.Equals, time.Second)
		qt.Check(t, For(ctx, 0), qt.IsFalse)
		qt.Check(t, Wait(ctx, time.Second), qt.Equals, context.DeadlineExceeded)
	})
}

// TestEverySkipsMissedTicks calls a function every second, one call of which takes 3.5 s: of the missed ticks only one may be made up for.
func TestEverySkipsMissedTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second+time.Millisecond)
		defer cancel()
		began := time.Now()
		var at []time.Duration
		err := Every(ctx, time.Second, func(now time.Time) {
			at = append(at, now.Sub(began))
			if len(at) == 2 {
				time.Sleep(3500 * time.Millisecond)
			}
		})
		qt.Check(t, err, qt.Equals, context.DeadlineExceeded)
		qt.Check(t, at, qt.DeepEquals, []time.Duration{
			time.Second, 2 * time.Second, 5500 * time.Millisecond, 6 * time.Second, 7 * time.Second, 8 * time.Second,
		})
	})
}

func TestTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hasFired := func(timer *Timer) bool {
			synctest.Wait()
			select {
			case <-timer.C:
				return true
			default:
				return false
			}
		}
		timer := NewTimer(time.Second)
		defer timer.Stop()
		qt.Check(t, hasFired(timer), qt.IsFalse)
		time.Sleep(time.Second)
		qt.Check(t, hasFired(timer), qt.IsTrue)
		qt.Check(t, hasFired(timer), qt.IsFalse, qt.Commentf("fires once"))
		timer.Reset(time.Second)
		time.Sleep(2 * time.Second)
		timer.Reset(time.Second)
		qt.Check(t, hasFired(timer), qt.IsFalse, qt.Commentf("an expiry before Reset is discarded"))
		time.Sleep(time.Second)
		qt.Check(t, hasFired(timer), qt.IsTrue)
	})
}
