package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestForNeitherWaitsNorPassesAnEndedContext(t *testing.T) {
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

// TestEveryDropsWhatItMissed calls a function every second that once takes three and a half.
func TestEveryDropsWhatItMissed(t *testing.T) {
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

func TestAlarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isOn := func(a *Timer) bool {
			synctest.Wait()
			select {
			case <-a.C:
				return true
			default:
				return false
			}
		}
		a := NewTimer(time.Second)
		defer a.Stop()
		qt.Check(t, isOn(a), qt.IsFalse)
		time.Sleep(time.Second)
		qt.Check(t, isOn(a), qt.IsTrue)
		qt.Check(t, isOn(a), qt.IsFalse, qt.Commentf("it goes off once"))
		a.Reset(time.Second)
		time.Sleep(2 * time.Second)
		a.Reset(time.Second)
		qt.Check(t, isOn(a), qt.IsFalse, qt.Commentf("what was due before is dropped"))
		time.Sleep(time.Second)
		qt.Check(t, isOn(a), qt.IsTrue)
	})
}
