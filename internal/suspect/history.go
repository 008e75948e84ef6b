package suspect

import (
	"math"
	"time"
)

const (
	// minBaselineRequests is the least number of requests in a baseline with which a version is compared.
	minBaselineRequests = 20
	// pendingRequests is the number of newer requests that must be tested before pending counts become the baseline.
	pendingRequests = 40
	// longBaselineRequests is the number of requests from which a baseline is renewed only every longBaselineInterval.
	longBaselineRequests = 200
	// fullBaselineSamples is the number of requests and ratings from which a baseline needs no counts of other nodes.
	fullBaselineSamples = 1000
	// shortBaselineInterval and longBaselineInterval are the least times between two renewals of a short and a long baseline.
	shortBaselineInterval = 10 * time.Second
	longBaselineInterval  = 10 * time.Minute
	// MaxHealthyNats is the evidence in nats below which a version counts as healthy, so that its baseline is renewed.
	MaxHealthyNats = 3
	// zeroFailureVariance is the variance of the number of failures that is assumed for counts without failures.
	zeroFailureVariance = 0.75
	// latencyWindow is the length of the windows in which the evidence from durations is limited: concurrent requests are
	// slowed down together if their servers are slow, so that their durations are not independent samples.
	latencyWindow = 10 * time.Second
	// maxWindowLatencyNats is the largest evidence from durations in a window, in nats, about that of one of the slowest
	// answers.
	maxWindowLatencyNats = 2.5
)

// History compares a version in service with a baseline of its own earlier counts. The zero value has no baseline.
type History struct {
	// baseline holds the counts with which the version is compared. Except for the first baseline, they have themselves been
	// compared with an earlier one.
	baseline Tally
	// pending becomes the baseline once pendingRequests more requests are counted and the evidence is below MaxHealthyNats.
	pending     Tally
	renewedAt   time.Time
	lastTally   Tally
	detector    Detector
	recentGains recentGains
	// windowStart is when the current latency window began, latencyNatsLeft the evidence from durations that may still be
	// counted in it.
	windowStart     time.Time
	latencyNatsLeft float64
}

// Update updates the evidence with the newest counts and returns the finding. others holds the sum of the other nodes'
// baselines, which is used while the node's own baseline is short. Durations in it are ignored because they depend on
// the location of the node.
func (h *History) Update(key Key, tally, others Tally, now time.Time) Finding {
	batch := tally.Since(h.lastTally)
	h.lastTally = tally
	h.recentGains.advance(now)
	control := h.baseline
	control.Add(others)
	if control.Requests >= minBaselineRequests && batch != (Tally{}) {
		control.Latency = h.baseline.Latency
		h.feed(control, batch, now)
	}
	h.renewBaseline(tally, now)
	return h.Finding(key)
}

func (h *History) feed(control, batch Tally, now time.Time) {
	if now.Sub(h.windowStart) >= latencyWindow {
		h.windowStart, h.latencyNatsLeft = now, maxWindowLatencyNats
	}
	gains := gainsOf(control, batch, h.errorRateBound(control))
	gains[3] = min(gains[3], h.latencyNatsLeft)
	h.latencyNatsLeft -= max(0, gains[3])
	h.detector.addGains(batch, gains)
	// Slow servers are slow for all nodes, so the durations of several nodes are not independent evidence.
	gains[3] = 0
	h.recentGains.add(gains, now)
}

// errorRateBound returns the error rate assumed for the version: at least the error rate of the node's own baseline, and at
// least an upper bound that is also valid for a short baseline. The bound is the number of failures plus one standard
// deviation plus one failure that may not have been observed yet, divided by the number of requests.
func (h *History) errorRateBound(control Tally) float64 {
	failed := float64(control.Failed)
	bound := (failed + 1 + math.Sqrt(failed+zeroFailureVariance)) / float64(control.Requests)
	return min(1-smallErrorExcess, max(ErrorRate(h.baseline), bound))
}

// renewBaseline replaces the baseline by the pending counts if it is due. Counts of an unhealthy version don't enter the
// baseline: they are tested while they are pending, and evidence of MaxHealthyNats or more prevents the renewal.
func (h *History) renewBaseline(tally Tally, now time.Time) {
	interval := longBaselineInterval
	if h.baseline.Requests < longBaselineRequests {
		interval = shortBaselineInterval
	}
	isHealthy := h.detector.Evidence().Total < MaxHealthyNats
	if !isHealthy || now.Sub(h.renewedAt) < interval || tally.Requests < h.pending.Requests+pendingRequests {
		return
	}
	h.baseline, h.pending, h.renewedAt = h.pending, tally, now
}

// Restart resets the evidence and keeps the baseline.
func (h *History) Restart() { h.detector, h.recentGains = Detector{}, recentGains{} }

// Finding returns the evidence and the counts of this node. Version holds the counts since the baseline.
func (h *History) Finding(key Key) Finding {
	return Finding{Key: key, Evidence: h.detector.Evidence(), Sources: 1, Version: h.lastTally.Since(h.baseline), Control: h.baseline}
}

// IsShort reports whether the baseline has so few requests or ratings that counts of other nodes are needed.
func (h *History) IsShort() bool {
	return h.baseline.Ratings() < fullBaselineSamples || h.baseline.Requests < fullBaselineSamples
}

// Suspicion returns the suspicion to report to peers, and whether the detector has evidence of at least nats.
func (h *History) Suspicion(key Key, nats float64) (Suspicion, bool) {
	return h.recentGains.suspicion(key), h.detector.PeakNats() >= nats
}
