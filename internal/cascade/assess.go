package cascade

import (
	"math"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// assessment is the expected price, cost and quality of an arm for a request.
type assessment struct {
	arm Arm
	// price is the expected price in millionths of a dollar; cost is the price plus the cost of the caller's waiting time.
	price, cost float64
	// mean is the expected quality, lower and upper are its confidence bounds.
	lower, mean, upper float64
}

// posterior is the posterior mean of a quality and the square of its standard error.
type posterior struct{ mean, squaredError float64 }

// versionStats holds the estimates for an eligible version, computed once per call of Choose.
type versionStats struct {
	estimate  Estimate
	posterior posterior
	price     float64
	// escalationShare is the expected fraction of answers that are rated below the target, meanBelowTarget their mean
	// quality. Both are set only if Input.Cascade is.
	escalationShare, meanBelowTarget float64
}

// computeStats sets the stats of every eligible version and the confidence.
func (in *Input) computeStats() {
	in.stats = make([]versionStats, len(in.Versions))
	ratings := 0.0
	for i := range in.Versions {
		version := &in.Versions[i]
		stats := &in.stats[i]
		stats.estimate = in.Estimates.Find(in.key(Arm{First: version.Version}))
		prior := float64(version.Prior)
		if prior <= 0 {
			prior = defaultPrior
		}
		stats.posterior = posteriorFrom(&stats.estimate, prior)
		stats.price = in.price(version)
		if in.Cascade {
			stats.escalationShare = escalationShare(&stats.estimate, in.Target)
			stats.meanBelowTarget = meanBelowTarget(&stats.estimate, in.Target)
		}
		ratings += stats.estimate.Ratings
	}
	in.confidence = confidenceAfter(ratings)
}

// assessArms assesses every arm whose versions aren't in their roll-out.
func (in *Input) assessArms() []assessment {
	var arms []assessment
	for i := range in.Versions {
		if in.Versions[i].Share >= 1 {
			arms = append(arms, in.assessSingle(i))
		}
	}
	if !in.Cascade || in.RatedInTimeShare <= 0 {
		return arms
	}
	for first := range in.Versions {
		for second := range in.Versions {
			if a, ok := in.assessCascade(first, second); ok {
				arms = append(arms, a)
			}
		}
	}
	return arms
}

func (in *Input) assessSingle(i int) assessment {
	version := &in.Versions[i]
	a := assessment{arm: Arm{First: version.Version}, price: in.stats[i].price}
	a.cost = a.price + version.Latency.Seconds()*float64(in.CostPerSecond)
	a.setBounds(in.stats[i].posterior, in.confidence)
	return a
}

// assessCascade assesses a cascade of two versions. It returns false if the cascade isn't allowed, can't be cheaper than
// its second version alone, or takes longer than the timeout.
func (in *Input) assessCascade(first, second int) (assessment, bool) {
	cheap, strong := &in.Versions[first], &in.Versions[second]
	if cheap.Share < 1 || strong.Share < 1 || in.stats[first].price >= in.stats[second].price {
		return assessment{}, false
	}
	if in.Timeout > 0 && cheap.Latency+in.RatingTimeout+strong.Latency > in.Timeout {
		return assessment{}, false
	}
	escalationShare := in.RatedInTimeShare * in.stats[first].escalationShare
	latency := cheap.Latency.Seconds() + in.RatingTimeout.Seconds() + escalationShare*strong.Latency.Seconds()
	a := assessment{
		arm:   Arm{First: cheap.Version, Then: strong.Version},
		price: in.stats[first].price + escalationShare*in.stats[second].price,
	}
	a.cost = a.price + latency*float64(in.CostPerSecond)
	if a.price >= in.stats[second].price {
		return assessment{}, false
	}
	a.setBounds(in.cascadePosterior(a.arm, &in.stats[first], &in.stats[second]), in.confidence)
	return a, true
}

// cascadePosterior returns the quality of a cascade: that of the first version plus the expected gain from replacing its
// answers below the target.
func (in *Input) cascadePosterior(arm Arm, cheap, strong *versionStats) posterior {
	estimate := in.Estimates.Find(in.key(arm))
	secondPosterior := posteriorFrom(&estimate, strong.posterior.mean-escalationPenalty)
	weight := in.RatedInTimeShare * cheap.escalationShare
	return posterior{
		mean:         cheap.posterior.mean + weight*(secondPosterior.mean-cheap.meanBelowTarget),
		squaredError: cheap.posterior.squaredError + weight*weight*secondPosterior.squaredError,
	}
}

// escalationShare returns the expected fraction of a version's answers that are rated below the target.
func escalationShare(estimate *Estimate, target api.Quality) float64 {
	const priorShare = 0.5
	return (estimate.Ratings*estimate.shareBelow(target) + priorRatings*priorShare) / (estimate.Ratings + priorRatings)
}

// meanBelowTarget returns the mean of the ratings below the target, with a prior.
func meanBelowTarget(estimate *Estimate, target api.Quality) float64 {
	edge := float64(target) * Buckets
	weight, sum := float64(priorRatings)/2, float64(priorRatings)/2*float64(target)*0.8
	for i, n := range estimate.histogram {
		count := n * min(max(edge-float64(i), 0), 1)
		weight += count
		sum += count * (float64(i) + 0.5) / Buckets
	}
	return sum / weight
}

func (in *Input) key(arm Arm) Key { return Key{Service: in.Service, Class: in.Class, Arm: arm} }

// price returns the expected price of a request on a version, in millionths of a dollar.
func (in *Input) price(version *EligibleVersion) float64 {
	const perTokens = 1000
	return (float64(version.PromptCost)*float64(in.PromptTokens) + float64(version.AnswerCost)*float64(in.AnswerTokens)) / perTokens
}

func posteriorFrom(estimate *Estimate, prior float64) posterior {
	n := estimate.Ratings + priorRatings
	variance := (estimate.Ratings*estimate.Variance + priorRatings*priorVariance) / n
	return posterior{
		mean:         (estimate.Ratings*estimate.Mean + priorRatings*prior) / n,
		squaredError: variance / n,
	}
}

// confidenceAfter returns the width of the confidence bounds in standard errors. It grows with the square root of the
// logarithm of the class's ratings, so that the exploration of a bad arm grows with the logarithm of the requests.
func confidenceAfter(ratings float64) float64 {
	const halfway = 50
	return math.Sqrt(2 * math.Log1p(ratings/halfway))
}

func (a *assessment) setBounds(p posterior, confidence float64) {
	margin := confidence * math.Sqrt(p.squaredError)
	a.mean = p.mean
	a.lower = p.mean - margin
	a.upper = p.mean + margin
}
