// Package suspect finds versions that turned bad while they serve and stops them. It is pure: counters and a time go
// in, evidence and stops come out.
//
// Each node counts what the answers of a version were like (Tally). A Detector weighs a version's counts against those
// of a control with a sequential test; a Pool does so over the counts of all nodes; Stops holds what was stopped until
// an accepted change says the same.
package suspect

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// QualityBins is the number of equal bins of a rating between 0 and 1.
	QualityBins = 20
	// LatencyBins is the number of bins of an answer's duration.
	LatencyBins = 24
	// firstLatency is the upper edge of the first latency bin.
	firstLatency = 50 * time.Millisecond
	// latencyGrowth is the ratio of neighbouring edges; the last bin holds all above 560 s.
	latencyGrowth = 1.5
)

// Tally counts the answers of one version in one class, as one incarnation of a node saw them. All counts only grow,
// so that tallies merge by their maximum (one incarnation) or their sum (several).
type Tally struct {
	// Requests counts answers and failures; it is at least Failed.
	Requests uint64
	Failed   uint64
	// Latency counts answers by duration; failures are not in it.
	Latency [LatencyBins]uint64
	// Quality counts ratings; they come late and for a part of the answers.
	Quality [QualityBins]uint64
}

// Answer counts an answer that took d.
func (t *Tally) Answer(d time.Duration) {
	t.Requests++
	t.Latency[latencyBin(d)]++
}

// Fail counts a failure that the version may be to blame for.
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

// Since returns the counts added since an earlier state of the same tally; a count that shrank yields 0.
func (t Tally) Since(earlier Tally) Tally {
	t.Requests = minus(t.Requests, earlier.Requests)
	t.Failed = minus(t.Failed, earlier.Failed)
	for i := range t.Latency {
		t.Latency[i] = minus(t.Latency[i], earlier.Latency[i])
	}
	for i := range t.Quality {
		t.Quality[i] = minus(t.Quality[i], earlier.Quality[i])
	}
	return t
}

// Ratings counts the ratings.
func (t Tally) Ratings() uint64 {
	var n uint64
	for _, count := range t.Quality {
		n += count
	}
	return n
}

// MeanQuality returns the mean rating by the bins' middles, 0 without ratings.
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

// FailedShare returns the part of the requests that failed, 0 without requests.
func (t Tally) FailedShare() float64 {
	if t.Requests == 0 {
		return 0
	}
	return float64(t.Failed) / float64(t.Requests)
}

// MarshalText writes the counts that are not 0 in a compact form.
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

// UnmarshalText reads what MarshalText wrote. The error is IsErrBadTally.
func (t *Tally) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(string(text))
	if err != nil {
		return Error.Wrap(&ErrBadTally{})
	}
	var counts [countOfCounts]uint64
	for len(raw) > 0 {
		i, n := binary.Uvarint(raw)
		if n <= 0 || i >= countOfCounts {
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

// countOfCounts is the number of counts of a tally.
const countOfCounts = 2 + LatencyBins + QualityBins

func (t Tally) counts() [countOfCounts]uint64 {
	var counts [countOfCounts]uint64
	counts[0], counts[1] = t.Requests, t.Failed
	copy(counts[2:], t.Latency[:])
	copy(counts[2+LatencyBins:], t.Quality[:])
	return counts
}

func (t *Tally) setCounts(counts [countOfCounts]uint64) {
	t.Requests, t.Failed = counts[0], counts[1]
	copy(t.Latency[:], counts[2:])
	copy(t.Quality[:], counts[2+LatencyBins:])
}

func minus(a, b uint64) uint64 {
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
