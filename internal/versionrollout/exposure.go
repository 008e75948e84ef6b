package versionrollout

import "time"

// Traffic counts the attempts at a service's servers since the order of a roll-out.
type Traffic struct {
	// Attempts counts those at all versions, Target those at the target among them.
	Attempts, Target int
	// Running counts the attempts at the target that are in flight, Answered those that were answered to their end.
	Running, Answered int
}

// add returns the sum of the traffic of two nodes.
func (t Traffic) add(other Traffic) Traffic {
	return Traffic{
		Attempts: t.Attempts + other.Attempts, Target: t.Target + other.Target, Running: t.Running + other.Running, Answered: t.Answered + other.Answered,
	}
}

// ExposureLimit bounds the requests that an unhealthy target may get from the order to the roll-out's deadline: to Share x requests + Slack. There is no limit if
// Slack is 0.
type ExposureLimit struct {
	Share, Slack float64
}

const (
	// certainPart is the part of the present rate of requests that is counted on until the deadline.
	certainPart = 0.75
	// rateWindow is the time over which the rate of attempts at the target is measured, and rateReserve the multiple of it that may follow.
	rateWindow  = time.Second
	rateReserve = 1.5
)

// isReached reports whether a target that is not known to be healthy must get no more requests. elapsed is the time since the order, next the number of
// attempts at the target until a stop has effect on all nodes.
func (l ExposureLimit) isReached(t Traffic, elapsed, duration time.Duration, next float64) bool {
	if l.Slack == 0 || elapsed <= 0 {
		return false
	}
	expected := float64(t.Attempts) + certainPart*t.rate(elapsed)*max(0, duration-elapsed).Seconds()
	return float64(t.Target)+next >= l.Share*expected+l.Slack
}

const (
	// minAnswered is the number of whole answers of a target from which on it can be known to be healthy, minAnsweredPart their least part of them and of those
	// that are still awaited: the answers of a slow version come last.
	minAnswered     = 12
	minAnsweredPart = 1.0 / 3
)

// hasAnswered reports whether the target has answered enough of its requests to the end.
func (t Traffic) hasAnswered() bool {
	return t.Answered >= minAnswered && float64(t.Answered) >= minAnsweredPart*float64(t.Answered+t.Running)
}

// rate returns the mean rate of all attempts, in attempts a second.
func (t Traffic) rate(elapsed time.Duration) float64 { return float64(t.Attempts) / elapsed.Seconds() }

// trafficHistory holds what a collector knew of a roll-out's traffic within the last rateWindow, oldest first.
type trafficHistory []trafficSample

type trafficSample struct {
	elapsed time.Duration
	target  int
}

// targetRate adds a sample and returns the rate of attempts at the target, in attempts a second.
func (h *trafficHistory) targetRate(t Traffic, elapsed time.Duration) float64 {
	samples := *h
	for len(samples) > 1 && elapsed-samples[0].elapsed > rateWindow {
		samples = samples[1:]
	}
	*h = append(samples, trafficSample{elapsed, t.Target})
	oldest := (*h)[0]
	if elapsed <= oldest.elapsed {
		return 0
	}
	return float64(t.Target-oldest.target) / (elapsed - oldest.elapsed).Seconds()
}
