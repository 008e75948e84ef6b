// Package suspect detects unhealthy versions and stops them. It is pure: its inputs are counters and times, its outputs
// evidence and stops.
//
// Each node counts the failures, durations and ratings of a version's answers (Tally). A Detector compares a version's counts
// with those of a control by a sequential test; a Pool does so for the counts of all nodes. Stops holds the stopped
// versions until an accepted configuration change withdraws them.
package suspect

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// QualityBins is the number of equal bins for ratings between 0 and 1.
	QualityBins = 20
	// LatencyBins is the number of bins for the durations of answers.
	LatencyBins = 24
	// firstLatency is the upper edge of the first latency bin.
	firstLatency = 50 * time.Millisecond
	// latencyGrowth is the ratio of the edges of neighbouring bins; the last bin holds all durations above 560 s.
	latencyGrowth = 1.5
)

// Tally counts the answers of one version in one class on one incarnation of a node. All counts only grow, so that
// tallies of the same incarnation are merged by their maximum, and those of several incarnations by their sum.
type Tally struct {
	// Requests counts answers and failures, Failed only failures.
	Requests uint64
	Failed   uint64
	// Latency counts answers by duration, without failures.
	Latency [LatencyBins]uint64
	// Quality counts ratings. Only some answers are rated, and later than they are counted.
	Quality [QualityBins]uint64
}

// Answer counts an answer with duration d.
func (t *Tally) Answer(d time.Duration) {
	t.Requests++
	t.Latency[latencyBin(d)]++
}

// Fail counts a failure that the version may have caused.
func (t *Tally) Fail() {
	t.Requests++
	t.Failed++
}

// Rate counts the rating of an answer.
func (t *Tally) Rate(q api.Quality) { t.Quality[qualityBin(q)]++ }

// Add adds the counts of other.
func (t *Tally) Add(other Tally) {
	t.Requests += other.Requests
	t.Failed += other.Failed
	for i := range t.Latency {
		t.Latency[i] += other.Latency[i]
	}
	for i := range t.Quality {
		t.Quality[i] += other.Quality[i]
	}
}

// Since returns the counts added since an earlier state of the same tally; a count that decreased yields 0.
func (t Tally) Since(earlier Tally) Tally {
	t.Requests = saturatingSub(t.Requests, earlier.Requests)
	t.Failed = saturatingSub(t.Failed, earlier.Failed)
	for i := range t.Latency {
		t.Latency[i] = saturatingSub(t.Latency[i], earlier.Latency[i])
	}
	for i := range t.Quality {
		t.Quality[i] = saturatingSub(t.Quality[i], earlier.Quality[i])
	}
	return t
}

// Ratings returns the number of ratings.
func (t Tally) Ratings() uint64 {
	var n uint64
	for _, count := range t.Quality {
		n += count
	}
	return n
}

// MeanQuality returns the mean rating, computed from the midpoints of the bins; 0 without ratings.
func (t Tally) MeanQuality() api.Quality {
	var sum float64
	for i, count := range t.Quality {
		sum += float64(count) * (float64(i) + 0.5) / QualityBins
	}
	n := t.Ratings()
	if n == 0 {
		return 0
	}
	return api.Quality(sum / float64(n))
}

// FailedShare returns the fraction of the requests that failed, 0 without requests.
func (t Tally) FailedShare() float64 {
	if t.Requests == 0 {
		return 0
	}
	return float64(t.Failed) / float64(t.Requests)
}

// MarshalText encodes the nonzero counts as pairs of index and count, as base64 of varints.
func (t Tally) MarshalText() ([]byte, error) {
	var raw []byte
	for i, count := range t.counts() {
		if count > 0 {
			raw = binary.AppendUvarint(raw, uint64(i))
			raw = binary.AppendUvarint(raw, count)
		}
	}
	return base64.RawURLEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText decodes the result of MarshalText. The error is an ErrBadTally.
func (t *Tally) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(string(text))
	if err != nil {
		return Error.Wrap(&ErrBadTally{})
	}
	var counts [countsLen]uint64
	for len(raw) > 0 {
		i, n := binary.Uvarint(raw)
		if n <= 0 || i >= countsLen {
			return Error.Wrap(&ErrBadTally{})
		}
		count, m := binary.Uvarint(raw[n:])
		if m <= 0 {
			return Error.Wrap(&ErrBadTally{})
		}
		counts[i] = count
		raw = raw[n+m:]
	}
	t.setCounts(counts)
	return nil
}

// countsLen is the number of counts in a tally.
const countsLen = 2 + LatencyBins + QualityBins

func (t Tally) counts() [countsLen]uint64 {
	var counts [countsLen]uint64
	counts[0], counts[1] = t.Requests, t.Failed
	copy(counts[2:], t.Latency[:])
	copy(counts[2+LatencyBins:], t.Quality[:])
	return counts
}

func (t *Tally) setCounts(counts [countsLen]uint64) {
	t.Requests, t.Failed = counts[0], counts[1]
	copy(t.Latency[:], counts[2:])
	copy(t.Quality[:], counts[2+LatencyBins:])
}

func saturatingSub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

func qualityBin(q api.Quality) int {
	if !(q > 0) {
		return 0
	}
	return min(int(q*QualityBins), QualityBins-1)
}

func latencyBin(d time.Duration) int {
	if d <= firstLatency {
		return 0
	}
	bin := math.Ceil(math.Log(float64(d)/float64(firstLatency)) / math.Log(latencyGrowth))
	return min(int(bin), LatencyBins-1)
}
