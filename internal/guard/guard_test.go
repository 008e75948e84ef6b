package guard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/guard"
	"github.com/monsoonrail/monsoonrail/internal/poison"
)

// TestCrashSuspectsRunningRequests checks that a crash counts against the requests that were running on the server, not against
// those that had ended or ran on another server, and that it is reported to the peers at once.
func TestCrashSuspectsRunningRequests(t *testing.T) {
	now := time.Date(2026, time.December, 3, 8, 0, 0, 0, time.UTC)
	reports := 0
	own, peer := guard.New(now, func() { reports++ }), guard.New(now, nil)
	running, twice, ended, elsewhere := poison.FingerprintOf([]byte("a")), poison.FingerprintOf([]byte("b")),
		poison.FingerprintOf([]byte("c")), poison.FingerprintOf([]byte("d"))
	own.BeginRun("s1", running, now)
	own.BeginRun("s1", twice, now)()
	endTwice := own.BeginRun("s1", twice, now)
	own.BeginRun("s1", ended, now)()
	own.BeginRun("s2", elsewhere, now)
	own.RecordCrash("s1", now)
	qt.Check(t, reports, qt.Equals, 1)
	own.RecordPeerReports(now)
	peer.Merge(own.Suspicions(now))
	peer.RecordPeerReports(now)
	for _, node := range []*guard.Guard{own, peer} {
		for f, want := range map[poison.Fingerprint]poison.Decision{
			running: poison.DecisionRestricted, twice: poison.DecisionRestricted, ended: poison.DecisionUnrestricted, elsewhere: poison.DecisionUnrestricted,
		} {
			decision, _ := node.Decide(f, now)
			qt.Check(t, decision, qt.Equals, want)
		}
	}
	endTwice()
	own.RecordCrash("s1", now)
	own.BeginRun("s2", running, now)
	own.RecordCrash("s2", now)
	decision, after := own.Decide(running, now)
	qt.Check(t, decision, qt.Equals, poison.DecisionRejected)
	qt.Check(t, after, qt.Equals, poison.SuspicionTTL)
	decision, _ = own.Decide(twice, now)
	qt.Check(t, decision, qt.Equals, poison.DecisionRestricted, qt.Commentf("two failures of one server count once"))
	own.RecordCompletion(twice, now.Add(time.Second))
	decision, _ = own.Decide(twice, now.Add(time.Second))
	qt.Check(t, decision, qt.Equals, poison.DecisionUnrestricted)
	qt.Check(t, reports, qt.Equals, 4)
	_, ok := own.DesignatedServer(running, []poison.PoolServer{{ID: "s1"}, {ID: "s2"}}, now)
	qt.Check(t, ok, qt.IsFalse)
}

// TestServerIsDownUntilMarkedUp checks that the next failure of a server is distinguished from another report of the same
// failure.
func TestServerIsDownUntilMarkedUp(t *testing.T) {
	now := time.Date(2026, time.December, 3, 8, 0, 0, 0, time.UTC)
	g := guard.New(now, nil)
	qt.Check(t, g.IsDown("s1"), qt.IsFalse)
	qt.Check(t, g.RecordFailure("s1", now), qt.IsTrue)
	qt.Check(t, g.IsDown("s1"), qt.IsTrue)
	qt.Check(t, g.RecordFailure("s1", now.Add(time.Second)), qt.IsFalse)
	qt.Check(t, g.RecordCrash("s1", now.Add(time.Second)), qt.IsFalse)
	g.MarkUp("s1")
	qt.Check(t, g.IsDown("s1"), qt.IsFalse)
	qt.Check(t, g.RecordFailure("s1", now.Add(2*time.Second)), qt.IsTrue)
}

// TestFailureSeenTwiceCountsOnce lets two servers fail at the same time, which the node detects by their connections first and
// by a stream later. The stream's request must be known to have crashed its own server, whichever server failed first.
func TestFailureSeenTwiceCountsOnce(t *testing.T) {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	pool := []poison.PoolServer{{ID: "b"}, {ID: "a"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	for f := range poison.Fingerprint(50) {
		once, twice := guard.New(now, nil), guard.New(now, nil)
		begin := now.Add(time.Second)
		later := begin.Add(200 * time.Millisecond)
		for _, g := range []*guard.Guard{once, twice} {
			defer g.BeginRun("a", f, begin)()
		}
		once.RecordCrash("a", begin)
		once.RecordFailure("b", begin)
		twice.RecordFailure("b", begin)
		twice.RecordFailure("a", begin)
		twice.RecordCrash("a", later)
		want, wantOK := once.DesignatedServer(f, pool, later)
		designated, ok := twice.DesignatedServer(f, pool, later)
		qt.Assert(t, ok, qt.Equals, wantOK, qt.Commentf("fingerprint %d", f))
		qt.Assert(t, designated, qt.Equals, want)
	}
}

// TestRequestLostByRestartedServer checks that a request is suspected whose server crashed and restarted before the request's
// next connection.
func TestRequestLostByRestartedServer(t *testing.T) {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	reports := 0
	g := guard.New(now, func() { reports++ })
	early, late := poison.FingerprintOf([]byte("early")), poison.FingerprintOf([]byte("late"))
	g.BeginRun("s1", early, now)
	g.RecordFailure("s1", now.Add(time.Second))
	g.MarkUp("s1")
	g.BeginRun("s1", late, now.Add(2*time.Second))
	g.RecordPeerReports(now.Add(time.Minute))
	qt.Check(t, g.CheckLost("s1", late), qt.IsFalse, qt.Commentf("it began after the failure"))
	qt.Check(t, reports, qt.Equals, 0)
	qt.Check(t, g.CheckLost("s1", poison.FingerprintOf([]byte("never sent"))), qt.IsFalse)
	qt.Check(t, reports, qt.Equals, 0)
	qt.Check(t, g.CheckLost("s1", early), qt.IsTrue)
	qt.Check(t, reports, qt.Equals, 1)
	decision, _ := g.Decide(early, now.Add(time.Minute))
	qt.Check(t, decision, qt.Equals, poison.DecisionRestricted)
	decision, _ = g.Decide(late, now.Add(time.Minute))
	qt.Check(t, decision, qt.Equals, poison.DecisionUnrestricted)
}

// TestRequestAbandonedAsItsServerCrashes abandons a request at its deadline while it crashes its server. The failure must count
// against the request whether it was detected before, at the same time or shortly afterwards.
func TestRequestAbandonedAsItsServerCrashes(t *testing.T) {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	f := poison.FingerprintOf([]byte("q"))
	for _, test := range []struct {
		name   string
		delay  time.Duration
		before bool
		want   poison.Decision
	}{
		{"before", 0, true, poison.DecisionRestricted},
		{"at once", 0, false, poison.DecisionRestricted},
		{"a moment later", poison.CrashDetectionTimeout - 1, false, poison.DecisionRestricted},
		{"long after", poison.CrashDetectionTimeout, false, poison.DecisionUnrestricted},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := guard.New(now, nil)
			end := g.BeginRun("s1", f, now)
			at := now.Add(time.Second)
			if test.before {
				g.RecordFailure("s1", at)
			}
			g.Abandon("s1", f, at)
			end()
			if !test.before {
				g.RecordFailure("s1", at.Add(test.delay))
			}
			g.RecordPeerReports(at.Add(time.Minute))
			decision, _ := g.Decide(f, at.Add(time.Minute))
			qt.Check(t, decision, qt.Equals, test.want)
		})
	}
}
