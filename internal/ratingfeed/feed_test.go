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

// countedRating is a rating as it was passed to RatingCounter.Record.
type countedRating struct {
	arm       cascade.Arm
	quality   api.Quality
	escalated bool
	replaced  bool
}

// fakeService returns no rating in time, and records what is submitted and counted.
type fakeService struct {
	submitted []api.RequestID
	inTime    []bool
	records   []countedRating
	rated     []api.VersionID
}

func (s *fakeService) Submit(_ context.Context, sub rating.Submission) error {
	s.submitted = append(s.submitted, sub.RequestID)
	return nil
}

func (s *fakeService) SubmitAndWait(_ context.Context, sub rating.Submission, wait time.Duration) (rating.Rating, bool, error) {
	time.Sleep(wait)
	return rating.Rating{}, false, s.Submit(context.Background(), sub)
}

func (s *fakeService) Record(opts cascade.RecordOptions, replaced bool, _ time.Time) {
	s.records = append(s.records, countedRating{opts.Arm, opts.Quality, opts.Escalated, replaced})
}

func (s *fakeService) ObserveRatingArrival(inTime bool) { s.inTime = append(s.inTime, inTime) }

func (s *fakeService) Rated(_ api.RequestID, version api.VersionID, _ api.Quality) {
	s.rated = append(s.rated, version)
}

// TestLateRatingsCountOnce delivers ratings after the timeout, twice, for both answers of a cascade and for an answer of
// another node.
func TestLateRatingsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeService{}
		feed := ratingfeed.New(ratingfeed.Options{
			Service: fake, RatingCounter: fake, Trials: fake, MaxPerSecond: 1, RatingTimeout: time.Second, Metrics: metric.New(),
			Log: &log.Logger{Handler: discard.New()},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- feed.Run(ctx) }()
		cheap, expensive := api.VersionID{Model: "cheap"}, api.VersionID{Model: "dear"}
		choice := router.VersionChoice{First: cheap, EscalateTo: expensive, EscalateBelow: 0.7}
		first := router.RatedAnswer{RequestID: "r", Choice: choice, Version: cheap}
		second := first
		second.Version = expensive

		_, ok := feed.Rate(t.Context(), first)
		qt.Check(t, ok, qt.IsFalse)
		qt.Check(t, fake.inTime, qt.DeepEquals, []bool{false})
		feed.Offer(second)
		// The limit of one answer per second drops this one.
		feed.Offer(router.RatedAnswer{RequestID: "over"})
		synctest.Wait()
		qt.Check(t, fake.submitted, qt.DeepEquals, []api.RequestID{"r", "r~2"})
		for range 2 {
			feed.HandleRating(rating.Rating{RequestID: "r", Quality: 0.6})
			feed.HandleRating(rating.Rating{RequestID: "r~2", Quality: 0.9})
			feed.HandleRating(rating.Rating{RequestID: "others", Quality: 0.1})
		}
		arm := cascade.Arm{First: cheap, Then: expensive}
		qt.Check(t, slices.Equal(fake.records, []countedRating{{arm, 0.6, false, true}, {arm, 0.9, true, false}}), qt.IsTrue, qt.Commentf("%v", fake.records))
		qt.Check(t, fake.rated, qt.DeepEquals, []api.VersionID{cheap, expensive})

		feed.Rate(t.Context(), router.RatedAnswer{RequestID: "old", Version: cheap})
		time.Sleep(10 * time.Minute)
		feed.Rate(t.Context(), router.RatedAnswer{RequestID: "new", Version: cheap})
		feed.HandleRating(rating.Rating{RequestID: "old", Quality: 0.5})
		qt.Check(t, fake.records, qt.HasLen, 2, qt.Commentf("dropped after ten minutes"))
		cancel()
		qt.Check(t, <-done, qt.Equals, context.Canceled)
	})
}
