package balance

import (
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Dispatch describes a request that is handed to a server.
type Dispatch struct {
	// Prefix is a hash of the prompt's prefix; 0 if there is none.
	Prefix uint64
	// PromptTokens is the part of the prompt that isn't expected in the cache.
	PromptTokens api.Tokens
	// Version is what runs; zero for a plain service, whose requests show no progress before their end.
	Version api.VersionID
	At      time.Time
}

// AttemptID names one request on one server; 0 names none.
type AttemptID uint64

// run is an unfinished request on a server, seen from the last step that it has taken. The steps are the first token, and
// each doubling of the tokens from then on.
type run struct {
	id      AttemptID
	version api.VersionID
	// since is when the last step was taken, tokens the number of tokens by then; 0 before the first.
	since  time.Time
	tokens api.Tokens
	// expected is the time in seconds that the next step was expected to take.
	expected float64
	// resumed tells that the answer's connection went silent meanwhile, so that its times don't tell the server's speed.
	resumed bool
}

const (
	// stepSlack is added to the expected time of every step, in seconds: pauses of a server or of the network that tell nothing.
	stepSlack = 0.05
	// late is how many times the expected time a step may take before the server counts as slow.
	late = 2
	// minTaughtStep is the least number of tokens from whose time a server's speed is learnt before an answer's end.
	minTaughtStep = 4
)

// RecordDispatch notes that a request was handed to a server. It returns 0 if the server isn't in the subset.
func (t *Table) RecordDispatch(id api.ServerID, d Dispatch) AttemptID {
	i, ok := t.index[id]
	if !ok {
		return 0
	}
	server := &t.servers[i]
	t.lastRun++
	expected := t.firstStep(server, d)
	t.runs[i] = append(t.runs[i], run{id: t.lastRun, version: d.Version, since: d.At, expected: expected})
	server.InFlight++
	t.history[i].note(d.At, server.InFlight)
	t.findLatest(i)
	if d.Prefix != 0 {
		t.RecordCacheEvent(id, d.Prefix, true)
	}
	return t.lastRun
}

// firstStep is the time in seconds to the first token, or to the end of a plain call.
func (t *Table) firstStep(s *Server, d Dispatch) float64 {
	in := Input{Servers: t.servers}
	occupied := s.occupancy(in.measure(in.open()).others, d.At.UnixNano())
	wait := s.wait(occupied)
	if d.Version.IsZero() {
		return wait + s.HoldingSeconds
	}
	return wait + float64(d.PromptTokens)/s.PromptRate + 1/(s.AnswerRate*t.RelativeSpeed(d.Version))
}

// LateAfter returns the time from a request's last step after which the next is late; 0 if the request is unknown.
func (t *Table) LateAfter(id api.ServerID, runID AttemptID) time.Duration {
	i, at, ok := t.findRun(id, runID)
	if !ok {
		return 0
	}
	return t.runs[i][at].lateAfter()
}

// lateAfter is the time from the last step after which the next is late.
func (r *run) lateAfter() time.Duration {
	return time.Duration(late * (r.expected + stepSlack) * float64(time.Second))
}

// RecordProgress notes that so many tokens of a request have come. Calls between two steps are cheap.
func (t *Table) RecordProgress(id api.ServerID, runID AttemptID, tokens api.Tokens, now time.Time) {
	i, at, ok := t.findRun(id, runID)
	if !ok {
		return
	}
	r := &t.runs[i][at]
	if tokens < max(2*r.tokens, 1) {
		return
	}
	server, speed := &t.servers[i], t.RelativeSpeed(r.version)
	if took := now.Sub(r.since).Seconds(); !r.resumed && r.tokens >= minTaughtStep && took > late*(r.expected+stepSlack) {
		server.learnAnswer(float64(tokens-r.tokens) / took / speed)
		server.learntAt = now
	}
	r.since, r.tokens = now, tokens
	r.expected = float64(tokens) / (server.AnswerRate * speed)
	t.findLatest(i)
}

// RecordResume notes that a request's answer goes on over a new connection; the silence before it isn't the server's.
func (t *Table) RecordResume(id api.ServerID, runID AttemptID, now time.Time) {
	i, at, ok := t.findRun(id, runID)
	if !ok {
		return
	}
	t.runs[i][at].since, t.runs[i][at].resumed = now, true
	t.findLatest(i)
}

// RecordFinish notes that a request left a server. done is nil if it didn't end whole: its last step took at least as long as
// until now, which teaches something if that is longer than expected.
func (t *Table) RecordFinish(id api.ServerID, runID AttemptID, done *Completion, now time.Time) {
	i, at, ok := t.findRun(id, runID)
	if !ok {
		return
	}
	server := &t.servers[i]
	unfinished := t.runs[i][at]
	t.runs[i] = slices.Delete(t.runs[i], at, at+1)
	server.InFlight = max(server.InFlight-1, 0)
	t.history[i].note(now, server.InFlight)
	switch {
	case done == nil:
		server.learnUnfinished(&unfinished, now)
	case !unfinished.resumed:
		t.speeds[done.Version] = server.learn(done, t.RelativeSpeed(done.Version), now)
		t.boundSpeeds()
	}
	t.findLatest(i)
}

// learnUnfinished takes in that a step took at least a time. All rates are brought down alike: which one the step was
// waiting for is unknown, and a server that has turned slow is mostly so in all. Steps that began before the last such lesson
// teach nothing more, so that many requests given up at once count as one.
func (s *Server) learnUnfinished(r *run, now time.Time) {
	if now.Sub(r.since) < r.lateAfter() || r.since.Before(s.loweredAt) {
		return
	}
	s.learntAt, s.loweredAt = now, now
	longer := now.Sub(r.since).Seconds() / (r.expected + stepSlack)
	s.AnswerRate /= longer
	s.PromptRate /= longer
	s.HoldingSeconds *= longer
}

func (t *Table) findRun(id api.ServerID, runID AttemptID) (i ServerIndex, at int, ok bool) {
	i, ok = t.index[id]
	if !ok || runID == 0 {
		return 0, 0, false
	}
	at = slices.IndexFunc(t.runs[i], func(r run) bool { return r.id == runID })
	return i, at, at >= 0
}

// findLatest finds the run that will first be late.
func (t *Table) findLatest(i ServerIndex) {
	server := &t.servers[i]
	server.lateAt = 0
	for at := range t.runs[i] {
		r := &t.runs[i][at]
		if lateAt := r.since.Add(r.lateAfter()).UnixNano(); server.lateAt == 0 || lateAt < server.lateAt {
			server.lateAt, server.lateSince, server.lateBase = lateAt, r.since.UnixNano(), r.expected+stepSlack
		}
	}
}

// slowness is how many times slower than learnt the server seems to be, by the request that has been late for longest;
// 1 if none is. now is in nanoseconds since the Unix epoch.
func (s *Server) slowness(now int64) float64 {
	if s.lateAt == 0 || now < s.lateAt {
		return 1
	}
	return float64(now-s.lateSince) / float64(time.Second) / s.lateBase
}
