package balance

import (
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Dispatch describes an attempt, that is a request that is sent to a server.
type Dispatch struct {
	// Prefix is a hash of the prompt's prefix; 0 if there is none.
	Prefix uint64
	// PromptTokens is the number of prompt tokens that aren't expected to be cached.
	PromptTokens api.Tokens
	// Version is the version to run; zero for a plain service, whose requests show no progress before they end.
	Version api.VersionID
	At      time.Time
}

// AttemptID identifies an attempt in a Table; 0 means no attempt.
type AttemptID uint64

// attempt is an unfinished request on a server and its last completed step. The steps are the first token, and
// from then on each doubling of the number of tokens.
type attempt struct {
	id      AttemptID
	version api.VersionID
	// stepAt is when the last step was completed, or when the attempt was dispatched; tokens is the number of tokens at
	// that time, 0 before the first.
	stepAt time.Time
	tokens api.Tokens
	// expectedSeconds is the expected duration of the next step.
	expectedSeconds float64
	// resumed is true if the answer's connection was silent and the answer went on over a new one, so that its times say
	// nothing about the server's speed.
	resumed bool
}

const (
	// stepSlack is added to the expected time of every step, in seconds, to tolerate short pauses of a server or the network.
	stepSlack = 0.05
	// lateFactor is the multiple of the expected time after which a step is late and its server counts as slow.
	lateFactor = 2
	// minLearningTokens is the least number of tokens at the start of a step from whose duration a server's speed is learnt
	// before the answer ends.
	minLearningTokens = 4
)

// RecordDispatch records that an attempt was dispatched to a server. It returns 0 if the server isn't in the subset.
func (t *Table) RecordDispatch(id api.ServerID, d Dispatch) AttemptID {
	i, ok := t.index[id]
	if !ok {
		return 0
	}
	server := &t.servers[i]
	t.lastAttempt++
	expected := t.expectedFirstStep(server, d)
	t.attempts[i] = append(t.attempts[i], attempt{id: t.lastAttempt, version: d.Version, stepAt: d.At, expectedSeconds: expected})
	server.InFlight++
	t.history[i].record(d.At, server.InFlight)
	t.updateLateness(i)
	if d.Prefix != 0 {
		t.RecordCacheEvent(id, d.Prefix, true)
	}
	return t.lastAttempt
}

// expectedFirstStep returns the expected time in seconds to the first token, or to the end of a plain call.
func (t *Table) expectedFirstStep(s *Server, d Dispatch) float64 {
	in := Input{Servers: t.servers}
	occupancy := s.occupancy(in.measureLoad(in.eligible()).meanPeerInFlight, d.At.UnixNano())
	wait := s.queueSeconds(occupancy)
	if d.Version.IsZero() {
		return wait + s.HoldingSeconds
	}
	return wait + float64(d.PromptTokens)/s.PromptRate + 1/(s.AnswerRate*t.RelativeSpeed(d.Version))
}

// LateAfter returns the time from an attempt's last step after which its next step is late; 0 if the attempt is unknown.
func (t *Table) LateAfter(id api.ServerID, attemptID AttemptID) time.Duration {
	i, pos, ok := t.findAttempt(id, attemptID)
	if !ok {
		return 0
	}
	return t.attempts[i][pos].lateAfter()
}

// lateAfter returns the time from the last step after which the next step is late.
func (a *attempt) lateAfter() time.Duration {
	return time.Duration(lateFactor * (a.expectedSeconds + stepSlack) * float64(time.Second))
}

// RecordProgress records the number of tokens that an attempt has produced so far. Calls between two steps are cheap.
func (t *Table) RecordProgress(id api.ServerID, attemptID AttemptID, tokens api.Tokens, now time.Time) {
	i, pos, ok := t.findAttempt(id, attemptID)
	if !ok {
		return
	}
	a := &t.attempts[i][pos]
	if tokens < max(2*a.tokens, 1) {
		return
	}
	server, speed := &t.servers[i], t.RelativeSpeed(a.version)
	if took := now.Sub(a.stepAt).Seconds(); !a.resumed && a.tokens >= minLearningTokens && took > lateFactor*(a.expectedSeconds+stepSlack) {
		server.learnAnswerRate(float64(tokens-a.tokens) / took / speed)
		server.learntAt = now
	}
	a.stepAt, a.tokens = now, tokens
	a.expectedSeconds = float64(tokens) / (server.AnswerRate * speed)
	t.updateLateness(i)
}

// RecordResume records that an attempt's answer continues on a new connection. The silence before that isn't counted
// against the server.
func (t *Table) RecordResume(id api.ServerID, attemptID AttemptID, now time.Time) {
	i, pos, ok := t.findAttempt(id, attemptID)
	if !ok {
		return
	}
	t.attempts[i][pos].stepAt, t.attempts[i][pos].resumed = now, true
	t.updateLateness(i)
}

// RecordFinish records that an attempt has ended. completion is nil if the answer isn't complete; the attempt's current step
// then took at least until now, which lowers the server's rates if the step is late.
func (t *Table) RecordFinish(id api.ServerID, attemptID AttemptID, completion *Completion, now time.Time) {
	i, pos, ok := t.findAttempt(id, attemptID)
	if !ok {
		return
	}
	server := &t.servers[i]
	ended := t.attempts[i][pos]
	t.attempts[i] = slices.Delete(t.attempts[i], pos, pos+1)
	server.InFlight = max(server.InFlight-1, 0)
	t.history[i].record(now, server.InFlight)
	switch {
	case completion == nil:
		server.learnUnfinished(&ended, now)
	case !ended.resumed:
		t.speeds[completion.Version] = server.learnCompletion(completion, t.RelativeSpeed(completion.Version), now)
		t.limitSpeeds()
	}
	t.updateLateness(i)
}

// learnUnfinished lowers the server's rates if the current step of an ended attempt is late. All rates are lowered by the
// same factor: it is unknown which one delayed the step, and a slow server is mostly slow in all of them. Steps that began
// before the rates were last lowered have no effect, so that many requests abandoned at once count as one.
func (s *Server) learnUnfinished(a *attempt, now time.Time) {
	if now.Sub(a.stepAt) < a.lateAfter() || a.stepAt.Before(s.loweredAt) {
		return
	}
	s.learntAt, s.loweredAt = now, now
	slowdown := now.Sub(a.stepAt).Seconds() / (a.expectedSeconds + stepSlack)
	s.AnswerRate /= slowdown
	s.PromptRate /= slowdown
	s.HoldingSeconds *= slowdown
}

func (t *Table) findAttempt(id api.ServerID, attemptID AttemptID) (i ServerIndex, pos int, ok bool) {
	i, ok = t.index[id]
	if !ok || attemptID == 0 {
		return 0, 0, false
	}
	pos = slices.IndexFunc(t.attempts[i], func(a attempt) bool { return a.id == attemptID })
	return i, pos, pos >= 0
}

// updateLateness updates a server's lateAt, lateStepAt and lateExpectedSeconds from its unfinished attempts.
func (t *Table) updateLateness(i ServerIndex) {
	server := &t.servers[i]
	server.lateAt = 0
	for pos := range t.attempts[i] {
		a := &t.attempts[i][pos]
		if lateAt := a.stepAt.Add(a.lateAfter()).UnixNano(); server.lateAt == 0 || lateAt < server.lateAt {
			server.lateAt, server.lateStepAt, server.lateExpectedSeconds = lateAt, a.stepAt.UnixNano(), a.expectedSeconds+stepSlack
		}
	}
}

// slowdown estimates by which factor the server is slower than its learnt rates, from the attempt that has been late for
// longest; 1 if none is late. now is in nanoseconds since the Unix epoch.
func (s *Server) slowdown(now int64) float64 {
	if s.lateAt == 0 || now < s.lateAt {
		return 1
	}
	return float64(now-s.lateStepAt) / float64(time.Second) / s.lateExpectedSeconds
}
