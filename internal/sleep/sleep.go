// Package sleep waits for a time, or again and again, until a context ends.
package sleep

import (
	"context"
	"time"
)

// For waits for a duration and reports whether it passed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
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

// Every calls do at each interval, from one interval on, until ctx ends, and returns ctx's error. Ticks that come while do
// runs are dropped but for one.
func Every(ctx context.Context, interval time.Duration, do func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			do(now)
		}
	}
}
