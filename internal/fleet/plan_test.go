package fleet

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// testNow is before the expiry of the sample configuration's exception.
var testNow = time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)

func stateOf(t testing.TB, config *Config) *State {
	t.Helper()
	delta := Delta{Revision: 1, Change: Change{ID: "first", Ops: NewState().Ops(config)}}
	state, err := NewState().Apply(delta)
	qt.Assert(t, err, qt.IsNil)
	return state
}

func TestPlan(t *testing.T) {
	state := stateOf(t, loadExample(t, "commons"))
	next := loadExample(t, "commons")
	next.Exceptions = append(next.Exceptions, Exception{
		ID: "stop-swift", Scope: Scope{Version: api.ParseVersionID("swift@3.2")}, Withdraw: true, Reason: "wrong reviews", Author: "a.operator",
	})
	next.Teams = next.Teams[1:]
	service, _ := next.FindService("forge-app")
	service.NonRepeatable = service.NonRepeatable[:1]
	plan := MakePlan(state, next, testNow)
	data, err := json.MarshalIndent(plan, "", "  ")
	qt.Assert(t, err, qt.IsNil)
	compareGolden(t, "testdata/plan.golden", append(data, '\n'))

	qt.Assert(t, MakePlan(state, loadExample(t, "commons"), testNow).Changes, qt.HasLen, 0)
}

func TestExplain(t *testing.T) {
	config := loadExample(t, "sample.yaml")
	explanation, err := config.Explain(Scope{Team: "reports", Service: "writer", Class: "draft", FailureDomain: "east"}, testNow)
	qt.Assert(t, err, qt.IsNil)
	data, err := json.MarshalIndent(explanation, "", "  ")
	qt.Assert(t, err, qt.IsNil)
	compareGolden(t, "testdata/explain.golden", append(data, '\n'))

	_, err = config.Explain(Scope{Team: "nobody", Service: "writer"}, testNow)
	qt.Assert(t, IsErrInvalid(err), qt.IsTrue)
}

// TestPlanIsCarriedOut checks that the ops of a plan turn each example configuration into each other one.
func TestPlanIsCarriedOut(t *testing.T) {
	names := []string{"sample.yaml", "commons", "carrasco"}
	for _, from := range names {
		for _, to := range names {
			state := stateOf(t, loadExample(t, from))
			want := loadExample(t, to)
			delta := Delta{Revision: 2, Parent: "first", Change: Change{ID: "second", Ops: MakePlan(state, want, testNow).Ops}}
			next, err := state.Apply(delta)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(next.Config.Encode()), qt.Equals, string(want.Encode()))
			qt.Assert(t, string(state.Config.Encode()), qt.Equals, string(loadExample(t, from).Encode()))
			config, err := Apply(state.Config, delta)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, config, qt.DeepEquals, next.Config)
			decoded, err := DecodeState(next.Encode())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, decoded.Config, qt.DeepEquals, next.Config)
		}
	}
}

func TestApplyRefusesOutOfOrderDelta(t *testing.T) {
	state := stateOf(t, loadExample(t, "commons"))
	_, err := state.Apply(Delta{Revision: 3, Parent: "first", Change: Change{ID: "x"}})
	qt.Assert(t, IsErrOutOfOrder(err), qt.IsTrue)
	_, err = state.Apply(Delta{Revision: 2, Parent: "other", Change: Change{ID: "x"}})
	qt.Assert(t, IsErrForked(err), qt.IsTrue)
}

// TestNewerRelease guards against the loss of entities and fields of a newer release when a node of this release
// decodes and encodes a state.
func TestNewerRelease(t *testing.T) {
	state := stateOf(t, loadExample(t, "commons"))
	ops := []Op{
		{EntityID: EntityID{Kind: "Schedule", Name: "nightly"}, Value: json.RawMessage(`{"At":"02:00"}`)},
		{EntityID: EntityID{Kind: KindTeam, Name: "aldridge"}, Value: json.RawMessage(`{"Name":"aldridge","Weight":9,"Colour":"red"}`)},
	}
	next, err := state.Apply(Delta{Revision: 2, Parent: "first", Change: Change{ID: "newer", Ops: ops}})
	qt.Assert(t, err, qt.IsNil)
	team, _ := next.Config.FindTeam("aldridge")
	qt.Assert(t, team.Weight, qt.Equals, 9.0)
	decoded, err := DecodeState(next.Encode())
	qt.Assert(t, err, qt.IsNil)
	for _, op := range ops {
		qt.Assert(t, string(decoded.entities[op.EntityID]), qt.Equals, string(op.Value))
	}
	qt.Assert(t, decoded.Ops(next.Config), qt.HasLen, 0)
}

// TestLargeSnapshot checks that a configuration of the target size, with 2,000 more teams, fits into one value (1 MiB)
// of the key-value service.
func TestLargeSnapshot(t *testing.T) {
	config := loadExample(t, "commons")
	team := config.Teams[0]
	for i := range 2000 {
		team.Name = api.Team("school-" + NewChangeID()[:13])
		team.KeyHashes = []string{string(NewChangeID()) + string(NewChangeID())}
		team.Weight = float64(i)
		config.Teams = append(config.Teams, team)
	}
	config.Sort()
	size := len(stateOf(t, config).Encode())
	t.Logf("snapshot of %d teams: %d bytes", len(config.Teams), size)
	qt.Assert(t, size < 1<<20, qt.IsTrue)
}

func FuzzDecodeDelta(f *testing.F) {
	state := stateOf(f, loadExample(f, "commons"))
	next := loadExample(f, "commons")
	next.Exceptions = nil
	f.Add(Delta{Revision: 2, Parent: "first", Change: Change{ID: "x", Ops: state.Ops(next)}}.Encode())
	f.Add([]byte(`{"Revision":2,"ID":"x","Parent":"first","Ops":[{"Kind":"Team","Name":"a","Value":{"Name":"b"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		delta, err := DecodeDelta(data)
		if err != nil {
			return
		}
		before := string(state.Encode())
		if next, err := state.Apply(delta); err == nil {
			qt.Assert(t, next.Revision(), qt.Equals, state.Revision()+1)
			_, err := DecodeState(next.Encode())
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, string(state.Encode()), qt.Equals, before)
	})
}

func FuzzDecodeState(f *testing.F) {
	f.Add(stateOf(f, loadExample(f, "commons")).Encode())
	f.Add(stateOf(f, loadExample(f, "sample.yaml")).Encode()[:100])
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := DecodeState(data)
		if err != nil {
			return
		}
		again, err := DecodeState(state.Encode())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(again.Encode()), qt.Equals, string(state.Encode()))
	})
}
