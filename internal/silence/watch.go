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
	// silenceIntervals is the number of usual token intervals that make a silence.
	silenceIntervals = 12
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
	// ActionMarkFailed means that the server doesn't answer on a new connection either: treat it as dead.
	ActionMarkFailed
)

// ProbeResult is what a probe by a new connection found.
type ProbeResult int

// Results of probes.
const (
	// ProbeProgressed means that the server answers and has generated beyond what came in.
	ProbeProgressed ProbeResult = iota
	// ProbeNoProgress means that the server answers and has generated nothing more: it is slow, and the connection may be well.
	ProbeNoProgress
	// ProbeNotFound means that the server answers but no longer holds the request.
	ProbeNotFound
	// ProbeFailed means that the server didn't answer in ProbeTimeout.
	ProbeFailed
)

// Watch follows one answer. The zero value isn't ready: use NewWatch. It isn't safe for concurrent use.
type Watch struct {
	// firstTokenTimeout is the silence allowed before tokens flow.
	firstTokenTimeout time.Duration
	tokens            int
	// meanInterval is the mean interval between tokens.
	meanInterval time.Duration
	// lastEvent is when the lastEvent token came in, or when the lastEvent probe found the server slow.
	lastEvent time.Time
	// probing is true from ActionProbe to the probe's result.
	probing  bool
	probedAt time.Time
	failures int
	// slowProbes counts the probes since the last token that found the server slowProbes.
	slowProbes int
	action     Action
}

// NewWatch starts to watch an answer at its dispatch. firstWithin is the silence allowed before the first
// token, from the expected wait and prompt time; it doubles with each probe that finds the server slow.
func NewWatch(firstTokenTimeout time.Duration, now time.Time) *Watch {
	return &Watch{firstTokenTimeout: firstTokenTimeout, lastEvent: now}
}

// RecordToken notes that a token came in.
func (w *Watch) RecordToken(now time.Time) {
	w.tokens++
	interval := now.Sub(w.lastEvent)
	switch {
	case w.tokens <= 1:
	case w.meanInterval == 0:
		w.meanInterval = interval
	default:
		w.meanInterval += time.Duration(intervalWeight * float64(interval-w.meanInterval))
	}
	w.lastEvent = now
	w.probing = false
	w.failures = 0
	w.slowProbes = 0
	w.action = ActionWait
}

// RecordProbe notes the result of a probe. A second failure in a row, or a failure before tokens flowed, blames the server.
func (w *Watch) RecordProbe(result ProbeResult, now time.Time) {
	if !w.probing {
		return
	}
	w.probing = false
	switch result {
	case ProbeProgressed, ProbeNotFound:
		w.action = ActionResume
	case ProbeNoProgress:
		w.failures = 0
		w.slowProbes++
		w.lastEvent = now
	case ProbeFailed:
		w.failures++
		if w.failures >= maxFailures {
			w.action = ActionMarkFailed
		}
	}
}

// maxFailures is the number of failed probes in a row after which a server is blamed.
const maxFailures = 2

// Next returns what to do now and, to wait, until when.
func (w *Watch) Next(now time.Time) (Action, time.Time) {
	if w.action != ActionWait {
		return w.action, now
	}
	if w.probing {
		end := w.probedAt.Add(ProbeTimeout)
		if now.Before(end) {
			return ActionWait, end
		}
		w.RecordProbe(ProbeFailed, now)
		return w.Next(now)
	}
	due := w.lastEvent.Add(w.allowedSilence())
	if w.failures == 0 && now.Before(due) {
		return ActionWait, due
	}
	w.probing = true
	w.probedAt = now
	return ActionProbe, now.Add(ProbeTimeout)
}

// maxDoublings bounds the doublings of the silence allowed of a slow server.
const maxDoublings = 4

// allowedSilence is the silence after which the server is probed. Before the first token it doubles with each probe that found the
// server slow, so that a long wait costs few probes.
func (w *Watch) allowedSilence() time.Duration {
	switch {
	case w.tokens == 0:
		return w.firstTokenTimeout << min(w.slowProbes, maxDoublings)
	case w.tokens < flowingTokens:
		return max(w.firstTokenTimeout, MaxSilence)
	}
	return min(max(silenceIntervals*w.meanInterval, minSilence), MaxSilence)
}
