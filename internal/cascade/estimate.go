package cascade

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Estimate is the estimated quality of one key, computed from its ratings.
type Estimate struct {
	// Ratings is the number of ratings from which the estimate is computed.
	Ratings float64
	// Mean and Variance are the mean and variance of the ratings; both are 0 without ratings.
	Mean, Variance float64
	// Drifted is true if recent ratings differ significantly from older ones, which are then excluded.
	Drifted bool

	histogram [Buckets]float64
}

// shareBelow returns the fraction of the ratings below a quality, 0 without ratings.
func (e *Estimate) shareBelow(quality api.Quality) float64 {
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

// Estimates is an immutable snapshot of the estimates of all keys.
type Estimates struct {
	byKey map[Key]Estimate
}

// Find returns the estimate of a key; the zero Estimate if the key is unknown.
func (e *Estimates) Find(key Key) Estimate {
	if e == nil {
		return Estimate{}
	}
	return e.byKey[key]
}

// FindServed returns the estimate for the answers that a class's callers kept, from recent ratings only.
func (e *Estimates) FindServed(service api.Service, class api.Class) Estimate {
	return e.Find(servedKey(service, class))
}

// driftStandardErrors is the number of standard errors above which the difference of recent and older ratings counts as
// a drift.
const driftStandardErrors = 4

// minDriftRatings is the least number of recent and of older ratings for the detection of a drift.
const minDriftRatings = 20

// Estimates sums the series of all reporters into a snapshot. ownDomain is the node's own failure domain; its aggregate is
// excluded because its nodes are already counted one by one.
func (c *Counters) Estimates(ownDomain api.FailureDomain, now time.Time) *Estimates {
	totals := map[Key]*Series{}
	for reporter, keys := range c.reporters {
		if reporter.FailureDomain != "" && reporter.FailureDomain == ownDomain {
			continue
		}
		for key, series := range keys {
			total, ok := totals[key]
			if !ok {
				total = &Series{}
				totals[key] = total
			}
			total.add(*series)
		}
	}
	est := &Estimates{byKey: make(map[Key]Estimate, len(totals))}
	for key, series := range totals {
		if key.Arm == (Arm{}) {
			served := series.sumSince(KeptEpochs, now)
			est.byKey[key] = served.estimate()
			continue
		}
		est.byKey[key] = series.estimate(now)
	}
	return est
}

// sumSince sums the ratings of the last epochs, up to and including the current one.
func (s *Series) sumSince(epochs int64, now time.Time) RatingStats {
	oldest := EpochOf(now) - epochs + 1
	var sum RatingStats
	for _, e := range s.Recent {
		if e.Epoch >= oldest {
			sum.add(e.Cell)
		}
	}
	return sum
}

// estimate uses all ratings, unless those of the last epochs differ significantly from the older ones; then it uses only
// the number of last epochs with the most significant difference.
func (s *Series) estimate(now time.Time) Estimate {
	found := s.Total.estimate()
	largest := float64(driftStandardErrors)
	for epochs := int64(1); epochs <= KeptEpochs; epochs++ {
		recent := s.sumSince(epochs, now)
		older := s.Total
		older.subtract(recent)
		if recent.Ratings < minDriftRatings || older.Ratings < minDriftRatings {
			continue
		}
		if difference := standardErrors(recent.estimate(), older.estimate()); difference > largest {
			largest = difference
			found = recent.estimate()
			found.Drifted = true
		}
	}
	return found
}

// standardErrors returns the difference of two means in standard errors.
func standardErrors(a, b Estimate) float64 {
	standardError := math.Sqrt((a.Variance+varianceFloor)/a.Ratings + (b.Variance+varianceFloor)/b.Ratings)
	return math.Abs(a.Mean-b.Mean) / standardError
}

// varianceFloor is added to variances so that a few equal ratings don't yield a standard error of 0.
const varianceFloor = 1e-4

func (s *RatingStats) estimate() Estimate {
	if s.Ratings == 0 {
		return Estimate{}
	}
	n := float64(s.Ratings)
	mean := float64(s.Sum) / n / qualityUnit
	est := Estimate{
		Ratings:  n,
		Mean:     mean,
		Variance: max(float64(s.SumSquares)/n/qualityUnit-mean*mean, 0),
	}
	for i, count := range s.Histogram {
		est.histogram[i] = float64(count)
	}
	return est
}
