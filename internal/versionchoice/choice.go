// Package versionchoice keeps a node's estimates of the quality of versions and chooses the version of each request.
package versionchoice

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/cascade"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// refreshInterval is the interval at which the estimates are recomputed from the counters.
	refreshInterval = time.Second
	// defaultLatency is the latency assumed of a version without observed answers.
	defaultLatency = time.Second
	// latencyWeight is the weight of one answer in the moving average of a version's latency.
	latencyWeight = 0.05
	// inTimeShareWeight is the weight of one rating in the moving average of the share of ratings that arrive in time.
	inTimeShareWeight = 0.05
	// initialInTimeShare is the share of ratings assumed to arrive in time before any was observed.
	initialInTimeShare = 0.5
	// defaultAnswerTokens is the expected length of an answer, unless the request sets a lower maximum.
	defaultAnswerTokens = 200
	// cascadeTimeShare is the fraction of the time left to the deadline within which a cascade must complete.
	cascadeTimeShare = 0.5
)

// Options configures New.
type Options struct {
	Incarnation   api.Incarnation
	FailureDomain api.FailureDomain
	// RatingTimeout is how long a cascade waits for a rating; 0 disables cascades.
	RatingTimeout time.Duration
	Rand          *rand.Rand
}

// Chooser implements router.VersionChooser.
type Chooser struct {
	opts      Options
	estimates atomic.Pointer[cascade.Estimates]

	mu       sync.Mutex
	counters *cascade.Counters
	// latency is the moving average of each version's time to a complete answer.
	latency map[api.VersionID]time.Duration
	// inTimeShare is the moving average of the share of ratings that arrive within Options.RatingTimeout.
	inTimeShare float64
}

// New returns a chooser without ratings.
func New(opts Options) *Chooser {
	c := &Chooser{
		opts: opts, counters: cascade.NewCounters(), latency: make(map[api.VersionID]time.Duration), inTimeShare: initialInTimeShare,
	}
	c.refresh(time.Time{})
	return c
}

// ChooseVersion implements router.VersionChooser.
func (c *Chooser) ChooseVersion(req router.VersionRequest) (router.VersionChoice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	decision, ok := cascade.Choose(c.input(req))
	if !ok {
		return router.VersionChoice{}, false
	}
	return router.VersionChoice{
		First: decision.Arm.First, EscalateTo: decision.Arm.Then, EscalateBelow: decision.EscalateBelow, Reason: string(decision.Reason),
	}, true
}

// input builds the input of cascade.Choose; the caller holds c.mu.
func (c *Chooser) input(req router.VersionRequest) cascade.Input {
	in := cascade.Input{
		Service: req.Service, Class: req.Class, Pin: req.Pin, Target: req.Policy.QualityTarget,
		Exploration: req.Policy.Exploration, Cascade: req.Policy.Cascade && req.MayEscalate && c.opts.RatingTimeout > 0,
		Timeout:      time.Duration(cascadeTimeShare * float64(req.Deadline.Sub(req.Now))),
		PromptTokens: req.PromptTokens, AnswerTokens: req.MaxAnswerTokens, RatedInTimeShare: c.inTimeShare, RatingTimeout: c.opts.RatingTimeout,
		Estimates: c.estimates.Load(), Rand: c.opts.Rand,
	}
	if in.AnswerTokens == 0 || in.AnswerTokens > defaultAnswerTokens {
		in.AnswerTokens = defaultAnswerTokens
	}
	for _, version := range req.Eligible {
		in.Versions = append(in.Versions, c.eligibleVersion(version))
	}
	return in
}

func (c *Chooser) eligibleVersion(from router.EligibleVersion) cascade.EligibleVersion {
	version := cascade.EligibleVersion{
		Version: from.ID, PromptCost: from.Version.PromptCost, AnswerCost: from.Version.AnswerCost,
		Share: 1, Prior: from.Version.PriorQuality, Latency: defaultLatency,
	}
	if from.Version.State == fleet.StateCandidate {
		version.Share = from.Version.Share
	}
	if from.Version.State == fleet.StateDraining {
		version.Share = 0
	}
	if average, ok := c.latency[from.ID]; ok {
		version.Latency = average
	}
	return version
}

// ObserveLatency records the time to a complete answer of a version.
func (c *Chooser) ObserveLatency(v api.VersionID, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	average, ok := c.latency[v]
	if !ok {
		c.latency[v] = took
		return
	}
	c.latency[v] = average + time.Duration(latencyWeight*float64(took-average))
}

// ObserveRatingArrival records whether a rating that a cascade waited for arrived in time.
func (c *Chooser) ObserveRatingArrival(inTime bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sample := 0.0
	if inTime {
		sample = 1
	}
	c.inTimeShare += inTimeShareWeight * (sample - c.inTimeShare)
}

// Record counts a rating of the answer that the caller got or, if replaced is set, of a first answer that was escalated.
func (c *Chooser) Record(opts cascade.RecordOptions, replaced bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if replaced {
		c.counters.RecordEscalated(c.opts.Incarnation, opts, now)
		return
	}
	c.counters.Record(c.opts.Incarnation, opts, now)
}

// Merge merges the ratings counted by other nodes.
func (c *Chooser) Merge(records []cascade.SeriesRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Merge(records)
}

// Snapshot returns the series to publish to peers in this node's failure domain.
func (c *Chooser) Snapshot() []cascade.SeriesRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters.Snapshot()
}

// Aggregate returns the sums over this node's failure domain to publish to peers in other failure domains.
func (c *Chooser) Aggregate() []cascade.SeriesRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters.Aggregate(c.opts.FailureDomain)
}

// Estimate returns the estimate of a version's quality in a class.
func (c *Chooser) Estimate(service api.Service, class api.Class, v api.VersionID) cascade.Estimate {
	return c.estimates.Load().Find(cascade.Key{Service: service, Class: class, Arm: cascade.Arm{First: v}})
}

// Run recomputes the estimates from the counters every refreshInterval until ctx is cancelled.
func (c *Chooser) Run(ctx context.Context) error {
	return sleep.Every(ctx, refreshInterval, c.refresh)
}

func (c *Chooser) refresh(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimates.Store(c.counters.Estimates(c.opts.FailureDomain, now))
}
