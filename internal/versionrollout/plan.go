package versionrollout

import (
	"time"
)

// The share of requests that goes to the target grows with time; evidence stops it. In the first half a session keeps the version
// that it has, so that the share stays as it is; in the second half it grows fast enough that the requests at the old servers have
// ended when these are stopped at completion.
const (
	// listTime is the time after an order at which nodes tell each other which sessions run, and startTime that at which the
	// first requests go to the target.
	listTime  = 500 * time.Millisecond
	startTime = time.Second
	// listedTime is until when the lists are exchanged: each node needs those that the others told last.
	listedTime = 1500 * time.Millisecond
	// firstShare is the part of the allowed exposure that is used before anything is known.
	firstShare = 0.4
	// defaultExposure is the allowed exposure where the deployment states none.
	defaultExposure = 0.1
)

// growth lists shares of the requests from parts of the duration on. The first step fills one of the target's servers; even if the
// target is found bad at its end, it got less than the usually allowed exposure of 15 in 100.
var growth = []struct{ from, share float64 }{
	{sessionsUntil, 0.8},
	{fillUntil, 1},
}

const (
	// fillUntil is the part of the duration at which no more servers are filled on purpose.
	fillUntil = 0.65
	// fillShare is the part of a server's slots that is filled: servers slow down when they are nearly full, and some versions fail
	// from half of their slots on.
	fillShare = 0.75
)

// FillShare returns the part of one server's slots that is to be filled with requests now, 0 if servers are loaded as usual. A service at
// its usual load shows nothing of a version that fails under load.
func FillShare(elapsed, duration time.Duration) float64 {
	if part := partOf(elapsed, duration); part < growth[0].from || part >= fillUntil {
		return 0
	}
	return fillShare
}

const (
	// completeFrom is the part of the duration from which a roll-out completes once no request runs at the old servers, and
	// completeBy that at which it completes in any case.
	completeFrom = 0.75
	completeBy   = 0.92
	// sessionsUntil is the part of the duration during which sessions keep their version.
	sessionsUntil = 0.5
)

// Share returns the share of the requests that go to the target, from 0 to 1.
func Share(elapsed, duration time.Duration, exposure float64) float64 {
	if elapsed < startTime {
		return 0
	}
	if exposure <= 0 {
		exposure = defaultExposure
	}
	share := firstShare * exposure
	part := partOf(elapsed, duration)
	for _, step := range growth {
		if part >= step.from {
			share = step.share
		}
	}
	return share
}

// partOf is the part of a duration that has passed.
func partOf(elapsed, duration time.Duration) float64 {
	return float64(elapsed) / float64(max(duration, 1))
}

// MayComplete reports whether a roll-out without a bad verdict is to be completed; atOld counts the requests that run at servers of
// other versions.
func MayComplete(elapsed, duration time.Duration, atOld int) bool {
	part := partOf(elapsed, duration)
	return part >= completeBy || part >= completeFrom && atOld == 0
}

// SessionsStayPinned reports whether sessions still keep the version that they have.
func SessionsStayPinned(elapsed, duration time.Duration) bool {
	return float64(elapsed) < sessionsUntil*float64(duration)
}
