// Package ratingfeed submits answers to the rating service and passes their ratings, which arrive late and not for all answers,
// to the choice of versions and to roll-outs.
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
	// queueSize bounds the answers that wait for submission; further answers are not rated.
	queueSize = 256
	// maxPending bounds the answers that wait for a rating; if there are more, the oldest is dropped.
	maxPending = 8192
	// pendingTimeout is how long an answer waits for its rating.
	pendingTimeout = 10 * time.Minute
	// escalatedSuffix distinguishes the second answer of a cascade from the first in the ids sent to the rating service.
	escalatedSuffix = "~2"
)

// Service submits answers to the rating service.
type Service interface {
	Submit(ctx context.Context, s rating.Submission) error
	SubmitAndWait(ctx context.Context, s rating.Submission, wait time.Duration) (rating.Rating, bool, error)
}

// RatingCounter counts ratings for the choice of versions; *versionchoice.Chooser implements it.
type RatingCounter interface {
	Record(opts cascade.RecordOptions, replaced bool, now time.Time)
	ObserveRatingArrival(inTime bool)
}

// Trials counts ratings for roll-outs; *trial.Node implements it.
type Trials interface {
	Rated(request api.RequestID, version api.VersionID, q api.Quality)
}

// Options configures New.
type Options struct {
	Service Service
	// Incarnation is this node's incarnation.
	Incarnation   api.Incarnation
	RatingCounter RatingCounter
	Trials        Trials
	// MaxPerSecond bounds the rate of answers submitted by Offer.
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
	queue   chan router.RatedAnswer

	mu sync.Mutex
	// pending holds the answers that wait for a rating; order lists them by age.
	pending map[api.RequestID]*list.Element
	order   *list.List
}

type pendingAnswer struct {
	id     api.RequestID
	answer router.RatedAnswer
	since  time.Time
}

// New returns a feed. Answers passed to Offer are submitted by Run.
func New(opts Options) *Feed {
	return &Feed{
		opts: opts, limiter: rate.NewLimiter(rate.Limit(opts.MaxPerSecond), max(int(opts.MaxPerSecond), 1)),
		queue: make(chan router.RatedAnswer, queueSize), pending: make(map[api.RequestID]*list.Element), order: list.New(),
	}
}

// Offer implements router.Rater.
func (f *Feed) Offer(rated router.RatedAnswer) {
	if !f.limiter.Allow() {
		f.opts.Metrics.Counter("ratings_not_asked").Inc(1)
		return
	}
	select {
	case f.queue <- rated:
	default:
		f.opts.Metrics.Counter("ratings_dropped").Inc(1)
	}
}

// Run is a duty that submits queued answers to the rating service, one at a time.
func (f *Feed) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case rated := <-f.queue:
			f.addPending(rated)
			if err := f.opts.Service.Submit(ctx, f.submission(rated)); err != nil {
				f.opts.Log.WithError(err).Debug("submitting an answer to the rating service failed")
			}
		}
	}
}

// Rate implements router.Rater. A rating that arrives after the timeout is still counted.
func (f *Feed) Rate(ctx context.Context, rated router.RatedAnswer) (api.Quality, bool) {
	f.addPending(rated)
	got, ok, err := f.opts.Service.SubmitAndWait(ctx, f.submission(rated), f.opts.RatingTimeout)
	f.opts.RatingCounter.ObserveRatingArrival(ok && err == nil)
	if err != nil || !ok {
		return 0, false
	}
	f.HandleRating(got)
	return got.Quality, true
}

// HandleRating counts a rating. Ratings of answers that aren't pending here are ignored: they are duplicates, too late, or of
// other nodes.
func (f *Feed) HandleRating(received rating.Rating) {
	rated, ok := f.takePending(received.RequestID)
	if !ok {
		f.opts.Metrics.Counter("ratings_not_awaited").Inc(1)
		return
	}
	choice := rated.Choice
	escalated := !choice.EscalateTo.IsZero() && rated.Version == choice.EscalateTo
	replaced := !choice.EscalateTo.IsZero() && !escalated && received.Quality < choice.EscalateBelow
	f.opts.RatingCounter.Record(cascade.RecordOptions{
		Service: rated.Service, Class: rated.Class, Arm: cascade.Arm{First: choice.First, Then: choice.EscalateTo},
		Quality: received.Quality, Escalated: escalated,
	}, replaced, time.Now())
	f.opts.Trials.Rated(rated.RequestID, rated.Version, received.Quality)
	f.opts.Metrics.Histogram("quality_thousandths", metric.Label{Name: "version", Value: rated.Version.String()}).
		Update(int64(received.Quality * 1000))
}

func (f *Feed) addPending(rated router.RatedAnswer) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for first := f.order.Front(); first != nil; first = f.order.Front() {
		oldest := first.Value.(*pendingAnswer)
		if f.order.Len() < maxPending && now.Sub(oldest.since) < pendingTimeout {
			break
		}
		f.order.Remove(first)
		delete(f.pending, oldest.id)
	}
	id := ratingID(rated)
	if known, ok := f.pending[id]; ok {
		f.order.Remove(known)
	}
	// The texts are needed only for the submission.
	kept := rated
	kept.Prompt = nil
	kept.Answer = ""
	f.pending[id] = f.order.PushBack(&pendingAnswer{id: id, answer: kept, since: now})
}

func (f *Feed) takePending(id api.RequestID) (router.RatedAnswer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	element, ok := f.pending[id]
	if !ok {
		return router.RatedAnswer{}, false
	}
	delete(f.pending, id)
	return f.order.Remove(element).(*pendingAnswer).answer, true
}

func ratingID(rated router.RatedAnswer) api.RequestID {
	if !rated.Choice.EscalateTo.IsZero() && rated.Version == rated.Choice.EscalateTo {
		return rated.RequestID + escalatedSuffix
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
