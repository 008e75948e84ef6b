// Package cascade selects the model and version for a request: the cheapest that meets the quality target, either
// a single version or a cascade, whose first answer comes from a cheap version and is escalated if it is rated too low.
// The selection uses ratings, which are kept in mergeable counters that nodes exchange. The package does no I/O and reads
// no clock.
package cascade

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Bounds of the counters.
const (
	// EpochLength is the length of the time range that one EpochStats covers.
	EpochLength = 2 * time.Minute
	// KeptEpochs is the number of epochs kept for each series; older ratings are only part of the total.
	KeptEpochs = 8
	// MaxReporters is the largest number of reporters; ratings of further ones are dropped.
	MaxReporters = 256
	// MaxKeys is the largest number of keys per reporter; ratings for further ones are dropped.
	MaxKeys = 1024
	// Buckets is the number of histogram buckets, which divide the quality range into equal parts.
	Buckets = 10
)

// Arm is one of the alternatives for answering a request, as in a multi-armed bandit: a single version, or a cascade of
// a first version and a second one whose answer replaces the first answer if that is rated too low.
type Arm struct {
	First api.VersionID
	// Then is the second version of a cascade; zero for a single version.
	Then api.VersionID `json:",omitzero"`
}

// IsCascade reports whether the arm is a cascade.
func (a Arm) IsCascade() bool { return !a.Then.IsZero() }

// Key identifies a set of rated answers: those of a single version, those of a cascade's second version
// to escalated requests, or, if Arm is zero, all answers that callers kept.
type Key struct {
	Service api.Service
	Class   api.Class
	Arm     Arm
}

// RatingStats holds the sufficient statistics of a set of ratings. Every field only grows, so that of two states of the
// same statistics the one with more ratings is the newer.
type RatingStats struct {
	// Ratings counts the ratings.
	Ratings uint64
	// Sum and SumSquares are the sums of the qualities and of their squares, in millionths.
	Sum, SumSquares uint64
	// Histogram counts the ratings in each tenth of the quality range.
	Histogram [Buckets]uint32
}

const qualityUnit = 1_000_000

func (s *RatingStats) record(quality api.Quality) {
	q := min(max(float64(quality), 0), 1)
	s.Ratings++
	s.Sum += uint64(q * qualityUnit)
	s.SumSquares += uint64(q * q * qualityUnit)
	s.Histogram[min(int(q*Buckets), Buckets-1)]++
}

func (s *RatingStats) add(other RatingStats) {
	s.Ratings += other.Ratings
	s.Sum += other.Sum
	s.SumSquares += other.SumSquares
	for i := range s.Histogram {
		s.Histogram[i] += other.Histogram[i]
	}
}

// subtract removes the ratings of subset, which must be contained in s.
func (s *RatingStats) subtract(subset RatingStats) {
	s.Ratings -= min(s.Ratings, subset.Ratings)
	s.Sum -= min(s.Sum, subset.Sum)
	s.SumSquares -= min(s.SumSquares, subset.SumSquares)
	for i := range s.Histogram {
		s.Histogram[i] -= min(s.Histogram[i], subset.Histogram[i])
	}
}

// EpochStats holds the statistics of the ratings received in one epoch.
type EpochStats struct {
	// Epoch is the number of the epoch, counted from the Unix epoch.
	Epoch int64
	Cell  RatingStats
}

// Series holds the ratings of one key from one reporter.
type Series struct {
	// Total covers all ratings since the reporter started.
	Total RatingStats
	// Recent holds the latest epochs with ratings, at most KeptEpochs, the newest last. They are also counted in Total.
	Recent []EpochStats
}

// Reporter identifies who counted a series: the incarnation of a node, or a failure domain whose nodes' counters were
// summed. Exactly one of the two fields is set.
type Reporter struct {
	Incarnation   api.Incarnation   `json:",omitempty"`
	FailureDomain api.FailureDomain `json:",omitempty"`
}

// Counters holds a node's own ratings and those received from peers, by reporter. It isn't safe for concurrent use.
//
// A node counts its own ratings under its incarnation. It exchanges series unchanged within its failure domain and sends
// only their sum to other failure domains (see Aggregate), so that the size of Counters grows with the number of nodes
// in one failure domain plus the number of failure domains.
type Counters struct {
	reporters map[Reporter]map[Key]*Series
	// dropped counts the ratings and series that were dropped because of MaxReporters or MaxKeys.
	dropped uint64
}

// NewCounters returns empty counters.
func NewCounters() *Counters {
	return &Counters{reporters: map[Reporter]map[Key]*Series{}}
}

// Dropped returns the number of ratings and series that were dropped because of MaxReporters or MaxKeys.
func (c *Counters) Dropped() uint64 { return c.dropped }

// RecordOptions describes a received rating.
type RecordOptions struct {
	Service api.Service
	Class   api.Class
	// Arm is the arm that answered the request.
	Arm Arm
	// Quality is the rating of the answer.
	Quality api.Quality
	// Escalated is true if the rated answer is that of Arm.Then.
	Escalated bool
}

// Record counts the rating of an answer that a caller kept, under the node's own incarnation.
func (c *Counters) Record(own api.Incarnation, opts RecordOptions, now time.Time) {
	arm := opts.Arm
	if !opts.Escalated {
		arm = Arm{First: opts.Arm.First}
	}
	c.record(own, Key{opts.Service, opts.Class, arm}, opts.Quality, now)
	c.record(own, servedKey(opts.Service, opts.Class), opts.Quality, now)
}

// RecordEscalated counts the rating of a first answer that was escalated. It counts only for the first version, not as
// an answer that a caller kept.
func (c *Counters) RecordEscalated(own api.Incarnation, opts RecordOptions, now time.Time) {
	c.record(own, Key{opts.Service, opts.Class, Arm{First: opts.Arm.First}}, opts.Quality, now)
}

// servedKey returns the key of all answers that a class's callers kept, of any arm.
func servedKey(service api.Service, class api.Class) Key {
	return Key{Service: service, Class: class}
}

func (c *Counters) record(own api.Incarnation, key Key, quality api.Quality, now time.Time) {
	series, ok := c.series(Reporter{Incarnation: own}, key)
	if !ok {
		return
	}
	series.Total.record(quality)
	series.epoch(EpochOf(now)).record(quality)
}

// EpochOf returns the number of the epoch that contains t.
func EpochOf(t time.Time) int64 { return t.Unix() / int64(EpochLength/time.Second) }

// epoch returns the statistics of an epoch, adding it if it is newer than the newest; an older epoch yields the newest.
func (s *Series) epoch(number int64) *RatingStats {
	if n := len(s.Recent); n > 0 && s.Recent[n-1].Epoch >= number {
		return &s.Recent[n-1].Cell
	}
	if len(s.Recent) == KeptEpochs {
		s.Recent = append(s.Recent[:0], s.Recent[1:]...)
	}
	s.Recent = append(s.Recent, EpochStats{Epoch: number})
	return &s.Recent[len(s.Recent)-1].Cell
}

func (c *Counters) series(reporter Reporter, key Key) (*Series, bool) {
	keys, ok := c.reporters[reporter]
	if !ok {
		if len(c.reporters) >= MaxReporters {
			c.dropped++
			return nil, false
		}
		keys = map[Key]*Series{}
		c.reporters[reporter] = keys
	}
	series, ok := keys[key]
	if !ok {
		if len(keys) >= MaxKeys {
			c.dropped++
			return nil, false
		}
		series = &Series{}
		keys[key] = series
	}
	return series, true
}
