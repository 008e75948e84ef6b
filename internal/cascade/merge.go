package cascade

import (
	"cmp"
	"slices"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// SeriesRecord is one series as sent between nodes.
type SeriesRecord struct {
	Source Reporter
	Key    Key
	Series Series
}

// Snapshot returns copies of all series, ordered by reporter and key.
func (c *Counters) Snapshot() []SeriesRecord {
	var records []SeriesRecord
	for reporter, keys := range c.reporters {
		for key, series := range keys {
			records = append(records, SeriesRecord{Source: reporter, Key: key, Series: series.clone()})
		}
	}
	slices.SortFunc(records, func(a, b SeriesRecord) int {
		return cmp.Or(a.Source.compare(b.Source), a.Key.compare(b.Key))
	})
	return records
}

// Merge merges series that a peer sent. It is idempotent and commutative.
func (c *Counters) Merge(records []SeriesRecord) {
	for _, record := range records {
		if series, ok := c.series(record.Source, record.Key); ok {
			series.merge(record.Series)
		}
	}
}

// MergeFrom merges all series of another node's counters. It has the same result as Merge of their snapshot.
func (c *Counters) MergeFrom(other *Counters) {
	for reporter, keys := range other.reporters {
		for key, theirs := range keys {
			if series, ok := c.series(reporter, key); ok {
				series.merge(*theirs)
			}
		}
	}
}

// Aggregate returns the sums over all incarnations as series of the node's failure domain, to be sent to other failure
// domains. The sums of different nodes differ by the series that each has received; Merge keeps those with more ratings.
func (c *Counters) Aggregate(domain api.FailureDomain) []SeriesRecord {
	sums := NewCounters()
	reporter := Reporter{FailureDomain: domain}
	for _, record := range c.Snapshot() {
		if record.Source.Incarnation == "" {
			continue
		}
		if sum, ok := sums.series(reporter, record.Key); ok {
			sum.add(record.Series)
		}
	}
	return sums.Snapshot()
}

// Retain drops the series of incarnations for which keep returns false. Drop those of an ended incarnation only
// once its ratings are part of the failure domain's sum or too old to matter.
func (c *Counters) Retain(keep func(api.Incarnation) bool) {
	for reporter := range c.reporters {
		if reporter.Incarnation != "" && !keep(reporter.Incarnation) {
			delete(c.reporters, reporter)
		}
	}
}

func (s *Series) clone() Series {
	return Series{Total: s.Total, Recent: slices.Clone(s.Recent)}
}

// merge keeps, of the total and of each epoch, the state with more ratings.
func (s *Series) merge(other Series) {
	if other.Total.Ratings > s.Total.Ratings {
		s.Total = other.Total
	}
	s.combine(other, func(own *RatingStats, theirs RatingStats) {
		if theirs.Ratings > own.Ratings {
			*own = theirs
		}
	})
}

// add adds the ratings of another reporter's series.
func (s *Series) add(other Series) {
	s.Total.add(other.Total)
	s.combine(other, func(own *RatingStats, theirs RatingStats) { own.add(theirs) })
}

// combine applies join to the recent statistics of two series, epoch by epoch, and keeps the newest epochs.
func (s *Series) combine(other Series, join func(own *RatingStats, theirs RatingStats)) {
	for _, theirs := range other.Recent {
		i, found := slices.BinarySearchFunc(s.Recent, theirs.Epoch, func(e EpochStats, epoch int64) int {
			return cmp.Compare(e.Epoch, epoch)
		})
		if !found {
			s.Recent = slices.Insert(s.Recent, i, EpochStats{Epoch: theirs.Epoch})
		}
		join(&s.Recent[i].Cell, theirs.Cell)
	}
	if extra := len(s.Recent) - KeptEpochs; extra > 0 {
		s.Recent = slices.Delete(s.Recent, 0, extra)
	}
}

func (r Reporter) compare(other Reporter) int {
	return cmp.Or(cmp.Compare(r.FailureDomain, other.FailureDomain), cmp.Compare(r.Incarnation, other.Incarnation))
}

func (k Key) compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.Service, other.Service),
		cmp.Compare(k.Class, other.Class),
		cmp.Compare(k.Arm.First.String(), other.Arm.First.String()),
		cmp.Compare(k.Arm.Then.String(), other.Arm.Then.String()),
	)
}
