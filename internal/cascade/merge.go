package cascade

import (
	"cmp"
	"slices"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// SeriesRecord is one series as it travels between nodes.
type SeriesRecord struct {
	Source Source
	Key    Key
	Series Series
}

// Snapshot returns copies of all series, in a fixed order.
func (c *Counters) Snapshot() []SeriesRecord {
	var records []SeriesRecord
	for source, keys := range c.sources {
		for key, series := range keys {
			records = append(records, SeriesRecord{Source: source, Key: key, Series: series.clone()})
		}
	}
	slices.SortFunc(records, func(a, b SeriesRecord) int {
		return cmp.Or(a.Source.compare(b.Source), a.Key.compare(b.Key))
	})
	return records
}

// Merge takes in series that another node sent. It is idempotent, and the order of merges doesn't matter.
func (c *Counters) Merge(records []SeriesRecord) {
	for _, record := range records {
		if series, ok := c.series(record.Source, record.Key); ok {
			series.merge(record.Series)
		}
	}
}

// MergeFrom takes in all that another node's counters hold, as Merge does with its snapshot.
func (c *Counters) MergeFrom(other *Counters) {
	for source, keys := range other.sources {
		for key, theirs := range keys {
			if series, ok := c.series(source, key); ok {
				series.merge(*theirs)
			}
		}
	}
}

// Aggregate returns the sums over every incarnation as series of one failure domain, for other failure domains.
// Sums made by different nodes differ by what they have heard of; merging keeps the fuller.
func (c *Counters) Aggregate(domain api.FailureDomain) []SeriesRecord {
	sums := NewCounters()
	source := Source{FailureDomain: domain}
	for _, record := range c.Snapshot() {
		if record.Source.Incarnation == "" {
			continue
		}
		if sum, ok := sums.series(source, record.Key); ok {
			sum.plus(record.Series)
		}
	}
	return sums.Snapshot()
}

// Retain drops the sources of incarnations that are gone for which keep returns false.
// Call it once their ratings are part of the failure domain's sum or too old to matter.
func (c *Counters) Retain(keep func(api.Incarnation) bool) {
	for source := range c.sources {
		if source.Incarnation != "" && !keep(source.Incarnation) {
			delete(c.sources, source)
		}
	}
}

func (s *Series) clone() Series {
	return Series{Total: s.Total, Recent: slices.Clone(s.Recent)}
}

// merge keeps, of each cell, the state with more ratings.
func (s *Series) merge(other Series) {
	if other.Total.Ratings > s.Total.Ratings {
		s.Total = other.Total
	}
	s.combine(other, func(mine *Cell, theirs Cell) {
		if theirs.Ratings > mine.Ratings {
			*mine = theirs
		}
	})
}

// plus adds another source's series.
func (s *Series) plus(other Series) {
	s.Total.plus(other.Total)
	s.combine(other, func(mine *Cell, theirs Cell) { mine.plus(theirs) })
}

// combine joins the recent cells of two series epoch by epoch and keeps the newest epochs.
func (s *Series) combine(other Series, join func(mine *Cell, theirs Cell)) {
	for _, theirs := range other.Recent {
		i, found := slices.BinarySearchFunc(s.Recent, theirs.Epoch, func(e EpochCell, epoch int64) int {
			return cmp.Compare(e.Epoch, epoch)
		})
		if !found {
			s.Recent = slices.Insert(s.Recent, i, EpochCell{Epoch: theirs.Epoch})
		}
		join(&s.Recent[i].Cell, theirs.Cell)
	}
	if extra := len(s.Recent) - KeptEpochs; extra > 0 {
		s.Recent = slices.Delete(s.Recent, 0, extra)
	}
}

func (s Source) compare(other Source) int {
	return cmp.Or(cmp.Compare(s.FailureDomain, other.FailureDomain), cmp.Compare(s.Incarnation, other.Incarnation))
}

func (k Key) compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.Service, other.Service),
		cmp.Compare(k.Class, other.Class),
		cmp.Compare(k.Arm.First.String(), other.Arm.First.String()),
		cmp.Compare(k.Arm.Then.String(), other.Arm.Then.String()),
	)
}
