// Package silence detects connections on which nothing arrives any more although the server may be healthy. It does no I/O and
// holds no clock: the caller reports events and asks what to do and when to ask again.
package silence

import (
	"time"
)

// Bounds of a watch.
const (
	// MaxSilence is the longest time from the last token to a probe once tokens are flowing.
	MaxSilence = 2 * time.Second
	// minSilence keeps a fast stream from being probed because of a short pause.
	minSilence = 500 * time.Millisecond
	// silenceIntervals is the number of mean token intervals after which a connection counts as silent.
	silenceIntervals = 12
	// flowingTokens is the number of tokens from which on tokens count as flowing.
	flowingTokens = 3
	// ProbeTimeout bounds a probe by a new connection.
	ProbeTimeout = 500 * time.Millisecond
	// intervalWeight is the weight of the newest interval in the moving average.
	intervalWeight = 0.2
)

// Action is what the caller of Next must do.
type Action int

// Actions.
const (
	// ActionWait means to ask again at the returned time or after the next event.
	ActionWait Action = iota
	// ActionProbe means to ask the server about the request on a new connection and to report the result to RecordProbe.
	ActionProbe
	// ActionResume means that the server is healthy but the connection isn't: close it and resume the answer on a new one.
	ActionResume
	// ActionMarkFailed means that the server doesn't answer on a new connection either: treat it as failed.
	ActionMarkFailed
)

// ProbeResult is the result of a probe by a new connection.
type ProbeResult int

// Results of probes.
const (
	// ProbeProgressed means that the server answers and has generated more than was received.
	ProbeProgressed ProbeResult = iota
	// ProbeNoProgress means that the server answers and has generated nothing more: it is slow, and the connection may be
	// healthy.
	ProbeNoProgress
	// ProbeNotFound means that the server answers but no longer holds the request.
	ProbeNotFound
	// ProbeFailed means that the server didn't answer within ProbeTimeout.
	ProbeFailed
)

// Watch watches the connection of one answer. It must be created by NewWatch and isn't safe for concurrent use.
type Watch struct {
	// firstTokenTimeout is the silence allowed before tokens are flowing.
	firstTokenTimeout time.Duration
	tokens            int
	// meanInterval is the moving average of the intervals between tokens.
	meanInterval time.Duration
	// lastEvent is when the last token arrived or when the last probe found the server slow.
	lastEvent time.Time
	// probing is true from ActionProbe until the result of the probe.
	probing  bool
	probedAt time.Time
	failures int
	// slowProbes counts the probes since the last token that found the server slow.
	slowProbes int
	action     Action
}

// NewWatch returns a watch of an answer whose request is dispatched now. firstTokenTimeout is the silence allowed before the
// first token, given the expected wait and prompt processing time; it doubles with each probe that finds the server slow.
func NewWatch(firstTokenTimeout time.Duration, now time.Time) *Watch {
	return &Watch{firstTokenTimeout: firstTokenTimeout, lastEvent: now}
}

// RecordToken records the arrival of a token.
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

// RecordProbe records the result of a probe. The server counts as failed after maxFailures failed probes in a row.
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

// maxFailures is the number of failed probes in a row after which a server counts as failed.
const maxFailures = 2

// Next returns what to do now. For ActionWait and ActionProbe it also returns when to ask again.
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

// maxDoublings bounds how often the silence allowed of a slow server is doubled.
const maxDoublings = 4

// allowedSilence returns the silence after which the server is probed. Before the first token it doubles with each probe that
// found the server slow, so that a long wait costs few probes.
func (w *Watch) allowedSilence() time.Duration {
	switch {
	case w.tokens == 0:
		return w.firstTokenTimeout << min(w.slowProbes, maxDoublings)
	case w.tokens < flowingTokens:
		return max(w.firstTokenTimeout, MaxSilence)
	}
	return min(max(silenceIntervals*w.meanInterval, minSilence), MaxSilence)
}
