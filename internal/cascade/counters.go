// Package cascade chooses the model and version of a request: the cheapest that meets the quality target,
// alone or as a cascade whose cheap answer is rated and escalated. It keeps the ratings that the choice
// rests on as counters that merge between nodes. It does no I/O and holds no clock.
package cascade

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Bounds of the counters.
const (
	// EpochLength is the time that one fine cell covers.
	EpochLength = 2 * time.Minute
	// KeptEpochs is the number of fine cells kept for each key; older ratings stay in the total alone.
	KeptEpochs = 8
	// MaxSources is the largest number of sources; ratings of further ones are dropped.
	MaxSources = 256
	// MaxKeys is the largest number of keys of a source; ratings for further ones are dropped.
	MaxKeys = 1024
	// Buckets is the number of equal parts of the quality range in a cell's histogram.
	Buckets = 10
)

// Arm is what a request may be answered with: one version, or a first version whose answer,
// if it is rated too low, is replaced by that of a second.
type Arm struct {
	First api.VersionID
	// Then is zero for an arm without escalation.
	Then api.VersionID `json:",omitzero"`
}

// IsCascade reports whether the arm escalates.
func (a Arm) IsCascade() bool { return !a.Then.IsZero() }

// Key names what ratings are counted for: the answers of a version, those of a cascade's second version
// to requests that its first answered badly, or, with a zero arm, all answers that callers kept.
type Key struct {
	Service api.Service
	Class   api.Class
	Arm     Arm
}

// Cell holds the sufficient statistics of the ratings of one key. Every field only grows,
// so that of two states of the same cell the one with more ratings is the newer.
type Cell struct {
	// Ratings counts the ratings.
	Ratings uint64
	// Sum and SumSquares are of the qualities, in millionths.
	Sum, SumSquares uint64
	// Histogram counts the ratings by tenths of the quality range.
	Histogram [Buckets]uint32
}

const qualityUnit = 1_000_000

func (c *Cell) add(quality api.Quality) {
	q := min(max(float64(quality), 0), 1)
	c.Ratings++
	c.Sum += uint64(q * qualityUnit)
	c.SumSquares += uint64(q * q * qualityUnit)
	c.Histogram[min(int(q*Buckets), Buckets-1)]++
}

func (c *Cell) plus(other Cell) {
	c.Ratings += other.Ratings
	c.Sum += other.Sum
	c.SumSquares += other.SumSquares
	for i := range c.Histogram {
		c.Histogram[i] += other.Histogram[i]
	}
}

// minus takes away a cell that is a part of c.
func (c *Cell) minus(part Cell) {
	c.Ratings -= min(c.Ratings, part.Ratings)
	c.Sum -= min(c.Sum, part.Sum)
	c.SumSquares -= min(c.SumSquares, part.SumSquares)
	for i := range c.Histogram {
		c.Histogram[i] -= min(c.Histogram[i], part.Histogram[i])
	}
}

// EpochCell is a cell of the ratings that came within one epoch.
type EpochCell struct {
	// Epoch numbers the epochs since the Unix epoch.
	Epoch int64
	Cell  Cell
}

// Series holds the ratings of one key from one source.
type Series struct {
	// Total covers every rating since the source began.
	Total Cell
	// Recent holds at most KeptEpochs cells, the newest last; each is a part of Total.
	Recent []EpochCell
}

// Source names who counted: a node's incarnation, or a failure domain whose nodes' counters were summed.
// One of the two fields is set.
type Source struct {
	Incarnation   api.Incarnation   `json:",omitempty"`
	FailureDomain api.FailureDomain `json:",omitempty"`
}

// Counters holds the ratings that a node knows of, by source. It isn't safe for concurrent use.
//
// A node counts its own ratings under its incarnation, exchanges the sources of its failure domain as they are,
// and gives other failure domains only the sum of its own (see Aggregate), so that what it holds grows
// with the nodes of one failure domain and the number of failure domains.
type Counters struct {
	sources map[Source]map[Key]*Series
	// dropped counts the ratings that went over a bound.
	dropped uint64
}

// NewCounters returns empty counters.
func NewCounters() *Counters {
	return &Counters{sources: map[Source]map[Key]*Series{}}
}

// Dropped counts the ratings and series that were dropped because a bound was reached.
func (c *Counters) Dropped() uint64 { return c.dropped }

// RecordOptions describes a rating that came in.
type RecordOptions struct {
	Service api.Service
	Class   api.Class
	// Arm is what the request was answered with.
	Arm Arm
	// Quality is the rating of the answer that the caller kept.
	Quality api.Quality
	// Escalated tells that the kept answer is that of Arm.Then.
	Escalated bool
}

// Record counts the rating of the answer that a caller kept under the node's own incarnation.
func (c *Counters) Record(own api.Incarnation, opts RecordOptions, now time.Time) {
	arm := opts.Arm
	if !opts.Escalated {
		arm = Arm{First: opts.Arm.First}
	}
	c.add(own, Key{opts.Service, opts.Class, arm}, opts.Quality, now)
	c.add(own, servedKey(opts.Service, opts.Class), opts.Quality, now)
}

// RecordEscalated counts the rating of a first answer that was escalated; it tells about the first version alone.
func (c *Counters) RecordEscalated(own api.Incarnation, opts RecordOptions, now time.Time) {
	c.add(own, Key{opts.Service, opts.Class, Arm{First: opts.Arm.First}}, opts.Quality, now)
}

// servedKey is the key of the answers that a class's callers kept, whatever gave them.
func servedKey(service api.Service, class api.Class) Key {
	return Key{Service: service, Class: class}
}

func (c *Counters) add(own api.Incarnation, key Key, quality api.Quality, now time.Time) {
	series, ok := c.series(Source{Incarnation: own}, key)
	if !ok {
		return
	}
	series.Total.add(quality)
	series.epoch(EpochOf(now)).add(quality)
}

// EpochOf returns the number of the epoch of a time.
func EpochOf(t time.Time) int64 { return t.Unix() / int64(EpochLength/time.Second) }

// epoch returns the cell of an epoch, which must not be older than the newest.
func (s *Series) epoch(number int64) *Cell {
	if n := len(s.Recent); n > 0 && s.Recent[n-1].Epoch >= number {
		return &s.Recent[n-1].Cell
	}
	if len(s.Recent) == KeptEpochs {
		s.Recent = append(s.Recent[:0], s.Recent[1:]...)
	}
	s.Recent = append(s.Recent, EpochCell{Epoch: number})
	return &s.Recent[len(s.Recent)-1].Cell
}

func (c *Counters) series(source Source, key Key) (*Series, bool) {
	keys, ok := c.sources[source]
	if !ok {
		if len(c.sources) >= MaxSources {
			c.dropped++
			return nil, false
		}
		keys = map[Key]*Series{}
		c.sources[source] = keys
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
