package report

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/oracle"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var update = flag.Bool("update", false, "write the golden files anew")

// sample returns the report of 100 calls, of which one was refused, one was lost and one was billed twice.
func sample() *Report {
	var seen oracle.Seen
	seen.HasBills = true
	for i := range 100 {
		id := api.RequestID(string(rune('a'+i/26)) + string(rune('a'+i%26)))
		result := load.Result{
			Entry:      trace.Entry{Kind: trace.KindChat, Team: "lessons", Service: "tutor-llm", Stream: true},
			Latency:    time.Duration(i+1) * 10 * time.Millisecond,
			FirstToken: time.Duration(i+1) * time.Millisecond,
			Answered:   true,
			Text:       load.TextWhole,
			RequestIDs: []api.RequestID{id},
			Tries:      1,
			Quality:    0.75,
			Tokens:     10,
		}
		if i%4 == 0 {
			result.Entry.Team = "moderators"
		}
		seen.Results = append(seen.Results, result)
	}
	seen.Billed = []oracle.Billed{
		{Team: "moderators", Service: "tutor-llm", Requests: 26}, {Team: "lessons", Service: "tutor-llm", Requests: 71},
	}
	seen.Results[1].Answered, seen.Results[1].Reason, seen.Results[1].Outcome = false, api.ReasonOverloaded, api.OutcomeNotRun
	seen.Results[2].Answered, seen.Results[2].Err = false, "connection broke"
	return Make(MakeOptions{
		Header: trace.Header{Fleet: "west-mids", Seed: 7, Outcome: trace.Outcome{RefusedShare: 0.02}},
		Speed:  2, Took: 5 * time.Second, Seen: seen,
		CostOf: func(*load.Result) api.MicroUSD { return 1000 },
	})
}

func TestReportIsWritten(t *testing.T) {
	for name, write := range map[string]func(*Report, *bytes.Buffer) error{
		"table.golden": func(r *Report, out *bytes.Buffer) error { return r.WriteTable(out) },
		"json.golden":  func(r *Report, out *bytes.Buffer) error { return r.WriteJSON(out) },
	} {
		var out bytes.Buffer
		qt.Assert(t, write(sample(), &out), qt.IsNil)
		path := filepath.Join("testdata", name)
		if *update {
			qt.Assert(t, os.WriteFile(path, out.Bytes(), 0o644), qt.IsNil)
		}
		want, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, out.String(), qt.Equals, string(want))
	}
}

func TestLatenciesAreWithinTheHistogramsPrecision(t *testing.T) {
	latency := sample().Find(WhatAnswer)
	qt.Assert(t, latency.Count, qt.Equals, int64(98))
	for _, test := range []struct{ got, want time.Duration }{
		{latency.P50, 510 * time.Millisecond}, {latency.P99, time.Second}, {latency.Max, time.Second},
	} {
		off := test.got - test.want
		qt.Check(t, off.Abs() <= 15*time.Millisecond, qt.IsTrue, qt.Commentf("%s, want %s", test.got, test.want))
	}
}
