package versionrollout

import (
	"time"
)

// The target's share of the requests grows with time, unless evidence stops the roll-out. In the first half of the duration sessions
// stay on their version, so that the share is constant; in the second half it grows fast enough that no requests are in flight on the
// old servers when these are stopped at completion.
const (
	// sessionListDelay is the time after an order from which on nodes report their running sessions to each other, firstShareDelay the
	// time at which the first requests go to the target.
	sessionListDelay = 500 * time.Millisecond
	firstShareDelay  = time.Second
	// sessionListEnd is the time until which nodes repeat their reports: each node needs also the sessions that its peers reported last.
	sessionListEnd = 1500 * time.Millisecond
	// initialExposurePart is the part of the allowed exposure that is used before there is evidence.
	initialExposurePart = 0.4
	// defaultExposure is the allowed exposure if the deployment sets none.
	defaultExposure = 0.1
)

const (
	// fillPart is the part of the duration for which servers are filled once sessions no longer stay pinned, at least for minFillDuration, and at most until the
	// part fillUntil.
	fillPart        = 0.15
	minFillDuration = 3500 * time.Millisecond
	fillUntil       = 0.72
	// fillingShare is the share of the requests that go to the target in the fill span of fleets of more than maxKindNodes: their nodes see too few requests to
	// agree on the routes that fill servers well.
	fillingShare = 0.8
	maxKindNodes = 32
	// fillServersUntil is the part of the duration until which servers are filled, by then as part of all requests.
	fillServersUntil = 0.8
	// filledSlotShare is the part of a server's slots that is filled: servers slow down when they are nearly full, and some versions
	// fail once half of their slots are in use.
	filledSlotShare = 0.75
)

// fillSpan is the time, since the order, in which only requests that fill a target's servers well go there. Servers are filled a little longer, see filledSlots.
type fillSpan struct{ from, until time.Duration }

// newFillSpan returns the fill span of a roll-out.
func newFillSpan(duration time.Duration) fillSpan {
	part := func(p float64) time.Duration { return time.Duration(p * float64(duration)) }
	from := part(pinSessionsUntil)
	return fillSpan{from: from, until: min(from+max(part(fillPart), minFillDuration), part(fillUntil))}
}

// filledSlots returns the part of one server's slots to fill with requests now; 0 if requests are spread as usual. At a service's usual load a version that
// fails only under load shows no fault.
func (s fillSpan) filledSlots(elapsed, duration time.Duration) float64 {
	if elapsed < s.from || elapsedPart(elapsed, duration) >= fillServersUntil {
		return 0
	}
	return filledSlotShare
}

// share returns the share of the requests that go to the target, from 0 to 1. An exposure of 0 means the default. In the fill span, only requests that fill
// servers well get more than the first share; isFilling tells whether a request does.
func (s fillSpan) share(elapsed time.Duration, exposure float64, nodes int, isFilling bool) float64 {
	isInSpan := elapsed >= s.from && elapsed < s.until
	switch {
	case elapsed < firstShareDelay:
		return 0
	case elapsed >= s.until, isInSpan && nodes <= maxKindNodes && isFilling:
		return 1
	case isInSpan && nodes > maxKindNodes:
		return fillingShare
	default:
		return firstShare(exposure)
	}
}

// firstShare returns the target's share of the requests before its servers are filled.
func firstShare(exposure float64) float64 {
	if exposure <= 0 {
		exposure = defaultExposure
	}
	return initialExposurePart * exposure
}

const (
	// completeFrom is the part of the duration from which on a roll-out may complete as soon as no request is in flight on the old servers,
	// completeBy the part from which on it may complete in spite of such requests.
	completeFrom = 0.75
	completeBy   = 0.92
	// pinSessionsUntil is the part of the duration during which sessions stay on their version.
	pinSessionsUntil = 0.5
)

// elapsedPart returns the part of a duration that has passed.
func elapsedPart(elapsed, duration time.Duration) float64 {
	return float64(elapsed) / float64(max(duration, 1))
}

// MayComplete reports whether it is time to complete a roll-out whose target has been shown to be healthy. oldInFlight is the number of in-flight
// requests of all nodes on servers of other versions.
func MayComplete(elapsed, duration time.Duration, oldInFlight int) bool {
	part := elapsedPart(elapsed, duration)
	return part >= completeBy || part >= completeFrom && oldInFlight == 0
}

// SessionsStayPinned reports whether sessions still stay on the version that they run on.
func SessionsStayPinned(elapsed, duration time.Duration) bool {
	return float64(elapsed) < pinSessionsUntil*float64(duration)
}

const (
	// MaxWriters is the number of nodes that may write a roll-out's state, in the order in which they collect reports.
	MaxWriters = 8
	// writeTimeout is how long each of them waits for the one before it to write a state.
	writeTimeout = 1200 * time.Millisecond
	// reportIntervalPerNode times the number of nodes is the interval between two reports of a node, at most maxReportInterval, so that the load of
	// the node that collects them is bounded.
	reportIntervalPerNode = 2 * time.Millisecond
	maxReportInterval     = 500 * time.Millisecond
)

// MayWrite reports whether the node with a rank among the writers, from 0, may write a state that has been pending for some time. Other nodes have
// a negative rank.
func MayWrite(rank int, pendingFor time.Duration) bool {
	return rank >= 0 && pendingFor >= time.Duration(rank)*writeTimeout
}

// reportInterval returns the minimum time between two reports of a node of a fleet.
func reportInterval(nodes int) time.Duration {
	return min(reportIntervalPerNode*time.Duration(nodes), maxReportInterval)
}
