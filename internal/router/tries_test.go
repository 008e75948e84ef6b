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

func TestTries(t *testing.T) {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	giveUpAt := func(since time.Time) time.Time { return since.Add(noServerWait) }
	var unsent tries
	for range 20 {
		unsent.add(true, now)
	}
	qt.Check(t, unsent.isLast(now.Add(noServerWait), giveUpAt(unsent.unsentSince)), qt.IsFalse, qt.Commentf("what no server got is bounded by time alone"))
	qt.Check(t, unsent.isLast(now.Add(noServerWait+1), giveUpAt(unsent.unsentSince)), qt.IsTrue)
	unsent.add(false, now)
	qt.Check(t, unsent.isLast(now.Add(time.Hour), giveUpAt(unsent.unsentSince)), qt.IsFalse, qt.Commentf("a server got it meanwhile"))
	unsent.add(true, now.Add(time.Hour))
	qt.Check(t, unsent.isLast(now.Add(time.Hour), giveUpAt(unsent.unsentSince)), qt.IsFalse)

	var sent tries
	for i := range maxAttempts {
		qt.Check(t, sent.isLast(now, giveUpAt(sent.unsentSince)), qt.IsFalse, qt.Commentf("after %d", i))
		sent.add(false, now)
	}
	qt.Check(t, sent.isLast(now, giveUpAt(sent.unsentSince)), qt.IsTrue)
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

func TestDeathOfAServerIsNoUnsentAttempt(t *testing.T) {
	notSent := &tcp.ErrNotSent{Cause: errors.New("connection refused")}
	qt.Check(t, isUnsent(engine.Error.Wrap(notSent)), qt.IsTrue)
	qt.Check(t, isUnsent(engine.Error.Wrap(&errServerDied{cause: notSent})), qt.IsFalse)
	qt.Check(t, isUnsent(&engine.ErrBroken{Cause: io.EOF}), qt.IsFalse)
}
