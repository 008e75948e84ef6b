package cascade

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Estimate is what the ratings of one key say.
type Estimate struct {
	// Ratings is the number of ratings that the estimate rests on.
	Ratings float64
	// Mean and Variance are those of the ratings; both 0 without ratings.
	Mean, Variance float64
	// Drifted tells that recent ratings differ from older ones, which are left out.
	Drifted bool

	histogram [Buckets]float64
}

// below returns the part of the ratings under a quality.
func (e *Estimate) below(quality api.Quality) float64 {
	if e.Ratings == 0 {
		return 0
	}
	edge := float64(quality) * Buckets
	sum := 0.0
	for i, n := range e.histogram {
		sum += n * min(max(edge-float64(i), 0), 1)
	}
	return sum / e.Ratings
}

// Estimates is a snapshot of what is known about every arm; it is never changed once made.
type Estimates struct {
	arms map[Key]Estimate
}

// Find returns the estimate of a key; it has no ratings if the key is unknown.
func (e *Estimates) Find(key Key) Estimate {
	if e == nil {
		return Estimate{}
	}
	return e.arms[key]
}

// FindServed returns what the recent ratings say about the answers that a class's callers kept.
func (e *Estimates) FindServed(service api.Service, class api.Class) Estimate {
	return e.Find(servedKey(service, class))
}

// driftBound is the number of standard errors by which recent and older ratings differ in a drift.
const driftBound = 4

// minRecent is the number of recent ratings from which a drift may be seen.
const minRecent = 20

// Estimates sums the sources into a snapshot. The sources of the node's own failure domain count one by one;
// leave is the node's own failure domain, whose sum is left out so that nothing counts twice.
func (c *Counters) Estimates(leave api.FailureDomain, now time.Time) *Estimates {
	totals := map[Key]*Series{}
	for source, keys := range c.sources {
		if source.FailureDomain != "" && source.FailureDomain == leave {
			continue
		}
		for key, series := range keys {
			total, ok := totals[key]
			if !ok {
				total = &Series{}
				totals[key] = total
			}
			total.plus(*series)
		}
	}
	est := &Estimates{arms: make(map[Key]Estimate, len(totals))}
	for key, series := range totals {
		if key.Arm == (Arm{}) {
			served := series.last(KeptEpochs, now)
			est.arms[key] = served.estimate()
			continue
		}
		est.arms[key] = series.estimate(now)
	}
	return est
}

// last sums the cells of the last epochs.
func (s *Series) last(epochs int64, now time.Time) Cell {
	oldest := EpochOf(now) - epochs + 1
	var sum Cell
	for _, e := range s.Recent {
		if e.Epoch >= oldest {
			sum.plus(e.Cell)
		}
	}
	return sum
}

// estimate uses every rating unless those of the last epochs differ from the older ones by more than chance explains.
func (s *Series) estimate(now time.Time) Estimate {
	found := s.Total.estimate()
	strongest := float64(driftBound)
	for epochs := int64(1); epochs <= KeptEpochs; epochs++ {
		newest := s.last(epochs, now)
		older := s.Total
		older.minus(newest)
		if newest.Ratings < minRecent || older.Ratings < minRecent {
			continue
		}
		if errors := standardErrors(newest.estimate(), older.estimate()); errors > strongest {
			strongest = errors
			found = newest.estimate()
			found.Drifted = true
		}
	}
	return found
}

// standardErrors returns by how many standard errors two means differ.
func standardErrors(a, b Estimate) float64 {
	spread := math.Sqrt((a.Variance+varianceFloor)/a.Ratings + (b.Variance+varianceFloor)/b.Ratings)
	return math.Abs(a.Mean-b.Mean) / spread
}

// varianceFloor keeps a few equal ratings from looking certain.
const varianceFloor = 1e-4

func (c *Cell) estimate() Estimate {
	if c.Ratings == 0 {
		return Estimate{}
	}
	n := float64(c.Ratings)
	mean := float64(c.Sum) / n / qualityUnit
	est := Estimate{
		Ratings:  n,
		Mean:     mean,
		Variance: max(float64(c.SumSquares)/n/qualityUnit-mean*mean, 0),
	}
	for i, count := range c.Histogram {
		est.histogram[i] = float64(count)
	}
	return est
}
