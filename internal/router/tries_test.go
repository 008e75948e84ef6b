package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTries(t *testing.T) {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	giveUpAt := func(since time.Time) time.Time { return since.Add(noServerWait) }
	var unsent tries
	for range 20 {
		unsent.add(true, now)
	}
	qt.Check(t, unsent.isLast(now.Add(noServerWait), giveUpAt), qt.IsFalse, qt.Commentf("what no server got is bounded by time alone"))
	qt.Check(t, unsent.isLast(now.Add(noServerWait+1), giveUpAt), qt.IsTrue)
	unsent.add(false, now)
	qt.Check(t, unsent.isLast(now.Add(time.Hour), giveUpAt), qt.IsFalse, qt.Commentf("a server got it meanwhile"))
	unsent.add(true, now.Add(time.Hour))
	qt.Check(t, unsent.isLast(now.Add(time.Hour), giveUpAt), qt.IsFalse)

	var sent tries
	for i := range maxAttempts {
		qt.Check(t, sent.isLast(now, giveUpAt), qt.IsFalse, qt.Commentf("after %d", i))
		sent.add(false, now)
	}
	qt.Check(t, sent.isLast(now, giveUpAt), qt.IsTrue)
}

func TestWaitsOfTriesGrow(t *testing.T) {
	var failed tries
	qt.Check(t, failed.wait(true), qt.Equals, guardedWait)
	var waits []time.Duration
	for range 7 {
		failed.add(true, time.Time{})
		waits = append(waits, failed.wait(false))
	}
	qt.Check(t, waits, qt.DeepEquals, []time.Duration{
		retryWait, 2 * retryWait, 4 * retryWait, 8 * retryWait, 16 * retryWait, guardedWait, guardedWait,
	})
	failed.add(false, time.Time{})
	qt.Check(t, failed.wait(false), qt.Equals, retryWait)
}
