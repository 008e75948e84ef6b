package cascade

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func version(i int) api.VersionID {
	return api.VersionID{Model: "m", Version: fmt.Sprint(i)}
}

func drawInput(t *rapid.T) Input {
	n := rapid.IntRange(0, 6).Draw(t, "candidates")
	in := Input{
		Service: "s", Class: "c",
		Target:       api.Quality(rapid.Float64Range(0, 1).Draw(t, "target")),
		Exploration:  rapid.Float64Range(0, 0.1).Draw(t, "exploration"),
		Cascade:      rapid.Bool().Draw(t, "cascade"),
		Timeout:      time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Second,
		PromptTokens: 1000, AnswerTokens: 200,
		RatedInTimeShare: rapid.Float64Range(0, 1).Draw(t, "ratedInTime"),
		Rand:             rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
	}
	counters := NewCounters()
	for i := range n {
		in.Versions = append(in.Versions, EligibleVersion{
			Version:    version(i),
			PromptCost: api.MicroUSD(rapid.IntRange(0, 1000).Draw(t, "promptCost")),
			AnswerCost: api.MicroUSD(rapid.IntRange(0, 1000).Draw(t, "answerCost")),
			Share:      rapid.SampledFrom([]float64{0, 0.05, 0.5, 1, 1}).Draw(t, "share"),
			Prior:      api.Quality(rapid.Float64Range(0, 1).Draw(t, "prior")),
			Latency:    time.Duration(rapid.IntRange(0, 10).Draw(t, "latency")) * time.Second,
		})
	}
	for range rapid.IntRange(0, 50).Draw(t, "ratings") {
		// Versions from n on have ratings but aren't eligible.
		arm := Arm{First: version(rapid.IntRange(0, 8).Draw(t, "rated"))}
		quality := api.Quality(rapid.Float64Range(0, 1).Draw(t, "quality"))
		counters.Record("i", RecordOptions{Service: "s", Class: "c", Arm: arm, Quality: quality}, start)
	}
	in.Estimates = counters.Estimates("", start)
	if rapid.Bool().Draw(t, "pinned") {
		in.Pin = version(rapid.IntRange(0, 8).Draw(t, "pin"))
	}
	return in
}

// require fails a rapid check unless ok; quicktest can't be used because rapid.T isn't a testing.TB.
func require(t *rapid.T, ok bool) {
	t.Helper()
	if !ok {
		t.Fatal("condition doesn't hold")
	}
}

// TestChooseReturnsEligibleVersions checks that Choose returns only eligible versions, the pinned version for a pinned session,
// and no version with a share of 0 otherwise.
func TestChooseReturnsEligibleVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		decision, ok := Choose(in)
		find := func(v api.VersionID) (EligibleVersion, bool) {
			i := slices.IndexFunc(in.Versions, func(c EligibleVersion) bool { return c.Version == v })
			if i < 0 {
				return EligibleVersion{}, false
			}
			return in.Versions[i], true
		}
		if !in.Pin.IsZero() {
			_, isEligible := find(in.Pin)
			require(t, ok == isEligible)
			if ok {
				require(t, decision.Arm == (Arm{First: in.Pin}))
			}
			return
		}
		if !ok {
			for _, c := range in.Versions {
				require(t, c.Share < 1)
			}
			return
		}
		first, isEligible := find(decision.Arm.First)
		require(t, isEligible)
		require(t, first.Share > 0)
		if decision.Arm.IsCascade() {
			then, isEligible := find(decision.Arm.Then)
			require(t, isEligible && in.Cascade)
			require(t, in.Timeout == 0 || first.Latency+then.Latency <= in.Timeout)
		}
	})
}

func TestCandidateVersionGetsItsShare(t *testing.T) {
	in := Input{
		Service: "s", Class: "c", Target: 0.8, PromptTokens: 1000, AnswerTokens: 100,
		Versions: []EligibleVersion{
			{Version: version(0), PromptCost: 10, Share: 1, Prior: 0.9},
			{Version: version(1), PromptCost: 100, Share: 0.2, Prior: 0.9},
		},
		Rand: rand.New(rand.NewPCG(1, 1)),
	}
	candidateRequests := 0
	for range 10_000 {
		decision, ok := Choose(in)
		qt.Assert(t, ok, qt.IsTrue)
		if decision.Reason == ReasonRollOut {
			candidateRequests++
		}
	}
	qt.Assert(t, candidateRequests > 1850 && candidateRequests < 2150, qt.IsTrue, qt.Commentf("%d", candidateRequests))
}
