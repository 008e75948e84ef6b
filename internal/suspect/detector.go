package suspect

import (
	"math"
	"slices"
)

const (
	// priorErrorRate is the error rate assumed for a control without requests.
	priorErrorRate = 0.01
	// priorRequests is the weight of priorErrorRate in requests.
	priorRequests = 200
	// minErrorRate is the least error rate assumed for a control, so that a single error never suffices to stop a version.
	minErrorRate = 0.002
	// largeErrorExcess and smallErrorExcess are the differences between the error rates of an unhealthy version and its
	// control that the two error tests assume.
	largeErrorExcess = 0.2
	smallErrorExcess = 0.05
	// betExponent is the parameter of the alternative distribution, which favours low quantiles u of the control; its density
	// is betExponent * u^(betExponent-1).
	betExponent = 0.25
	// binPrior is a pseudocount added to each bin of the control, so that no bin has probability 0.
	binPrior = 0.5
	// maxBet is the largest likelihood ratio of a single rating or duration.
	maxBet = 12
	// minControlSamples is the least number of samples of a control for the comparison of quantiles.
	minControlSamples = 30
)

// Shares of the false-alarm probability allotted to the tests; they add up to 1.
const (
	shareLargeErrors = 0.35
	shareSmallErrors = 0.10
	shareRatings     = 0.45
	shareLatency     = 0.10
)

// Threshold returns the evidence in nats at which a version is stopped, such that a version that is as good as its control
// is stopped within a horizon of requests with a probability of at most falseAlarm.
//
// The bound follows from Doob's inequality: under the control's distribution the expected growth of a Detector's statistic
// is at most 1 per request (a Shiryaev-Roberts e-detector), hence P(max over the horizon >= c) <= horizon/c.
func Threshold(horizon, falseAlarm float64) float64 {
	return math.Log(horizon / falseAlarm)
}

// Evidence is the evidence of a Detector against a version, in nats. All fields are logarithms of e-detectors.
type Evidence struct {
	// Total combines all tests; it is the value to compare with Threshold.
	Total   float64
	Errors  float64
	Latency float64
	Ratings float64
}

// testCount is the number of tests of a detector: large and small excess of errors, ratings and latency.
const testCount = 4

// logShares holds the logarithms of the tests' shares of the false-alarm probability, in the order of Gains.
var logShares = [testCount]float64{math.Log(shareLargeErrors), math.Log(shareSmallErrors), math.Log(shareRatings), math.Log(shareLatency)}

// Gains holds the log-likelihood ratio of a batch for each test: large and small excess of errors, ratings, latency.
type Gains [testCount]float64

// Detector tests sequentially whether a version in one class is worse than a control. The zero value is ready for use.
type Detector struct {
	// Each of these statistics M is updated to (1+M)*E by a batch with the likelihood ratio E.
	large   logStatistic
	small   logStatistic
	latency logStatistic
	ratings logStatistic
	// cusums holds the logarithms of the CUSUM statistics C, each updated to max(1, C)*E, in the order of Gains.
	cusums Gains
}

// Feed updates the detector with a batch of new counts of the version. control holds the control's counts as known
// before the batch.
func (d *Detector) Feed(control, batch Tally) {
	d.addGains(batch, gainsOf(control, batch, ErrorRate(control)))
}

// gainsOf returns the log-likelihood ratios of a batch against a control with the given error rate.
func gainsOf(control, batch Tally, rate float64) Gains {
	return Gains{
		errorLogRatio(batch, rate, largeErrorExcess), errorLogRatio(batch, rate, smallErrorExcess),
		histogramLogRatio(control.Quality[:], batch.Quality[:]),
		histogramLogRatio(reversed(control.Latency), reversed(batch.Latency)),
	}
}

func (d *Detector) addGains(batch Tally, gains Gains) {
	if batch.Requests > 0 {
		d.large.update(gains[0])
		d.small.update(gains[1])
		d.latency.update(gains[3])
	}
	if batch.Ratings() > 0 {
		d.ratings.update(gains[2])
	}
	for i, gain := range gains {
		d.cusums[i] = max(0, d.cusums[i]) + gain
	}
}

// PeakNats returns the largest evidence of any single test, maximised over the time of onset, in nats; 0 if there is no
// evidence against the version. At any moment at most a fraction exp(-x) of the versions that are as good as their control
// have x nats or more: the statistic is a CUSUM, whose tail is that of the supremum of an exponential supermartingale in
// reversed time.
func (d *Detector) PeakNats() float64 {
	largest := 0.0
	for i, cusum := range d.cusums {
		largest = max(largest, cusum+logShares[i])
	}
	return largest
}

// Evidence returns the evidence of all batches so far.
func (d *Detector) Evidence() Evidence {
	tests := []float64{
		d.large.log() + math.Log(shareLargeErrors),
		d.small.log() + math.Log(shareSmallErrors),
		d.latency.log() + math.Log(shareLatency),
		d.ratings.log() + math.Log(shareRatings),
	}
	return Evidence{
		Total:   logSumExp(tests...),
		Errors:  logSumExp(tests[0], tests[1]),
		Latency: tests[2],
		Ratings: tests[3],
	}
}

// ErrorRate returns the error rate assumed for a control: its failed share with a prior, at least minErrorRate.
func ErrorRate(control Tally) float64 {
	failed := float64(control.Failed) + priorErrorRate*priorRequests
	return max(minErrorRate, failed/(float64(control.Requests)+priorRequests))
}

// errorLogRatio returns the log-likelihood ratio of a batch for the error rate rate+excess against rate.
func errorLogRatio(batch Tally, rate, excess float64) float64 {
	badRate := min(rate+excess, (1+rate)/2)
	failed := float64(batch.Failed)
	succeeded := float64(batch.Requests) - failed
	return failed*math.Log(badRate/rate) + succeeded*math.Log((1-badRate)/(1-rate))
}

// histogramLogRatio returns the log-likelihood ratio of a batch for a distribution that favours the control's low
// quantiles against the control's own distribution. It is 0 if the control has fewer than minControlSamples samples.
func histogramLogRatio(control, batch []uint64) float64 {
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
			bet := (math.Pow(upTo, betExponent) - math.Pow(below, betExponent)) / (upTo - below)
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

// logStatistic stores a statistic as the logarithm of the statistic plus 1, so that the zero value is the statistic 0.
type logStatistic struct{ plusOne float64 }

// update sets the statistic M to (1+M)*exp(ratio).
func (s *logStatistic) update(ratio float64) { s.plusOne = logSumExp(0, s.plusOne+ratio) }

// log returns the logarithm of the statistic.
func (s *logStatistic) log() float64 {
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

// HealthEvidence is the evidence in nats that a version is not clearly unhealthy, from all of its counts.
type HealthEvidence struct {
	// Errors is the evidence against an error rate that exceeds the control's by largeErrorExcess.
	Errors float64
	// Ratings is the evidence against a distribution of ratings that favours the control's low quantiles.
	Ratings float64
}

// HealthEvidenceOf returns the evidence that a version is as good as its control, from all of their counts.
func HealthEvidenceOf(control, version Tally) HealthEvidence {
	return HealthEvidence{
		Errors:  -errorLogRatio(version, ErrorRate(control), largeErrorExcess),
		Ratings: -histogramLogRatio(control.Quality[:], version.Quality[:]),
	}
}
