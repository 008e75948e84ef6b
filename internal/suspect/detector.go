package suspect

import (
	"math"
	"slices"
)

const (
	// priorErrorRate is the error rate assumed of a control without requests.
	priorErrorRate = 0.01
	// priorRequests is the weight of priorErrorRate in requests.
	priorRequests = 200
	// minErrorRate is the least error rate assumed of a control, so that a single error never decides.
	minErrorRate = 0.002
	// largeErrors and smallErrors are how much the failed share of a bad version exceeds the control's.
	largeErrors = 0.2
	smallErrors = 0.05
	// betPower shapes the bet on low quantiles of the control: density betPower * u^(betPower-1).
	betPower = 0.25
	// binPrior is added to each bin of the control, so that no bin is thought impossible.
	binPrior = 0.5
	// maxBet bounds what one rating or duration counts.
	maxBet = 12
	// minControlSamples is how many samples a control needs before quantiles are compared.
	minControlSamples = 30
)

// Parts of the false-alarm bound that each test may use; they add up to 1.
const (
	partLargeErrors = 0.35
	partSmallErrors = 0.10
	partRatings     = 0.45
	partLatency     = 0.10
)

// Threshold returns the evidence in nats at which a version is stopped, such that a version as good as its control is
// stopped within a horizon of requests with a probability of at most falseAlarm.
//
// The bound is Doob's inequality: under a control's distribution the statistic of a Detector grows by at most 1 a
// request in expectation (a Shiryaev-Roberts e-detector), hence P(max over the horizon >= c) <= horizon/c.
func Threshold(horizon, falseAlarm float64) float64 {
	return math.Log(horizon / falseAlarm)
}

// Evidence is what a Detector has found, in nats; all are logarithms of e-detectors.
type Evidence struct {
	// Total is compared with Threshold.
	Total   float64
	Errors  float64
	Latency float64
	Ratings float64
}

// parts is the number of tests of a detector: many errors, some errors, ratings and latency.
const parts = 4

// partLogs are the logarithms of the tests' parts of the bound, in the order of Gains.
var partLogs = [parts]float64{math.Log(partLargeErrors), math.Log(partSmallErrors), math.Log(partRatings), math.Log(partLatency)}

// Gains are the logarithms of a batch's likelihood ratios, one a test.
type Gains [parts]float64

// Detector weighs one version in one class against a control. The zero value has seen nothing.
type Detector struct {
	// Each field is the logarithm of a statistic M that a batch with the likelihood ratio E moves to (1+M)*E.
	large   logSum
	small   logSum
	latency logSum
	ratings logSum
	// peaks are the logarithms of statistics C that a batch moves to max(1, C)*E, in the order of Gains.
	peaks Gains
}

// Feed weighs a batch of new counts of the version against the control's counts.
// Bets are placed by a control that is known before the batch.
func (d *Detector) Feed(control, batch Tally) {
	d.grow(batch, gainsOf(control, batch, ErrorRate(control)))
}

// gainsOf returns what a batch counts against a control with an error rate.
func gainsOf(control, batch Tally, rate float64) Gains {
	return Gains{
		errorRatio(batch, rate, largeErrors), errorRatio(batch, rate, smallErrors),
		histogramRatio(control.Quality[:], batch.Quality[:]),
		histogramRatio(reversed(control.Latency), reversed(batch.Latency)),
	}
}

func (d *Detector) grow(batch Tally, gains Gains) {
	if batch.Requests > 0 {
		d.large.grow(gains[0])
		d.small.grow(gains[1])
		d.latency.grow(gains[3])
	}
	if batch.Ratings() > 0 {
		d.ratings.grow(gains[2])
	}
	for i, gain := range gains {
		d.peaks[i] = max(0, d.peaks[i]) + gain
	}
}

// Nats returns the largest evidence of one test since its best time of onset, 0 if nothing speaks against the version.
// At any moment at most exp(-x) of the versions as good as their control have x nats or more: the statistic is a CUSUM,
// whose tail is that of the supremum of an exponential supermartingale read backwards in time.
func (d *Detector) Nats() float64 {
	most := 0.0
	for i, peak := range d.peaks {
		most = max(most, peak+partLogs[i])
	}
	return most
}

// Evidence returns what the detector has found.
func (d *Detector) Evidence() Evidence {
	parts := []float64{
		d.large.log() + math.Log(partLargeErrors),
		d.small.log() + math.Log(partSmallErrors),
		d.latency.log() + math.Log(partLatency),
		d.ratings.log() + math.Log(partRatings),
	}
	return Evidence{
		Total:   logSumExp(parts...),
		Errors:  logSumExp(parts[0], parts[1]),
		Latency: parts[2],
		Ratings: parts[3],
	}
}

// ErrorRate returns the error rate assumed of a control.
func ErrorRate(control Tally) float64 {
	failed := float64(control.Failed) + priorErrorRate*priorRequests
	return max(minErrorRate, failed/(float64(control.Requests)+priorRequests))
}

// errorRatio returns the log-likelihood ratio of a failed share of rate+excess against rate.
func errorRatio(batch Tally, rate, excess float64) float64 {
	bad := min(rate+excess, (1+rate)/2)
	failed := float64(batch.Failed)
	answered := float64(batch.Requests) - failed
	return failed*math.Log(bad/rate) + answered*math.Log((1-bad)/(1-rate))
}

// histogramRatio returns the log-likelihood ratio of a batch for a distribution that favours the control's low
// quantiles against the control itself. It is 0 where the control is too small to tell.
func histogramRatio(control, batch []uint64) float64 {
	var total float64
	for _, count := range control {
		total += float64(count)
	}
	if total < minControlSamples {
		return 0
	}
	total += binPrior * float64(len(control))
	var below, ratio float64
	for i, count := range control {
		upTo := below + (float64(count)+binPrior)/total
		if batch[i] > 0 {
			bet := (math.Pow(upTo, betPower) - math.Pow(below, betPower)) / (upTo - below)
			ratio += float64(batch[i]) * math.Log(min(bet, maxBet))
		}
		below = upTo
	}
	return ratio
}

func reversed(bins [LatencyBins]uint64) []uint64 {
	slices.Reverse(bins[:])
	return bins[:]
}

// logSum is the logarithm of a statistic plus 1, so that its zero value is the statistic 0.
type logSum struct{ plusOne float64 }

// grow moves the statistic M to (1+M)*exp(ratio).
func (s *logSum) grow(ratio float64) { s.plusOne = logSumExp(0, s.plusOne+ratio) }

// log returns the logarithm of the statistic.
func (s *logSum) log() float64 {
	if s.plusOne <= 0 {
		return math.Inf(-1)
	}
	return s.plusOne + math.Log1p(-math.Exp(-s.plusOne))
}

func logSumExp(logs ...float64) float64 {
	top := slices.Max(logs)
	if math.IsInf(top, -1) {
		return top
	}
	var sum float64
	for _, l := range logs {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum)
}

// HealthEvidence is the evidence in nats that a version is not clearly bad, from all of its counts.
type HealthEvidence struct {
	// Errors speaks against a failed share of largeErrors above the control's.
	Errors float64
	// Ratings speaks against ratings from the control's low quantiles.
	Ratings float64
}

// HealthEvidenceOf returns the evidence that a version is as good as its control.
func HealthEvidenceOf(control, version Tally) HealthEvidence {
	return HealthEvidence{
		Errors:  -errorRatio(version, ErrorRate(control), largeErrors),
		Ratings: -histogramRatio(control.Quality[:], version.Quality[:]),
	}
}
