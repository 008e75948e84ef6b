package cascade

import (
	"math"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// assessment is what an arm is expected to give for a request.
type assessment struct {
	arm Arm
	// price is the expected price in millionths of a dollar; cost adds what the caller's time is worth.
	price, cost float64
	// lower and upper are confidence bounds of the mean quality.
	lower, mean, upper float64
}

// posterior is a quality's mean and the square of its standard error.
type posterior struct{ mean, squaredError float64 }

// versionFacts is what is known of a candidate, worked out once for each choice.
type versionFacts struct {
	ratings   Estimate
	posterior posterior
	price     float64
	// escalated is the part of the answers that are rated below the target, badMean their mean quality.
	escalated, badMean float64
}

// prepare works out the facts of every candidate and the confidence.
func (in *Input) prepare() {
	in.facts = make([]versionFacts, len(in.Versions))
	ratings := 0.0
	for i := range in.Versions {
		c := &in.Versions[i]
		facts := &in.facts[i]
		facts.ratings = in.Estimates.Find(in.key(Arm{First: c.Version}))
		prior := float64(c.Prior)
		if prior <= 0 {
			prior = unknownPrior
		}
		facts.posterior = posteriorFrom(&facts.ratings, prior)
		facts.price = in.price(c)
		if in.Cascade {
			facts.escalated = escalatedPart(&facts.ratings, in.Target)
			facts.badMean = badMean(&facts.ratings, in.Target)
		}
		ratings += facts.ratings.Ratings
	}
	in.confidence = confidenceAfter(ratings)
}

// arms assesses every arm of versions that aren't on trial.
func (in *Input) arms() []assessment {
	var arms []assessment
	for i := range in.Versions {
		if in.Versions[i].Share >= 1 {
			arms = append(arms, in.straight(i))
		}
	}
	if !in.Cascade || in.RatedInTimeShare <= 0 {
		return arms
	}
	for first := range in.Versions {
		for then := range in.Versions {
			if a, ok := in.cascade(first, then); ok {
				arms = append(arms, a)
			}
		}
	}
	return arms
}

func (in *Input) straight(i int) assessment {
	c := &in.Versions[i]
	a := assessment{arm: Arm{First: c.Version}, price: in.facts[i].price}
	a.cost = a.price + c.Latency.Seconds()*float64(in.CostPerSecond)
	a.setBounds(in.facts[i].posterior, in.confidence)
	return a
}

// cascade assesses a cascade of two candidates; it returns false if it can't pay or takes too long.
func (in *Input) cascade(first, then int) (assessment, bool) {
	cheap, strong := &in.Versions[first], &in.Versions[then]
	if cheap.Share < 1 || strong.Share < 1 || in.facts[first].price >= in.facts[then].price {
		return assessment{}, false
	}
	if in.Timeout > 0 && cheap.Latency+in.RatingTimeout+strong.Latency > in.Timeout {
		return assessment{}, false
	}
	escalated := in.RatedInTimeShare * in.facts[first].escalated
	latency := cheap.Latency.Seconds() + in.RatingTimeout.Seconds() + escalated*strong.Latency.Seconds()
	a := assessment{
		arm:   Arm{First: cheap.Version, Then: strong.Version},
		price: in.facts[first].price + escalated*in.facts[then].price,
	}
	a.cost = a.price + latency*float64(in.CostPerSecond)
	if a.price >= in.facts[then].price {
		return assessment{}, false
	}
	a.setBounds(in.cascadePosterior(a.arm, &in.facts[first], &in.facts[then]), in.confidence)
	return a, true
}

// cascadePosterior adds to the first version's quality what replacing its bad answers gains.
func (in *Input) cascadePosterior(arm Arm, cheap, strong *versionFacts) posterior {
	ratings := in.Estimates.Find(in.key(arm))
	second := posteriorFrom(&ratings, strong.posterior.mean-hardPenalty)
	weight := in.RatedInTimeShare * cheap.escalated
	return posterior{
		mean:         cheap.posterior.mean + weight*(second.mean-cheap.badMean),
		squaredError: cheap.posterior.squaredError + weight*weight*second.squaredError,
	}
}

// escalatedPart returns the part of a version's answers that are rated below the target.
func escalatedPart(ratings *Estimate, target api.Quality) float64 {
	const unknownPart = 0.5
	return (ratings.Ratings*ratings.below(target) + priorRatings*unknownPart) / (ratings.Ratings + priorRatings)
}

// badMean returns the mean of the ratings below the target.
func badMean(ratings *Estimate, target api.Quality) float64 {
	edge := float64(target) * Buckets
	weight, sum := float64(priorRatings)/2, float64(priorRatings)/2*float64(target)*0.8
	for i, n := range ratings.histogram {
		part := n * min(max(edge-float64(i), 0), 1)
		weight += part
		sum += part * (float64(i) + 0.5) / Buckets
	}
	return sum / weight
}

func (in *Input) key(arm Arm) Key { return Key{Service: in.Service, Class: in.Class, Arm: arm} }

// price returns the expected price of a request on a candidate.
func (in *Input) price(c *EligibleVersion) float64 {
	const perTokens = 1000
	return (float64(c.PromptCost)*float64(in.PromptTokens) + float64(c.AnswerCost)*float64(in.AnswerTokens)) / perTokens
}

func posteriorFrom(ratings *Estimate, prior float64) posterior {
	n := ratings.Ratings + priorRatings
	variance := (ratings.Ratings*ratings.Variance + priorRatings*priorVariance) / n
	return posterior{
		mean:         (ratings.Ratings*ratings.Mean + priorRatings*prior) / n,
		squaredError: variance / n,
	}
}

// confidenceAfter returns the number of standard errors of the bounds. It grows with the root of the logarithm
// of the class's ratings, so that the exploration of a bad arm grows with the logarithm of the requests.
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
