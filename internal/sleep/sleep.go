// Package sleep waits for a duration, or calls a function at an interval, until a context ends.
//
// It never selects on a timer that has already expired: in a synctest bubble, two goroutines that do so at the same time crash the race
// detector (go1.26: both run the timer on the bubble's single detector context).
package sleep

import (
	"context"
	"time"
)

// For waits for a duration and reports whether it elapsed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Wait waits for a duration; it returns ctx's error if ctx ended first.
func Wait(ctx context.Context, d time.Duration) error {
	if For(ctx, d) {
		return nil
	}
	return ctx.Err()
}

// Every calls do at each interval, the first time after one interval, until ctx ends, and returns ctx's error. Of the ticks that elapse
// while do runs, all but the last one are dropped.
func Every(ctx context.Context, interval time.Duration, do func(now time.Time)) error {
	next := time.Now().Add(interval)
	for {
		if err := Wait(ctx, time.Until(next)); err != nil {
			return err
		}
		do(time.Now())
		next = nextTick(next, time.Now(), interval)
	}
}

// nextTick returns the tick that follows used, or the last one that has already elapsed if there are several.
func nextTick(used, now time.Time, interval time.Duration) time.Time {
	next := used.Add(interval)
	if late := now.Sub(next); late > 0 {
		next = next.Add(late.Truncate(interval))
	}
	return next
}

// Timer sends on its channel when a duration has elapsed, for waits on several channels. Unlike the channel of a time.Timer, its channel
// may be selected on at any time; the package comment explains why.
type Timer struct {
	// C receives one value each time the timer fires; if Stop or Reset is called at the moment it fires, the value may still arrive.
	C     chan struct{}
	timer *time.Timer
}

// NewTimer returns a timer that fires after a duration; the caller must call Stop.
func NewTimer(d time.Duration) *Timer {
	t := &Timer{C: make(chan struct{}, 1)}
	t.timer = time.AfterFunc(d, t.fire)
	return t
}

func (t *Timer) fire() {
	select {
	case t.C <- struct{}{}:
	default:
	}
}

// Reset stops the timer and restarts it with a new duration.
func (t *Timer) Reset(d time.Duration) {
	t.Stop()
	t.timer.Reset(d)
}

// Stop stops the timer and discards a value that C has not delivered yet.
func (t *Timer) Stop() {
	t.timer.Stop()
	select {
	case <-t.C:
	default:
	}
}
