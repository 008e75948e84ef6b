package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var listed = fleet.Server{ID: "engine-1", Service: "tutor-llm", Address: "127.0.0.1:8000"}

// TestDelayedReportsDoNotUndoRefusal checks that reports from before a refusal don't make the server usable again, and that
// later reports do. Randomised runs found nodes that never used such a server again.
func TestDelayedReportsDoNotUndoRefusal(t *testing.T) {
	reg := New()
	reg.Update([]fleet.Server{listed})
	server, ok := reg.Find(listed.ID)
	qt.Assert(t, ok, qt.IsTrue)
	at := time.Date(2026, time.December, 3, 8, 0, 0, 0, time.UTC)
	server.SetReport(Report{MeasuredAt: at})
	server.MarkLeaving()
	for _, test := range []struct {
		later   time.Duration
		leaving bool
		want    bool
	}{
		{time.Second, false, true},
		{4 * time.Second, false, true},
		{6 * time.Second, true, true},
		{7 * time.Second, false, false},
	} {
		server.SetReport(Report{MeasuredAt: at.Add(test.later), Leaving: test.leaving})
		qt.Check(t, server.IsLeaving(), qt.Equals, test.want, qt.Commentf("report %s after the refusal", test.later))
	}
}

// TestReportsAfterServerClockIsSetBack checks that reports are accepted after a server's clock is set back by an hour, and that
// delayed reports are still ignored.
func TestReportsAfterServerClockIsSetBack(t *testing.T) {
	server := &Server{}
	at := time.Date(2026, time.December, 3, 8, 0, 0, 0, time.UTC)
	for i, test := range []struct {
		measured time.Time
		want     int
	}{
		{at.Add(time.Hour), 0},
		{at.Add(time.Hour - time.Second), 0},
		{at, 2},
		{at.Add(time.Second), 3},
	} {
		server.SetReport(Report{MeasuredAt: test.measured, Running: i})
		qt.Check(t, server.Report().Running, qt.Equals, test.want)
	}
	server.MarkLeaving()
	server.SetReport(Report{MeasuredAt: at.Add(-time.Hour)})
	qt.Check(t, server.IsLeaving(), qt.IsTrue)
	server.SetReport(Report{MeasuredAt: at.Add(-time.Hour + 2*reportLag)})
	qt.Check(t, server.IsLeaving(), qt.IsFalse)
}

func TestUpdateKeepsStateOfListedServers(t *testing.T) {
	reg := New()
	reg.Update([]fleet.Server{listed})
	before, _ := reg.Find(listed.ID)
	before.SetReport(Report{Versions: []api.VersionID{{Model: "m", Version: "1"}}, MeasuredAt: time.Unix(1, 0)})
	leaving := listed
	leaving.Leaving = true
	reg.Update([]fleet.Server{leaving})
	after, _ := reg.Find(listed.ID)
	qt.Check(t, after, qt.Equals, before)
	qt.Check(t, after.IsLeaving(), qt.IsTrue)
	qt.Check(t, after.HasVersion(api.VersionID{Model: "m", Version: "1"}), qt.IsTrue)
	moved := listed
	moved.Address = "127.0.0.2:8000"
	reg.Update([]fleet.Server{moved})
	fresh, _ := reg.Find(listed.ID)
	qt.Check(t, fresh.HasVersion(api.VersionID{Model: "m", Version: "1"}), qt.IsFalse)
}
