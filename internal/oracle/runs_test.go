package oracle

import (
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/plainfake"
	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/trace"
)

// TestCallsWithoutABodyAreKnown runs a call without a body under two requests, as a caller sends it whose first
// connection went silent: both ran, and both may be billed.
func TestCallsWithoutABodyAreKnown(t *testing.T) {
	service := plainfake.New(plainfake.Options{ID: "s1"})
	defer service.Close()
	for _, id := range []string{"a.1-0", "b.1-0"} {
		request := httptest.NewRequest("GET", "/repos?call=c7", nil)
		request.Header.Set("X-Request-Id", id)
		service.ServeHTTP(httptest.NewRecorder(), request)
	}
	post := httptest.NewRequest("POST", "/orders?call=c9", strings.NewReader(`{"Order": "call=c8 "}`))
	service.ServeHTTP(httptest.NewRecorder(), post)
	runs := PlainRuns(service)
	qt.Assert(t, runs, qt.HasLen, 3)
	qt.Check(t, runs[0].Call, qt.Equals, "c7")
	qt.Check(t, runs[2].Call, qt.Equals, "c8")

	seen := Seen{Runs: runs, HasBills: true, Results: []load.Result{
		{Call: "c7", Entry: trace.Entry{Team: "t", Service: "s"}, Answered: true, Text: load.TextWhole},
	}}
	for billed, double := range map[int]int{2: 0, 3: 1} {
		seen.Billed = []Billed{{Team: "t", Service: "s", Requests: billed}}
		qt.Check(t, Judge(seen).DoubleBills, qt.Equals, double)
	}
}
