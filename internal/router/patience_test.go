package router

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestFirstTokenTimeoutIsRarelyTooShort checks that a few in a hundred first tokens exceed the timeout, whatever the median and
// variance of their times, and that the timeout follows a change of the median.
func TestFirstTokenTimeoutIsRarelyTooShort(t *testing.T) {
	const rounds = 4000
	rng := rand.New(rand.NewPCG(1, 2))
	for _, median := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
		for _, spread := range []float64{0.1, 0.3, 0.5} {
			var times firstTokenTimes
			key := firstTokenKey{class: "explain"}
			for _, slower := range []float64{1, 1.5, 0.7} {
				late := 0
				for range rounds {
					took := time.Duration(slower * float64(median) * math.Exp(spread*rng.NormFloat64()))
					if took > times.timeout(key, 0) {
						late++
					}
					times.observe(key, took)
				}
				qt.Check(t, late <= rounds*4/100, qt.IsTrue, qt.Commentf("%s, spread %v, %v times: %d late", median, spread, slower, late))
				qt.Check(t, times.timeout(key, 0) <= baseFirstTokenTimeout, qt.IsTrue)
			}
		}
	}
}

// TestFirstTokenTimeoutHasBounds checks the timeout before any time was observed and the least timeout.
func TestFirstTokenTimeoutHasBounds(t *testing.T) {
	var times firstTokenTimes
	key := firstTokenKey{class: "explain"}
	qt.Check(t, times.timeout(key, 100), qt.Equals, baseFirstTokenTimeout+100*promptTokenTimeout)
	times.observe(key, time.Millisecond)
	qt.Check(t, times.timeout(key, 100), qt.Equals, minFirstTokenTimeout)
	qt.Check(t, times.timeout(firstTokenKey{version: api.VersionID{Model: "m", Version: "1"}}, 0), qt.Equals, baseFirstTokenTimeout)
}
