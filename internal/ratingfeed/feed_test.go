package ratingfeed_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/cascade"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/rating"
	"github.com/monsoonrail/monsoonrail/internal/ratingfeed"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// record is one rating as it was counted.
type record struct {
	arm       cascade.Arm
	quality   api.Quality
	escalated bool
	replaced  bool
}

// service rates nothing in time and counts what is recorded.
type service struct {
	submitted []api.RequestID
	inTime    []bool
	records   []record
	rated     []api.VersionID
}

func (s *service) Submit(_ context.Context, sub rating.Submission) error {
	s.submitted = append(s.submitted, sub.RequestID)
	return nil
}

func (s *service) SubmitAndWait(_ context.Context, sub rating.Submission, wait time.Duration) (rating.Rating, bool, error) {
	time.Sleep(wait)
	return rating.Rating{}, false, s.Submit(context.Background(), sub)
}

func (s *service) Record(opts cascade.RecordOptions, replaced bool, _ time.Time) {
	s.records = append(s.records, record{opts.Arm, opts.Quality, opts.Escalated, replaced})
}

func (s *service) ObserveRatingArrival(came bool) { s.inTime = append(s.inTime, came) }

func (s *service) Rated(_ api.RequestID, version api.VersionID, _ api.Quality) {
	s.rated = append(s.rated, version)
}

// TestLateRatingsCountOnce brings ratings after the cascade gave up waiting, twice, for both answers and for another's.
func TestLateRatingsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := &service{}
		feed := ratingfeed.New(ratingfeed.Options{
			Service: known, RatingCounter: known, Trials: known, MaxPerSecond: 1, RatingTimeout: time.Second, Metrics: metric.New(),
			Log: &log.Logger{Handler: discard.New()},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- feed.Run(ctx) }()
		cheap, dear := api.VersionID{Model: "cheap"}, api.VersionID{Model: "dear"}
		choice := router.VersionChoice{First: cheap, EscalateTo: dear, EscalateBelow: 0.7}
		first := router.RatedAnswer{RequestID: "r", Choice: choice, Version: cheap}
		second := first
		second.Version = dear

		_, ok := feed.Rate(t.Context(), first)
		qt.Check(t, ok, qt.IsFalse)
		qt.Check(t, known.inTime, qt.DeepEquals, []bool{false})
		feed.Offer(second)
		// The rate is one a second, so that this one isn't asked about.
		feed.Offer(router.RatedAnswer{RequestID: "over"})
		synctest.Wait()
		qt.Check(t, known.submitted, qt.DeepEquals, []api.RequestID{"r", "r~2"})
		for range 2 {
			feed.HandleRating(rating.Rating{RequestID: "r", Quality: 0.6})
			feed.HandleRating(rating.Rating{RequestID: "r~2", Quality: 0.9})
			feed.HandleRating(rating.Rating{RequestID: "others", Quality: 0.1})
		}
		arm := cascade.Arm{First: cheap, Then: dear}
		qt.Check(t, slices.Equal(known.records, []record{{arm, 0.6, false, true}, {arm, 0.9, true, false}}), qt.IsTrue, qt.Commentf("%v", known.records))
		qt.Check(t, known.rated, qt.DeepEquals, []api.VersionID{cheap, dear})

		feed.Rate(t.Context(), router.RatedAnswer{RequestID: "old", Version: cheap})
		time.Sleep(10 * time.Minute)
		feed.Rate(t.Context(), router.RatedAnswer{RequestID: "new", Version: cheap})
		feed.HandleRating(rating.Rating{RequestID: "old", Quality: 0.5})
		qt.Check(t, known.records, qt.HasLen, 2, qt.Commentf("given up after ten minutes"))
		cancel()
		qt.Check(t, <-done, qt.Equals, context.Canceled)
	})
}
