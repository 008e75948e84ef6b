package operator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func TestPreviewListsRejectedCalls(t *testing.T) {
	n := newTestNode(t)
	allowed := []string{"professor"}
	draft := Draft{Reason: "x", Add: &fleet.Exception{ID: "only", Scope: fleet.Scope{Team: "lessons"}, Set: fleet.PolicyPatch{Allowed: &allowed}}}
	operator := Operator{Name: "ana", Role: RoleOperate}
	change, _, err := draft.Plan(n.changes.State(), operator, time.Now())
	n.Assert(err, qt.IsNil)
	_, err = n.changes.Accept(t.Context(), change)
	n.Assert(err, qt.IsNil)

	withdraw := Draft{Reason: "x", Add: &fleet.Exception{
		ID: "away", Withdraw: true, Scope: fleet.Scope{Service: "tutor-llm", Version: api.ParseVersionID("professor@1.4")},
	}}
	_, next, err := withdraw.Plan(n.changes.State(), operator, time.Now())
	n.Assert(err, qt.IsNil)
	impacts, more := Impacts(n.changes.State(), next, time.Now())
	n.Assert(more, qt.Equals, 0)
	for _, impact := range impacts {
		n.Check(impact.Refused, qt.Equals, impact.Team == "lessons", qt.Commentf("%+v", impact))
		n.Check(impact.After, qt.Equals, "Version professor@1.4: Withdrawn")
	}
	groups := groupImpacts(impacts)
	n.Assert(groups, qt.HasLen, 2)
	n.Assert(groups[0].Teams, qt.DeepEquals, []string{"lessons"})
	n.Assert(groups[0].Refused, qt.IsTrue)
}

func TestNodeIsBehindAfterPropagationTime(t *testing.T) {
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
