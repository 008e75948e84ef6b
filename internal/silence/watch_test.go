package silence

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// flowing returns a watch that has recorded tokens at an interval, and the time of the last token.
func flowing(tokens int, interval time.Duration) (*Watch, time.Time) {
	w := NewWatch(10*time.Second, start)
	now := start
	for range tokens {
		now = now.Add(interval)
		w.RecordToken(now)
	}
	return w, now
}

// TestSilenceIsFoundInTime checks that, once tokens are flowing, silence is detected and resolved within 3 s for any token
// interval, and that the server isn't marked as failed while it answers a new connection.
func TestSilenceIsFoundInTime(t *testing.T) {
	const target = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		interval := time.Duration(rapid.IntRange(1, 1500).Draw(t, "interval")) * time.Millisecond
		w, last := flowing(rapid.IntRange(flowingTokens, 50).Draw(t, "tokens"), interval)
		action, until := w.Next(last)
		if action != ActionWait {
			t.Fatal("probed at once")
		}
		action, _ = w.Next(until)
		if action != ActionProbe {
			t.Fatal("not probed")
		}
		answered := until.Add(time.Duration(rapid.IntRange(0, 499).Draw(t, "probe")) * time.Millisecond)
		w.RecordProbe(ProbeProgressed, answered)
		if action, _ = w.Next(answered); action != ActionResume || answered.Sub(last) > target {
			t.Fatalf("action %d after %s", action, answered.Sub(last))
		}
	})
}

func TestSlowServerIsNotMarkedFailed(t *testing.T) {
	w, now := flowing(10, 50*time.Millisecond)
	for range 20 {
		_, now = w.Next(now)
		action, _ := w.Next(now)
		qt.Assert(t, action, qt.Equals, ActionProbe)
		w.RecordProbe(ProbeNoProgress, now)
		action, now = w.Next(now)
		qt.Assert(t, action, qt.Equals, ActionWait)
	}
}

func TestUnresponsiveServerIsMarkedFailed(t *testing.T) {
	w, last := flowing(10, 50*time.Millisecond)
	now := last
	for {
		action, until := w.Next(now)
		if action == ActionMarkFailed {
			break
		}
		qt.Assert(t, action == ActionWait || action == ActionProbe, qt.IsTrue)
		now = until
	}
	qt.Assert(t, now.Sub(last) <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", now.Sub(last)))
}

func TestTokenEndsProbe(t *testing.T) {
	w, now := flowing(10, 50*time.Millisecond)
	_, now = w.Next(now)
	_, _ = w.Next(now)
	w.RecordToken(now)
	w.RecordProbe(ProbeFailed, now)
	action, until := w.Next(now)
	qt.Assert(t, action, qt.Equals, ActionWait)
	qt.Assert(t, until.After(now), qt.IsTrue)
}

// TestSlowServerIsProbedLessOften checks that the silence allowed before the first token doubles while the server is slow, and
// no longer after a token arrived.
func TestSlowServerIsProbedLessOften(t *testing.T) {
	const first = 300 * time.Millisecond
	w, now := NewWatch(first, start), start
	for i := range maxDoublings {
		_, due := w.Next(now)
		qt.Assert(t, due.Sub(now), qt.Equals, first<<i)
		now = due
		action, _ := w.Next(now)
		qt.Assert(t, action, qt.Equals, ActionProbe)
		w.RecordProbe(ProbeNoProgress, now)
	}
	w.RecordToken(now)
	_, due := w.Next(now)
	qt.Assert(t, due.Sub(now), qt.Equals, MaxSilence)
}
