package router

import "time"

// failedAttempts are the attempts of one request that failed. Those that could not be sent cost servers nothing: they are bounded by the time
// since the first of them, the others by maxAttempts.
type failedAttempts struct {
	// sent counts the attempts of which a server may have got a part.
	sent int
	// unsent counts the attempts since the last of those that could not be sent; unsentSince is when the first of them failed.
	unsent      int
	unsentSince time.Time
}

// add notes an attempt that failed.
func (t *failedAttempts) add(isUnsent bool, now time.Time) {
	if !isUnsent {
		*t = failedAttempts{sent: t.sent + 1}
		return
	}
	if t.unsent == 0 {
		t.unsentSince = now
	}
	t.unsent++
}

// isLast reports whether the attempt added last was the last; giveUpAt is until when a request waits that waits since unsentSince.
func (t *failedAttempts) isLast(now, unsentDeadline time.Time) bool {
	if t.unsent > 0 {
		return now.After(unsentDeadline)
	}
	return t.sent >= maxAttempts
}

// delay returns how long to delay before another attempt; a guarded request has one place only, until the peers have been heard.
func (t *failedAttempts) delay(restricted bool) time.Duration {
	if restricted {
		return maxRetryDelay
	}
	return min(retryDelay<<min(max(t.unsent-1, 0), maxRetryDoublings), maxRetryDelay)
}
