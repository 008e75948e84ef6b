// Package versionchoice keeps what a node knows of the quality of versions and picks the version of each request.
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
	// refreshInterval is how often the estimates are made anew from the counters.
	refreshInterval = time.Second
	// defaultLatency is assumed of a version whose answers were not timed yet.
	defaultLatency = time.Second
	// latencyWeight is the weight of the newest answer in a version's latency.
	latencyWeight = 0.05
	// inTimeWeight is the weight of the newest rating in the part that comes in time.
	inTimeWeight = 0.05
	// startInTime is the part of ratings that is assumed to come in time at first.
	startInTime = 0.5
	// answerTokens is the length assumed of an answer that is not bounded.
	answerTokens = 200
	// cascadeShare is the part of the time left to the deadline within which a cascade must be whole.
	cascadeShare = 0.5
)

// Options holds what a choice is made of.
type Options struct {
	Incarnation   api.Incarnation
	FailureDomain api.FailureDomain
	// RatingTimeout is how long a cascade waits for a rating; 0 allows no cascade.
	RatingTimeout time.Duration
	Rand          *rand.Rand
}

// Chooser implements router.VersionChooser.
type Chooser struct {
	opts      Options
	estimates atomic.Pointer[cascade.Estimates]

	mu       sync.Mutex
	counters *cascade.Counters
	// latency holds the learnt time to a whole answer of each version.
	latency map[api.VersionID]time.Duration
	// inTime is the learnt part of ratings that came within RatingWait.
	inTime float64
}

// New returns a choice that knows no ratings.
func New(opts Options) *Chooser {
	c := &Chooser{
		opts: opts, counters: cascade.NewCounters(), latency: make(map[api.VersionID]time.Duration), inTime: startInTime,
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

// input gathers what a choice rests on; c.mu is held.
func (c *Chooser) input(req router.VersionRequest) cascade.Input {
	in := cascade.Input{
		Service: req.Service, Class: req.Class, Pin: req.Pin, Target: req.Policy.QualityTarget,
		Exploration: req.Policy.Exploration, Cascade: req.Policy.Cascade && req.MayEscalate && c.opts.RatingTimeout > 0,
		Timeout:      time.Duration(cascadeShare * float64(req.Deadline.Sub(req.Now))),
		PromptTokens: req.PromptTokens, AnswerTokens: req.MaxAnswerTokens, RatedInTimeShare: c.inTime, RatingTimeout: c.opts.RatingTimeout,
		Estimates: c.estimates.Load(), Rand: c.opts.Rand,
	}
	if in.AnswerTokens == 0 || in.AnswerTokens > answerTokens {
		in.AnswerTokens = answerTokens
	}
	for _, candidate := range req.Eligible {
		in.Versions = append(in.Versions, c.candidate(candidate))
	}
	return in
}

func (c *Chooser) candidate(from router.EligibleVersion) cascade.EligibleVersion {
	candidate := cascade.EligibleVersion{
		Version: from.ID, PromptCost: from.Version.PromptCost, AnswerCost: from.Version.AnswerCost,
		Share: 1, Prior: from.Version.PriorQuality, Latency: defaultLatency,
	}
	if from.Version.State == fleet.StateCandidate {
		candidate.Share = from.Version.Share
	}
	if from.Version.State == fleet.StateDraining {
		candidate.Share = 0
	}
	if learnt, ok := c.latency[from.ID]; ok {
		candidate.Latency = learnt
	}
	return candidate
}

// ObserveLatency learns from the time to a version's whole answer.
func (c *Chooser) ObserveLatency(v api.VersionID, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	learnt, ok := c.latency[v]
	if !ok {
		c.latency[v] = took
		return
	}
	c.latency[v] = learnt + time.Duration(latencyWeight*float64(took-learnt))
}

// ObserveInTime learns whether a rating that a cascade waited for came in time.
func (c *Chooser) ObserveInTime(came bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := 0.0
	if came {
		seen = 1
	}
	c.inTime += inTimeWeight * (seen - c.inTime)
}

// Record counts a rating of the answer that a caller kept, or of a first answer that was escalated.
func (c *Chooser) Record(opts cascade.RecordOptions, replaced bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if replaced {
		c.counters.RecordEscalated(c.opts.Incarnation, opts, now)
		return
	}
	c.counters.Record(c.opts.Incarnation, opts, now)
}

// Merge takes in ratings that other nodes counted.
func (c *Chooser) Merge(records []cascade.SeriesRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Merge(records)
}

// Snapshot returns the series for peers of the own failure domain.
func (c *Chooser) Snapshot() []cascade.SeriesRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters.Snapshot()
}

// Aggregate returns the failure domain's sums for peers of others.
func (c *Chooser) Aggregate() []cascade.SeriesRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters.Aggregate(c.opts.FailureDomain)
}

// Estimate returns what is known of a version in a class.
func (c *Chooser) Estimate(service api.Service, class api.Class, v api.VersionID) cascade.Estimate {
	return c.estimates.Load().Find(cascade.Key{Service: service, Class: class, Arm: cascade.Arm{First: v}})
}

// Run is a duty: it makes the estimates anew from the counters.
func (c *Chooser) Run(ctx context.Context) error {
	return sleep.Every(ctx, refreshInterval, c.refresh)
}

func (c *Chooser) refresh(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimates.Store(c.counters.Estimates(c.opts.FailureDomain, now))
}
