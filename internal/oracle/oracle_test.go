package oracle

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestEachPromiseCanBeBroken shows that the oracle sees each fault, and nothing else in its place.
func TestEachPromiseCanBeBroken(t *testing.T) {
	once := trace.Entry{Kind: trace.KindPlain, OnceOnly: true}
	chat := trace.Entry{Kind: trace.KindChat, Session: "s"}
	one, two := api.VersionID{Model: "m", Version: "1"}, api.VersionID{Model: "m", Version: "2"}
	ran := Run{Call: "c", Began: true}
	for _, test := range []struct {
		name   string
		seen   Seen
		broken []string
	}{
		{"well", Seen{
			Results: []load.Result{{Call: "c", Entry: once, Answered: true, RequestIDs: []api.RequestID{"r"}}},
			Runs:    []Run{ran, {Call: "c"}},
			Billed:  []Billed{{Requests: 1}}, HasBills: true,
		}, nil},
		{"lost", Seen{Results: []load.Result{{Call: "c", Entry: once}}}, []string{"Lost: 1, at most 0"}},
		{"cut", Seen{Results: []load.Result{{Call: "c", Answered: true, Text: load.TextCut}}}, []string{"Cut: 1, at most 0"}},
		{"cut after two servers died", Seen{
			Results: []load.Result{
				{Call: "c", Text: load.TextCut, Outcome: api.OutcomeMayHaveRun, Reason: api.ReasonPoison}, {Answered: true}, {Answered: true},
			},
			Runs: []Run{{Call: "c", Server: "a", Began: true, Died: true}, {Call: "c", Server: "b", Began: true, Died: true}},
		}, nil},
		{"cut after one server died twice", Seen{
			Results: []load.Result{
				{Call: "c", Text: load.TextCut, Outcome: api.OutcomeMayHaveRun, Reason: api.ReasonPoison}, {Answered: true}, {Answered: true},
			},
			Runs: []Run{{Call: "c", Server: "a", Began: true, Died: true}, {Call: "c", Server: "a", Began: true, Died: true}},
		}, []string{"Cut: 1, at most 0"}},
		{"repeated", Seen{Results: []load.Result{{Answered: true, Text: load.TextRepeated}}}, []string{"RepeatedText: 1, at most 0"}},
		{"wrong", Seen{Results: []load.Result{{Answered: true, Text: load.TextWrong}}}, []string{"Wrong: 1, at most 0"}},
		{"double run", Seen{
			Results: []load.Result{{Call: "c", Entry: once, Answered: true}}, Runs: []Run{ran, ran},
		}, []string{"DoubleRuns: 1, at most 0"}},
		{"false NotRun", Seen{
			Results: []load.Result{
				{Call: "c", Entry: once, Outcome: api.OutcomeNotRun, Reason: api.ReasonOverloaded}, {Answered: true}, {Answered: true},
			},
			Runs: []Run{ran},
		}, []string{"FalseNotRun: 1, at most 0"}},
		{"double bill", Seen{
			Results: []load.Result{{Call: "c", Answered: true}},
			Runs:    []Run{{Call: "c", RequestID: "r-0", Began: true}, {Call: "c", RequestID: "r-1", Began: true}},
			Billed:  []Billed{{Requests: 2}}, HasBills: true,
		}, []string{"DoubleBills: 1, at most 0"}},
		{"moved session", Seen{
			Results: []load.Result{{Entry: chat, Answered: true, Pinned: one, Version: two}},
		}, []string{"MovedSessions: 1, at most 0"}},
		{"moved session that was told", Seen{
			Results: []load.Result{{Entry: chat, Answered: true, Pinned: one, Version: two, Repinned: true}},
		}, nil},
		{"sessions that begin together", Seen{Results: []load.Result{
			{Entry: chat, Answered: true, Version: one}, {Entry: chat, Answered: true, Version: two},
			{Entry: chat, Answered: true, Pinned: one, Version: one}, {Entry: chat, Answered: true, Pinned: two, Version: two},
		}}, nil},
		{"refused", Seen{Results: []load.Result{
			{Call: "c", Outcome: api.OutcomeNotRun, Reason: api.ReasonOverloaded}, {Answered: true},
		}}, []string{"Refused: 1 of 2, at most a part of 0.4"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, Judge(test.seen).Bounds(trace.Outcome{RefusedShare: 0.4}), qt.DeepEquals, test.broken)
		})
	}
}

func TestRunsOfRepeatableCallsAreCounted(t *testing.T) {
	verdict := Judge(Seen{
		Results:  []load.Result{{Call: "c", Answered: true}},
		Runs:     []Run{{Call: "c", Began: true}, {Call: "c", Began: true}},
		HasBills: true,
	})
	qt.Assert(t, verdict, qt.DeepEquals, Verdict{Requests: 1, Answered: 1, HasRuns: true, Repeated: 1, HasBills: true, Unbilled: 1})
}
