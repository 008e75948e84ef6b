// Package silence finds connections on which nothing comes any more though the other end may be well.
// It does no I/O and holds no clock: its user feeds it events and asks it what to do and when to ask again.
package silence

import (
	"time"
)

// Bounds of a watch.
const (
	// MaxSilence is the longest time from the last token to a probe where tokens were flowing.
	MaxSilence = 2 * time.Second
	// minSilence keeps a fast stream from being probed for a short pause.
	minSilence = 500 * time.Millisecond
	// intervalsOfSilence is the number of usual token intervals that make a silence.
	intervalsOfSilence = 12
	// flowingTokens is the number of tokens after which tokens count as flowing.
	flowingTokens = 3
	// ProbeTimeout is how long a probe by a new connection may take.
	ProbeTimeout = 500 * time.Millisecond
	// intervalWeight is the weight of the newest interval in the usual one.
	intervalWeight = 0.2
)

// Action is what the user of a watch does.
type Action int

// Actions.
const (
	// ActionWait means to ask again at the time given or after the next event.
	ActionWait Action = iota
	// ActionProbe means to open a new connection to the server and ask it about the request, and to report the result.
	ActionProbe
	// ActionResume means that the server is well and the connection isn't: close it and resume the answer on a new one.
	ActionResume
	// ActionBlame means that the server doesn't answer on a new connection either: treat it as dead.
	ActionBlame
)

// ProbeResult is what a probe by a new connection found.
type ProbeResult int

// Results of probes.
const (
	// ProbeProgressed means that the server answers and has generated beyond what came in.
	ProbeProgressed ProbeResult = iota
	// ProbeStill means that the server answers and has generated nothing more: it is slow, and the connection may be well.
	ProbeStill
	// ProbeGone means that the server answers but no longer holds the request.
	ProbeGone
	// ProbeFailed means that the server didn't answer in ProbeTimeout.
	ProbeFailed
)

// Watch follows one answer. The zero value isn't ready: use NewWatch. It isn't safe for concurrent use.
type Watch struct {
	// firstWithin is the silence allowed before tokens flow.
	firstWithin time.Duration
	tokens      int
	// usual is the mean interval between tokens.
	usual time.Duration
	// last is when the last token came in, or when the last probe found the server slow.
	last time.Time
	// probing is true from ActionProbe to the probe's result.
	probing  bool
	probedAt time.Time
	failures int
	// slow counts the probes since the last token that found the server slow.
	slow    int
	verdict Action
}

// NewWatch starts to watch an answer at its dispatch. firstWithin is the silence allowed before the first
// token, from the expected wait and prompt time; it doubles with each probe that finds the server slow.
func NewWatch(firstWithin time.Duration, now time.Time) *Watch {
	return &Watch{firstWithin: firstWithin, last: now}
}

// Token notes that a token came in.
func (w *Watch) Token(now time.Time) {
	w.tokens++
	interval := now.Sub(w.last)
	switch {
	case w.tokens <= 1:
	case w.usual == 0:
		w.usual = interval
	default:
		w.usual += time.Duration(intervalWeight * float64(interval-w.usual))
	}
	w.last = now
	w.probing = false
	w.failures = 0
	w.slow = 0
	w.verdict = ActionWait
}

// Probed notes the result of a probe. A second failure in a row, or a failure before tokens flowed, blames the server.
func (w *Watch) Probed(result ProbeResult, now time.Time) {
	if !w.probing {
		return
	}
	w.probing = false
	switch result {
	case ProbeProgressed, ProbeGone:
		w.verdict = ActionResume
	case ProbeStill:
		w.failures = 0
		w.slow++
		w.last = now
	case ProbeFailed:
		w.failures++
		if w.failures >= maxFailures {
			w.verdict = ActionBlame
		}
	}
}

// maxFailures is the number of failed probes in a row after which a server is blamed.
const maxFailures = 2

// Next returns what to do now and, to wait, until when.
func (w *Watch) Next(now time.Time) (Action, time.Time) {
	if w.verdict != ActionWait {
		return w.verdict, now
	}
	if w.probing {
		end := w.probedAt.Add(ProbeTimeout)
		if now.Before(end) {
			return ActionWait, end
		}
		w.Probed(ProbeFailed, now)
		return w.Next(now)
	}
	due := w.last.Add(w.allowed())
	if w.failures == 0 && now.Before(due) {
		return ActionWait, due
	}
	w.probing = true
	w.probedAt = now
	return ActionProbe, now.Add(ProbeTimeout)
}

// maxDoublings bounds the doublings of the silence allowed of a slow server.
const maxDoublings = 4

// allowed is the silence after which the server is probed. Before the first token it doubles with each probe that found the
// server slow, so that a long wait costs few probes.
func (w *Watch) allowed() time.Duration {
	switch {
	case w.tokens == 0:
		return w.firstWithin << min(w.slow, maxDoublings)
	case w.tokens < flowingTokens:
		return max(w.firstWithin, MaxSilence)
	}
	return min(max(intervalsOfSilence*w.usual, minSilence), MaxSilence)
}
