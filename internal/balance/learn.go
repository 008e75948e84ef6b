package balance

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Completion describes a request that a server finished.
type Completion struct {
	// PromptTokens is the part of the prompt that wasn't expected in the cache.
	PromptTokens, AnswerTokens api.Tokens
	// Version is what ran; zero for a plain service.
	Version api.VersionID
	// FirstToken is the time from dispatch to the first token; 0 if unknown.
	FirstToken time.Duration
	// Total is the time from dispatch to the whole answer.
	Total time.Duration
}

const (
	// learnRate is the weight of the newest request in a learnt speed.
	learnRate = 0.1
	// surpriseRate is its weight where it differs from the learnt speed by more than surprise: the server has changed.
	surpriseRate = 0.5
	surprise     = 2
	// speedRate is the weight of the newest answer in a version's speed, which every server's answers teach.
	speedRate = 0.02
	// forgetRate is the weight of a request whose prompt was slower than the learnt rate: it may have waited.
	forgetRate = 0.01
	// staleAfter is the time without an answer after which a server's word about its speed counts again: a server that was
	// found slow gets few requests or none, so that its answers can't tell that it has recovered.
	staleAfter = 5 * time.Second
	// hearRate is the weight of a report then.
	hearRate = 0.3
)

// learn takes in an answer of a version of a speed and returns the speed as it looks now.
func (s *Server) learn(done *Completion, speed float64, now time.Time) float64 {
	s.learntAt = now
	decoding := done.Total - done.FirstToken
	if done.AnswerTokens == 0 || done.FirstToken <= 0 || decoding <= 0 {
		approach(&s.HoldingSeconds, done.Total.Seconds(), learnRate)
		return speed
	}
	rate := float64(done.AnswerTokens) / decoding.Seconds()
	learnt := speed
	if !isSurprise(rate, s.AnswerRate*speed) {
		approach(&learnt, rate/s.AnswerRate, speedRate)
	}
	s.learnAnswer(rate / speed)
	s.learnPrompt(float64(done.PromptTokens) / done.FirstToken.Seconds())
	approach(&s.HoldingSeconds, decoding.Seconds()+float64(done.PromptTokens)/s.PromptRate, learnRate)
	return learnt
}

// learnAnswer takes in a rate of generation of a version of speed 1.
func (s *Server) learnAnswer(rate float64) {
	s.samples++
	weight := max(learnRate, 1/float64(s.samples+1))
	if isSurprise(rate, s.AnswerRate) {
		weight = max(weight, surpriseRate)
	}
	approach(&s.AnswerRate, rate, weight)
}

// isSurprise reports whether a rate is too far from the learnt one to be chance.
func isSurprise(rate, learnt float64) bool { return rate*surprise < learnt || rate > learnt*surprise }

func (s *Server) learnPrompt(rate float64) {
	if rate > s.PromptRate {
		approach(&s.PromptRate, rate, learnRate)
		return
	}
	approach(&s.PromptRate, rate, forgetRate)
}

// hear takes in a server's own word for its speed: it is believed until answers tell, and again when none has for a while.
func (s *Server) hear(answerRate float64, now time.Time) {
	if s.samples == 0 {
		relative := answerRate / defaultAnswerRate
		s.AnswerRate = answerRate
		s.PromptRate = defaultPromptRate * relative
		s.HoldingSeconds = defaultHolding / relative
		s.samples = 1
		return
	}
	if answerRate > s.AnswerRate && now.Sub(s.learntAt) >= staleAfter {
		s.speedUp(hearRate * (answerRate/s.AnswerRate - 1))
	}
}

// speedUp raises all rates by a part.
func (s *Server) speedUp(part float64) {
	s.AnswerRate *= 1 + part
	s.PromptRate *= 1 + part
	s.HoldingSeconds /= 1 + part
}

func approach(value *float64, seen, rate float64) {
	if seen > 0 {
		*value += rate * (seen - *value)
	}
}
