// Package ratingfeed hands answers to the rating service and brings the ratings, which come late and in part, to those who
// count them.
package ratingfeed

import (
	"container/list"
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/monsoonrail/monsoonrail/internal/cascade"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/rating"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// ringSize bounds the answers that wait to be handed over; further ones are not rated.
	ringSize = 256
	// maxPending bounds the answers whose rating is awaited; over it the oldest is given up.
	maxPending = 8192
	// pendingFor is how long a rating is awaited.
	pendingFor = 10 * time.Minute
	// secondSuffix tells the second answer of a cascade from the first at the rating service.
	secondSuffix = "~2"
)

// Service rates answers.
type Service interface {
	Submit(ctx context.Context, s rating.Submission) error
	SubmitAndWait(ctx context.Context, s rating.Submission, wait time.Duration) (rating.Rating, bool, error)
}

// RatingCounter counts ratings for the choice of versions; *versionchoice.Choice is one.
type RatingCounter interface {
	Record(opts cascade.RecordOptions, replaced bool, now time.Time)
	ObserveRatingArrival(came bool)
}

// Trials counts ratings for roll-outs; *trial.Node is one.
type Trials interface {
	Rated(request api.RequestID, version api.VersionID, q api.Quality)
}

// Options holds what a feed is made of.
type Options struct {
	Service Service
	// Incarnation is this node's incarnation.
	Incarnation   api.Incarnation
	RatingCounter RatingCounter
	Trials        Trials
	// MaxPerSecond bounds the answers handed over.
	MaxPerSecond float64
	// RatingTimeout is how long a cascade waits for a rating.
	RatingTimeout time.Duration
	Metrics       *metric.Set
	Log           log.Interface
}

// Feed implements router.Rater.
type Feed struct {
	opts    Options
	limiter *rate.Limiter
	ring    chan router.RatedAnswer

	mu sync.Mutex
	// pending holds the answers whose rating is awaited, order lists them by age.
	pending map[api.RequestID]*list.Element
	order   *list.List
}

type awaited struct {
	id     api.RequestID
	answer router.RatedAnswer
	since  time.Time
}

// New returns a feed; Run must be running.
func New(opts Options) *Feed {
	return &Feed{
		opts: opts, limiter: rate.NewLimiter(rate.Limit(opts.MaxPerSecond), max(int(opts.MaxPerSecond), 1)),
		ring: make(chan router.RatedAnswer, ringSize), pending: make(map[api.RequestID]*list.Element), order: list.New(),
	}
}

// Offer implements router.Rater.
func (f *Feed) Offer(rated router.RatedAnswer) {
	if !f.limiter.Allow() {
		f.opts.Metrics.Counter("ratings_not_asked").Inc(1)
		return
	}
	select {
	case f.ring <- rated:
	default:
		f.opts.Metrics.Counter("ratings_dropped").Inc(1)
	}
}

// Run is a duty: it hands answers to the rating service, one at a time.
func (f *Feed) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case rated := <-f.ring:
			f.await(rated)
			if err := f.opts.Service.Submit(ctx, f.submission(rated)); err != nil {
				f.opts.Log.WithError(err).Debug("answer not handed to the rating service")
			}
		}
	}
}

// Rate implements router.Rater. A rating that comes too late is still counted.
func (f *Feed) Rate(ctx context.Context, rated router.RatedAnswer) (api.Quality, bool) {
	f.await(rated)
	got, ok, err := f.opts.Service.SubmitAndWait(ctx, f.submission(rated), f.opts.RatingTimeout)
	f.opts.RatingCounter.ObserveRatingArrival(ok && err == nil)
	if err != nil || !ok {
		return 0, false
	}
	f.HandleRating(got)
	return got.Quality, true
}

// HandleRating takes in a rating; those that are not awaited here came twice, too late, or are other nodes'.
func (f *Feed) HandleRating(got rating.Rating) {
	rated, ok := f.take(got.RequestID)
	if !ok {
		f.opts.Metrics.Counter("ratings_not_awaited").Inc(1)
		return
	}
	choice := rated.Choice
	escalated := !choice.EscalateTo.IsZero() && rated.Version == choice.EscalateTo
	replaced := !choice.EscalateTo.IsZero() && !escalated && got.Quality < choice.EscalateBelow
	f.opts.RatingCounter.Record(cascade.RecordOptions{
		Service: rated.Service, Class: rated.Class, Arm: cascade.Arm{First: choice.First, Then: choice.EscalateTo},
		Quality: got.Quality, Escalated: escalated,
	}, replaced, time.Now())
	f.opts.Trials.Rated(rated.RequestID, rated.Version, got.Quality)
	f.opts.Metrics.Histogram("quality_thousandths", metric.Label{Name: "version", Value: rated.Version.String()}).
		Update(int64(got.Quality * 1000))
}

func (f *Feed) await(rated router.RatedAnswer) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for first := f.order.Front(); first != nil; first = f.order.Front() {
		oldest := first.Value.(*awaited)
		if f.order.Len() < maxPending && now.Sub(oldest.since) < pendingFor {
			break
		}
		f.order.Remove(first)
		delete(f.pending, oldest.id)
	}
	id := ratingID(rated)
	if known, ok := f.pending[id]; ok {
		f.order.Remove(known)
	}
	// The texts are no longer needed once they are handed over.
	kept := rated
	kept.Prompt = nil
	kept.Answer = ""
	f.pending[id] = f.order.PushBack(&awaited{id: id, answer: kept, since: now})
}

func (f *Feed) take(id api.RequestID) (router.RatedAnswer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	place, ok := f.pending[id]
	if !ok {
		return router.RatedAnswer{}, false
	}
	delete(f.pending, id)
	return f.order.Remove(place).(*awaited).answer, true
}

func ratingID(rated router.RatedAnswer) api.RequestID {
	if !rated.Choice.EscalateTo.IsZero() && rated.Version == rated.Choice.EscalateTo {
		return rated.RequestID + secondSuffix
	}
	return rated.RequestID
}

func (f *Feed) submission(rated router.RatedAnswer) rating.Submission {
	var prompt strings.Builder
	for _, message := range rated.Prompt {
		prompt.WriteString(message.Content)
		prompt.WriteString("\n")
	}
	return rating.Submission{
		RequestID: ratingID(rated), Source: f.opts.Incarnation, Service: rated.Service, Class: rated.Class, Version: rated.Version,
		Prompt: prompt.String(), Answer: rated.Answer,
	}
}
