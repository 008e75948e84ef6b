package router

import (
	"errors"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/engine"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

func TestFailedAttemptsAreBounded(t *testing.T) {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	unsentDeadline := func(since time.Time) time.Time { return since.Add(noServerTimeout) }
	var unsent failedAttempts
	for range 20 {
		unsent.add(true, now)
	}
	qt.Check(t, unsent.isLast(now.Add(noServerTimeout), unsentDeadline(unsent.unsentSince)), qt.IsFalse, qt.Commentf("unsent attempts are bounded by time only"))
	qt.Check(t, unsent.isLast(now.Add(noServerTimeout+1), unsentDeadline(unsent.unsentSince)), qt.IsTrue)
	unsent.add(false, now)
	qt.Check(t, unsent.isLast(now.Add(time.Hour), unsentDeadline(unsent.unsentSince)), qt.IsFalse, qt.Commentf("a server received an attempt meanwhile"))
	unsent.add(true, now.Add(time.Hour))
	qt.Check(t, unsent.isLast(now.Add(time.Hour), unsentDeadline(unsent.unsentSince)), qt.IsFalse)

	var sent failedAttempts
	for i := range maxAttempts {
		qt.Check(t, sent.isLast(now, unsentDeadline(sent.unsentSince)), qt.IsFalse, qt.Commentf("after %d", i))
		sent.add(false, now)
	}
	qt.Check(t, sent.isLast(now, unsentDeadline(sent.unsentSince)), qt.IsTrue)
}

func TestRetryDelayGrows(t *testing.T) {
	var failures failedAttempts
	qt.Check(t, failures.delay(true), qt.Equals, maxRetryDelay)
	var delays []time.Duration
	for range 7 {
		failures.add(true, time.Time{})
		delays = append(delays, failures.delay(false))
	}
	qt.Check(t, delays, qt.DeepEquals, []time.Duration{
		retryDelay, 2 * retryDelay, 4 * retryDelay, 8 * retryDelay, 16 * retryDelay, maxRetryDelay, maxRetryDelay,
	})
	failures.add(false, time.Time{})
	qt.Check(t, failures.delay(false), qt.Equals, retryDelay)
}

func TestServerCrashIsNotAnUnsentAttempt(t *testing.T) {
	notSent := &tcp.ErrNotSent{Cause: errors.New("connection refused")}
	qt.Check(t, isUnsent(engine.Error.Wrap(notSent)), qt.IsTrue)
	qt.Check(t, isUnsent(engine.Error.Wrap(&errServerCrashed{cause: notSent})), qt.IsFalse)
	qt.Check(t, isUnsent(&engine.ErrBroken{Cause: io.EOF}), qt.IsFalse)
}
