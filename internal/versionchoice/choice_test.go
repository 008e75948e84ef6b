package versionchoice_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/cascade"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/versionchoice"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var (
	cheap     = api.VersionID{Model: "cheap", Version: "1"}
	expensive = api.VersionID{Model: "dear", Version: "1"}
)

func eligibleVersion(id api.VersionID, cost api.MicroUSD, quality api.Quality) router.EligibleVersion {
	return router.EligibleVersion{ID: id, Version: fleet.Version{
		Name: id.Version, State: fleet.StateServing, PromptCost: cost, AnswerCost: cost, PriorQuality: quality,
	}}
}

// TestChooserFollowsRatings checks the choice by priors, by a pin, and after poor ratings of the cheap version.
func TestChooserFollowsRatings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		choice := versionchoice.New(versionchoice.Options{Incarnation: "i", FailureDomain: "d", Rand: rand.New(rand.NewPCG(1, 2))})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- choice.Run(ctx) }()
		req := router.VersionRequest{
			Service: "s", Policy: fleet.Policy{QualityTarget: 0.75, Cascade: true}, PromptTokens: 100, MayEscalate: true,
			Deadline: time.Now().Add(time.Minute), Now: time.Now(),
			Eligible: []router.EligibleVersion{eligibleVersion(cheap, 10, 0.8), eligibleVersion(expensive, 100, 0.9)},
		}
		check := func(name string, want api.VersionID) {
			got, ok := choice.ChooseVersion(req)
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, got.First, qt.Equals, want, qt.Commentf(name))
			qt.Check(t, got.EscalateTo.IsZero(), qt.IsTrue, qt.Commentf("%s: no cascade where no rating is waited for", name))
		}
		check("priors", cheap)
		req.Pin = expensive
		check("pinned", expensive)
		req.Pin = api.VersionID{}
		for range 200 {
			choice.Record(cascade.RecordOptions{Service: "s", Arm: cascade.Arm{First: cheap}, Quality: 0.3}, false, time.Now())
		}
		time.Sleep(2 * time.Second)
		check("poor ratings", expensive)
		qt.Check(t, choice.Snapshot(), qt.Not(qt.HasLen), 0)
		req.Eligible = nil
		_, ok := choice.ChooseVersion(req)
		qt.Check(t, ok, qt.IsFalse)
		cancel()
		qt.Check(t, <-done, qt.Equals, context.Canceled)
	})
}
