package api

import (
	"encoding/json"
	"math"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestProblemRetryAfterRoundTrip(t *testing.T) {
	problem := NewProblem(ReasonOverloaded, http.StatusServiceUnavailable, OutcomeNotRun, "short of servers")
	problem.RequestID = "n.i.1"
	for after, seconds := range map[time.Duration]int64{0: 0, time.Millisecond: 1, 30 * time.Second: 30} {
		problem.RetryAfter = after
		document, err := json.Marshal(problem)
		qt.Assert(t, err, qt.IsNil)
		var members map[string]any
		qt.Assert(t, json.Unmarshal(document, &members), qt.IsNil)
		encoded, ok := members["RetryAfterSeconds"]
		qt.Check(t, ok, qt.Equals, seconds > 0)
		if ok {
			qt.Check(t, encoded, qt.Equals, float64(seconds))
		}
		var read Problem
		qt.Assert(t, json.Unmarshal(document, &read), qt.IsNil)
		want := *problem
		want.RetryAfter = time.Duration(seconds) * time.Second
		qt.Check(t, read, qt.DeepEquals, want)
	}
}

func TestProblemBoundsRetryAfter(t *testing.T) {
	for document, want := range map[string]time.Duration{
		`{"RetryAfterSeconds": -5}`:                  0,
		`{"RetryAfterSeconds": 9223372036854775807}`: (math.MaxInt64 / time.Second) * time.Second,
	} {
		var problem Problem
		qt.Assert(t, json.Unmarshal([]byte(document), &problem), qt.IsNil)
		qt.Check(t, problem.RetryAfter, qt.Equals, want)
	}
	var problem Problem
	qt.Check(t, json.Unmarshal([]byte(`{"RetryAfterSeconds": "soon"}`), &problem), qt.IsNotNil)
}
