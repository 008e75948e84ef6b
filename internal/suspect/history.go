package suspect

import (
	"math"
	"time"
)

const (
	// minHistory is how many requests a version needs before it is compared with them.
	minHistory = 20
	// provingRequests is how many newer requests have to stand the test before earlier ones count as history.
	provingRequests = 40
	// longHistory is how many requests make a history that need not be renewed often.
	longHistory = 200
	// longRatings is how many requests and ratings make a history that needs no others'.
	longRatings = 1000
	// shortRenewal and longRenewal are the least times between two renewals of a short and of a long history.
	shortRenewal = 10 * time.Second
	longRenewal  = 10 * time.Minute
	// MaxHealthyNats is the evidence below which newer counts become history.
	MaxHealthyNats = 3
	// errorSpread is the variance in failures that a history without any is taken to have.
	errorSpread = 0.75
	// latencyWindow is the time in which durations count once: requests that run at the same time are slow together
	// when their servers are, so that they are no independent samples.
	latencyWindow = 10 * time.Second
	// windowLatency is the most that durations count in a window, in nats: as much as one of the slowest answers.
	windowLatency = 2.5
)

// History compares a version in service with what it was like before. The zero value knows nothing.
type History struct {
	// before is what the version is compared with. But for the first, it holds only counts that were weighed against an
	// earlier history.
	before Tally
	// pending becomes the history once provingRequests more have come and nothing speaks against them.
	pending   Tally
	renewedAt time.Time
	seen      Tally
	detector  Detector
	trail     trail
	// windowAt is when the present window for durations began, latencyLeft what they may still count in it.
	windowAt    time.Time
	latencyLeft float64
}

// Update takes in the newest counts and returns what is known. others holds the failures and ratings that other nodes had
// of the version before, which help while the own history is short; durations depend on the node's place.
func (h *History) Update(key Key, tally, others Tally, now time.Time) Finding {
	batch := tally.Since(h.seen)
	h.seen = tally
	h.trail.advance(now)
	control := h.before
	control.Add(others)
	if control.Requests >= minHistory && batch != (Tally{}) {
		control.Latency = h.before.Latency
		h.feed(control, batch, now)
	}
	h.renew(tally, now)
	return h.Finding(key)
}

func (h *History) feed(control, batch Tally, now time.Time) {
	if now.Sub(h.windowAt) >= latencyWindow {
		h.windowAt, h.latencyLeft = now, windowLatency
	}
	gains := gainsOf(control, batch, h.errorRate(control))
	gains[3] = min(gains[3], h.latencyLeft)
	h.latencyLeft -= max(0, gains[3])
	h.detector.grow(batch, gains)
	// Servers that are slow are slow for all nodes, whose durations are no independent evidence.
	gains[3] = 0
	h.trail.add(gains, now)
}

// errorRate returns the error rate assumed of the version: at least that of the node's own history, and a bound that
// holds for a short history too, which is the count of its failures, one standard deviation more, and a failure for those
// that were not seen yet.
func (h *History) errorRate(control Tally) float64 {
	failed := float64(control.Failed)
	bound := (failed + 1 + math.Sqrt(failed+errorSpread)) / float64(control.Requests)
	return min(1-smallErrors, max(ErrorRate(h.before), bound))
}

// renew takes newer counts into the history. Bad answers do not get there: they are weighed first, while they are
// pending, and stop the renewal.
func (h *History) renew(tally Tally, now time.Time) {
	every := longRenewal
	if h.before.Requests < longHistory {
		every = shortRenewal
	}
	isCalm := h.detector.Evidence().Total < MaxHealthyNats
	if !isCalm || now.Sub(h.renewedAt) < every || tally.Requests < h.pending.Requests+provingRequests {
		return
	}
	h.before, h.pending, h.renewedAt = h.pending, tally, now
}

// Restart forgets the evidence, and keeps what the version is compared with.
func (h *History) Restart() { h.detector, h.trail = Detector{}, trail{} }

// Finding returns what is known, from the version's own counts.
func (h *History) Finding(key Key) Finding {
	return Finding{Key: key, Evidence: h.detector.Evidence(), Sources: 1, Version: h.seen.Since(h.before), Control: h.before}
}

// IsShort reports whether the history has few requests or ratings, so that other nodes' help.
func (h *History) IsShort() bool {
	return h.before.Ratings() < longRatings || h.before.Requests < longRatings
}

// Suspicion returns what to tell other nodes, if the detector has found at least some nats.
func (h *History) Suspicion(key Key, nats float64) (Suspicion, bool) {
	return h.trail.suspicion(key), h.detector.Nats() >= nats
}
