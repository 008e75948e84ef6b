// Package sleep waits for a time, or again and again, until a context ends.
//
// None of its waits selects on a timer that is already due: in a synctest bubble under the race detector two goroutines
// that do so at once crash the detector (go1.26, both run the timer on the bubble's one detector context).
package sleep

import (
	"context"
	"time"
)

// For waits for a duration and reports whether it passed before ctx ended.
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

// Wait waits as For does and returns ctx's error if it ended first.
func Wait(ctx context.Context, d time.Duration) error {
	if For(ctx, d) {
		return nil
	}
	return ctx.Err()
}

// Every calls do at each interval, from one interval on, until ctx ends, and returns ctx's error. Of the times that pass
// while do runs all but one are dropped.
func Every(ctx context.Context, interval time.Duration, do func(now time.Time)) error {
	next := time.Now().Add(interval)
	for {
		if err := Wait(ctx, time.Until(next)); err != nil {
			return err
		}
		do(time.Now())
		next = following(next, time.Now(), interval)
	}
}

// following returns the time after the one just used: the next of the series, or the last that passed meanwhile.
func following(used, now time.Time, interval time.Duration) time.Time {
	next := used.Add(interval)
	if late := now.Sub(next); late > 0 {
		next = next.Add(late.Truncate(interval))
	}
	return next
}

// Timer tells by its channel that a time has passed, for waits on several channels. Unlike a time.Timer's, its channel may be
// selected on at any moment.
type Timer struct {
	// C receives once each time the alarm goes off; one that was stopped or set anew a moment before may still come.
	C     chan struct{}
	timer *time.Timer
}

// NewTimer returns an alarm that goes off after a duration; Stop must be called.
func NewTimer(d time.Duration) *Timer {
	a := &Timer{C: make(chan struct{}, 1)}
	a.timer = time.AfterFunc(d, a.ring)
	return a
}

func (a *Timer) ring() {
	select {
	case a.C <- struct{}{}:
	default:
	}
}

// Reset sets the alarm anew.
func (a *Timer) Reset(d time.Duration) {
	a.Stop()
	a.timer.Reset(d)
}

// Stop keeps the alarm from going off.
func (a *Timer) Stop() {
	a.timer.Stop()
	select {
	case <-a.C:
	default:
	}
}
