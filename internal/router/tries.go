package router

import "time"

// failedAttempts counts the failed attempts of one request. Unsent attempts cost servers nothing: they are bounded by the time
// since the first of them, the others by maxAttempts.
type failedAttempts struct {
	// sent counts the attempts of which a server may have received a part.
	sent int
	// unsent counts the consecutive latest attempts that could not be sent; unsentSince is when the first of them failed.
	unsent      int
	unsentSince time.Time
}

// add counts a failed attempt.
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

// isLast reports whether the request must not be attempted again. unsentDeadline is the end of the wait that began at
// unsentSince.
func (t *failedAttempts) isLast(now, unsentDeadline time.Time) bool {
	if t.unsent > 0 {
		return now.After(unsentDeadline)
	}
	return t.sent >= maxAttempts
}

// delay returns the delay before another attempt. A restricted request always waits longest, since it has one server only until
// the peers have reported.
func (t *failedAttempts) delay(restricted bool) time.Duration {
	if restricted {
		return maxRetryDelay
	}
	return min(retryDelay<<min(max(t.unsent-1, 0), maxRetryDoublings), maxRetryDelay)
}
