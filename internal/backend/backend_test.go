package backend_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var start = time.Unix(1_700_000_000, 0)

func server(id, address string, version int64) backend.Server {
	return backend.Server{ID: api.ServerID(id), Service: "models", Address: address, Slots: 8, Start: version}
}

func findServer(t *testing.T, s *backend.Set, id string) *backend.TrackedServer {
	t.Helper()
	for _, m := range s.ForService("models") {
		if m.ID == api.ServerID(id) {
			return m
		}
	}
	t.Fatalf("no server %s", id)
	return nil
}

// TestErrorAnswersDoNotCauseAvoidance records error answers among good ones for a server that fails two fifths of its requests while its
// health check passes (a gray failure). Its failure share rises above the others', but it is never avoided.
func TestErrorAnswersDoNotCauseAvoidance(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	set.Replace([]backend.Server{server("grey", "a", 1), server("sound", "b", 1)})
	grey, sound := findServer(t, set, "grey"), findServer(t, set, "sound")
	for i := range 40 {
		sound.RecordSuccess()
		if i%5 < 2 {
			grey.RecordErrorAnswer()
		} else {
			grey.RecordSuccess()
		}
	}
	view := grey.View(start)
	qt.Assert(t, view.FailureShare > 0.2 && view.FailureShare < 0.7, qt.IsTrue, qt.Commentf("%+v", view))
	qt.Assert(t, view.IsAvoided, qt.IsFalse)
	qt.Assert(t, sound.View(start).FailureShare, qt.Equals, 0.0)
}

// TestAvoidanceGrows checks that a server is avoided longer after each consecutive failure, up to a bound, and that a success resets
// the duration.
func TestAvoidanceGrows(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	set.Replace([]backend.Server{server("a", "a", 1)})
	m := findServer(t, set, "a")
	avoidedFor := func() (d time.Duration) {
		for m.View(start.Add(d)).IsAvoided {
			d += 100 * time.Millisecond
		}
		return d
	}
	last := time.Duration(0)
	for range 4 {
		m.RecordFailure(start)
		qt.Assert(t, avoidedFor() > last, qt.IsTrue)
		last = avoidedFor()
	}
	for range 10 {
		m.RecordFailure(start)
	}
	bound := avoidedFor()
	m.RecordFailure(start)
	qt.Assert(t, avoidedFor(), qt.Equals, bound)
	m.RecordSuccess()
	m.RecordFailure(start.Add(time.Minute))
	qt.Assert(t, m.View(start.Add(time.Minute+bound/2)).IsAvoided, qt.IsFalse)
}

// TestReplaceKeepsServerState checks that a server's state survives changes of its entry, that it is dropped when the server has another
// start time or address, and that Replace returns the addresses that are no longer in use.
func TestReplaceKeepsServerState(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	set.Replace([]backend.Server{server("a", "1", 1), server("b", "2", 1), server("c", "3", 1)})
	for _, id := range []string{"a", "b", "c"} {
		findServer(t, set, id).Begin(10)
		findServer(t, set, id).RecordErrorAnswer()
	}
	changed := server("a", "1", 1)
	changed.Slots = 4
	freed := set.Replace([]backend.Server{changed, server("b", "2", 2), server("c", "4", 1)})
	qt.Assert(t, freed, qt.DeepEquals, []string{"3"})
	qt.Assert(t, findServer(t, set, "a").View(start).FailureShare > 0, qt.IsTrue)
	qt.Assert(t, findServer(t, set, "a").View(start).InFlight, qt.Equals, 1)
	qt.Assert(t, findServer(t, set, "a").Slots, qt.Equals, 4)
	qt.Assert(t, findServer(t, set, "b").View(start).FailureShare, qt.Equals, 0.0)
	qt.Assert(t, findServer(t, set, "c").View(start).FailureShare, qt.Equals, 0.0)
	leaving := server("a", "1", 1)
	leaving.IsLeaving = true
	set.Replace([]backend.Server{leaving})
	qt.Assert(t, set.ForService(route.Service("models")), qt.HasLen, 0)
	qt.Assert(t, set.Len(), qt.Equals, 1)
}

// TestLeavingServerStaysOutOfService replaces the entry of a leaving server by one from before, as a restore of the store from an older copy
// does. Only a new start brings the server back.
func TestLeavingServerStaysOutOfService(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	leaving := server("a", "1", 1)
	leaving.IsLeaving = true
	set.Replace([]backend.Server{leaving})
	set.Replace([]backend.Server{server("a", "1", 1)})
	set.Replace([]backend.Server{server("a", "1", 1)})
	qt.Assert(t, set.ForService("models"), qt.HasLen, 0)
	set.Replace([]backend.Server{server("a", "1", 2)})
	qt.Assert(t, set.ForService("models"), qt.HasLen, 1)
}

// TestLeavingServerStaysOutOfServiceAfterItsEntryExpired removes the entry of a leaving server and writes an older one again, as happens while
// the store is disrupted. Only a new start brings the server back.
func TestLeavingServerStaysOutOfServiceAfterItsEntryExpired(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	leaving := server("a", "1", 1)
	leaving.IsLeaving = true
	set.Replace([]backend.Server{leaving})
	set.Replace(nil)
	set.Replace([]backend.Server{server("a", "1", 1)})
	qt.Assert(t, set.ForService("models"), qt.HasLen, 0)
	set.Replace(nil)
	set.Replace([]backend.Server{server("a", "1", 2)})
	qt.Assert(t, set.ForService("models"), qt.HasLen, 1)
}

// TestLateReportOfLeavingServerIsKept checks that a server that reports its end in an answer after its entry is gone stays out of service when the entry
// is back.
func TestLateReportOfLeavingServerIsKept(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	set.Replace([]backend.Server{server("a", "1", 1)})
	tracked := findServer(t, set, "a")
	set.Replace(nil)
	tracked.RecordReport(selfreport.Report{IsLeaving: true}, selfreport.Share{}, start, start)
	set.Replace([]backend.Server{server("a", "1", 1)})
	qt.Assert(t, set.ForService("models"), qt.HasLen, 0)
}

// TestSlownessOfSlowServer checks that a server that takes three times as long for answers of the same kind gets a higher slowness.
func TestSlownessOfSlowServer(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	set.Replace([]backend.Server{server("slow", "1", 1), server("usual", "2", 1)})
	for range 60 {
		for range 9 {
			set.ObservePace(findServer(t, set, "usual"), "short", 0.1)
		}
		set.ObservePace(findServer(t, set, "slow"), "short", 0.3)
	}
	slow, usual := findServer(t, set, "slow").View(start).Slowness, findServer(t, set, "usual").View(start).Slowness
	qt.Assert(t, slow > 2*usual, qt.IsTrue, qt.Commentf("%v and %v", slow, usual))
}

// TestCachedPromptPartsExpire checks that only leading prompt parts count as cached, and only for a limited time.
func TestCachedPromptPartsExpire(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	set.Replace([]backend.Server{server("a", "1", 1)})
	m := findServer(t, set, "a")
	m.RecordPromptParts([]string{"m/1", "m/2"}, start)
	qt.Assert(t, m.CachedPromptParts([]string{"m/1", "m/2", "m/3"}, start.Add(time.Second)), qt.Equals, 2)
	qt.Assert(t, m.CachedPromptParts([]string{"m/3", "m/1"}, start.Add(time.Second)), qt.Equals, 0)
	qt.Assert(t, m.CachedPromptParts([]string{"m/1"}, start.Add(time.Hour)), qt.Equals, 0)
}

// TestReportOfAnEarlierStartIsIgnored shares a report of a server that has started again since.
func TestReportOfAnEarlierStartIsIgnored(t *testing.T) {
	set := backend.NewSet(backend.Locality{})
	set.Replace([]backend.Server{server("a", "1", 2), server("unknown-start", "2", 0)})
	for _, test := range []struct {
		shared selfreport.Shared
		want   bool
	}{
		{selfreport.Shared{Server: "a", Start: 1, IsLeaving: true}, false},
		{selfreport.Shared{Server: "unknown-start", IsLeaving: true}, false},
		{selfreport.Shared{Server: "gone", Start: 2, IsLeaving: true}, false},
		{selfreport.Shared{Server: "a", Start: 2, IsLeaving: true}, true},
	} {
		qt.Check(t, set.Hear(test.shared, selfreport.Share{Nodes: 1}, start), qt.Equals, test.want, qt.Commentf("%+v", test.shared))
	}
	qt.Check(t, findServer(t, set, "a").IsOutOfService(), qt.IsTrue)
	qt.Check(t, findServer(t, set, "unknown-start").IsOutOfService(), qt.IsFalse)
}
