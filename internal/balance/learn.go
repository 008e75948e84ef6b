package balance

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Completion describes a request that a server has completed.
type Completion struct {
	// PromptTokens is the number of prompt tokens that weren't expected to be cached.
	PromptTokens, AnswerTokens api.Tokens
	// Version is the version that ran; zero for a plain service.
	Version api.VersionID
	// FirstToken is the time from dispatch to the first token; 0 if unknown.
	FirstToken time.Duration
	// Total is the time from dispatch to the whole answer.
	Total time.Duration
}

const (
	// learningWeight is the weight of the newest request in the moving averages of a server's rates.
	learningWeight = 0.1
	// outlierWeight replaces learningWeight if the request's rate differs from the learnt one by more than outlierFactor,
	// which shows that the server's speed has changed.
	outlierWeight = 0.5
	outlierFactor = 2
	// versionSpeedWeight is the weight of the newest answer in a version's speed, which is learnt from the answers of all
	// servers.
	versionSpeedWeight = 0.02
	// slowPromptWeight replaces learningWeight for a prompt that was processed slower than the learnt rate, because the
	// request may have been queued.
	slowPromptWeight = 0.01
	// staleAfter is the time without an answer after which the rates that a server reports are used again: a server that was
	// found slow gets few requests or none, so its answers can't show that it has recovered.
	staleAfter = 5 * time.Second
	// reportedRateWeight is the weight of a reported rate after staleAfter.
	reportedRateWeight = 0.3
)

// learnCompletion updates the server's rates from a completed request of a version with the given relative speed, and
// returns the updated relative speed of the version.
func (s *Server) learnCompletion(completion *Completion, speed float64, now time.Time) float64 {
	s.learntAt = now
	decoding := completion.Total - completion.FirstToken
	if completion.AnswerTokens == 0 || completion.FirstToken <= 0 || decoding <= 0 {
		updateAverage(&s.HoldingSeconds, completion.Total.Seconds(), learningWeight)
		return speed
	}
	rate := float64(completion.AnswerTokens) / decoding.Seconds()
	updatedSpeed := speed
	if !isOutlier(rate, s.AnswerRate*speed) {
		updateAverage(&updatedSpeed, rate/s.AnswerRate, versionSpeedWeight)
	}
	s.learnAnswerRate(rate / speed)
	s.learnPromptRate(float64(completion.PromptTokens) / completion.FirstToken.Seconds())
	updateAverage(&s.HoldingSeconds, decoding.Seconds()+float64(completion.PromptTokens)/s.PromptRate, learningWeight)
	return updatedSpeed
}

// learnAnswerRate updates AnswerRate from a measured rate, normalised to a version of relative speed 1.
func (s *Server) learnAnswerRate(rate float64) {
	s.samples++
	weight := max(learningWeight, 1/float64(s.samples+1))
	if isOutlier(rate, s.AnswerRate) {
		weight = max(weight, outlierWeight)
	}
	updateAverage(&s.AnswerRate, rate, weight)
}

// isOutlier reports whether a rate differs from the learnt one by more than outlierFactor.
func isOutlier(rate, learnt float64) bool {
	return rate*outlierFactor < learnt || rate > learnt*outlierFactor
}

func (s *Server) learnPromptRate(rate float64) {
	if rate > s.PromptRate {
		updateAverage(&s.PromptRate, rate, learningWeight)
		return
	}
	updateAverage(&s.PromptRate, rate, slowPromptWeight)
}

// applyReportedRate updates the rates from the rate of generation that the server reports. It is used until the first
// answer, and again when no answer has come for staleAfter.
func (s *Server) applyReportedRate(answerRate float64, now time.Time) {
	if s.samples == 0 {
		relative := answerRate / defaultAnswerRate
		s.AnswerRate = answerRate
		s.PromptRate = defaultPromptRate * relative
		s.HoldingSeconds = defaultHoldingSeconds / relative
		s.samples = 1
		return
	}
	if answerRate > s.AnswerRate && now.Sub(s.learntAt) >= staleAfter {
		s.raiseRates(reportedRateWeight * (answerRate/s.AnswerRate - 1))
	}
}

// raiseRates raises all rates by a fraction.
func (s *Server) raiseRates(increase float64) {
	s.AnswerRate *= 1 + increase
	s.PromptRate *= 1 + increase
	s.HoldingSeconds /= 1 + increase
}

func updateAverage(value *float64, sample, weight float64) {
	if sample > 0 {
		*value += weight * (sample - *value)
	}
}
