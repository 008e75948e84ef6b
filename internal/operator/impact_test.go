package operator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func TestPreviewTellsWhoWouldBeRefused(t *testing.T) {
	b := newBed(t)
	allowed := []string{"professor"}
	draft := Draft{Reason: "x", Add: &fleet.Exception{ID: "only", Scope: fleet.Scope{Team: "lessons"}, Set: fleet.PolicyPatch{Allowed: &allowed}}}
	operator := Operator{Name: "ana", Role: RoleOperate}
	change, _, err := draft.Plan(b.changes.State(), operator, time.Now())
	b.Assert(err, qt.IsNil)
	_, err = b.changes.Accept(t.Context(), change)
	b.Assert(err, qt.IsNil)

	withdraw := Draft{Reason: "x", Add: &fleet.Exception{
		ID: "away", Withdraw: true, Scope: fleet.Scope{Service: "tutor-llm", Version: api.ParseVersionID("professor@1.4")},
	}}
	_, next, err := withdraw.Plan(b.changes.State(), operator, time.Now())
	b.Assert(err, qt.IsNil)
	impacts, more := Impacts(b.changes.State(), next, time.Now())
	b.Assert(more, qt.Equals, 0)
	for _, impact := range impacts {
		b.Check(impact.Refused, qt.Equals, impact.Team == "lessons", qt.Commentf("%+v", impact))
		b.Check(impact.After, qt.Equals, "Version professor@1.4: Withdrawn")
	}
	groups := groupImpacts(impacts)
	b.Assert(groups, qt.HasLen, 2)
	b.Assert(groups[0].Teams, qt.DeepEquals, []string{"lessons"})
	b.Assert(groups[0].Refused, qt.IsTrue)
}

func TestNodesGetTheTimeThatARevisionTakesToSpread(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		known api.Revision
		since time.Duration
		want  bool
	}{
		{6, time.Minute, true},
		{6, time.Second, false},
		{7, time.Minute, false},
		{0, time.Minute, false},
	} {
		got := Member{Revision: test.known}.IsBehind(7, now.Add(-test.since), now)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
