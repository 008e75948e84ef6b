package serverpace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/serverpace"
	"github.com/monsoonrail/monsoonrail/internal/workload"
)

var start = time.Unix(1_700_000_000, 0)

// fleetPace returns the pace of a server by the answers of many nodes: five a second of 200 ms of work each, slowed by a factor from begin to end.
func fleetPace(factor float64, begin, end, now time.Duration) workload.Pace {
	const nodes, perSecond, work = 91, 5, 200 * time.Millisecond
	paces := make([]serverpace.Pace, nodes)
	for i := range int(now.Seconds() * perSecond) {
		at := time.Duration(i) * time.Second / perSecond
		took := work
		if at >= begin && at < end {
			took = time.Duration(factor * float64(work))
		}
		paces[i*7%nodes].Add(took, work, start.Add(at))
	}
	var sum workload.Pace
	for i := range paces {
		sum = sum.Add(paces[i].At(start.Add(now)))
	}
	return sum
}

// TestPaceOfManyNodes checks that the answers of 91 nodes, each of which gets one in 18 seconds from the server, show within two seconds that it has become
// slow, and within three that it is no longer.
func TestPaceOfManyNodes(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name       string
		factor     float64
		begin, end time.Duration
		now        time.Duration
		min, max   float64
	}{
		{"usual", 1, 0, 0, 20 * second, 0.95, 1.05},
		{"at half speed for long", 2, 0, 60 * second, 20 * second, 1.6, 2},
		{"slow for two seconds", 3, 18 * second, 60 * second, 20 * second, 1.6, 3},
		{"no longer slow", 3, 5 * second, 17 * second, 20 * second, 1, 1.7},
		{"slow for 600 ms, long ago", 3, 10 * second, 10600 * time.Millisecond, 16 * second, 1, 1.1},
	} {
		t.Run(test.name, func(t *testing.T) {
			slowness := serverpace.Slowness(fleetPace(test.factor, test.begin, test.end, test.now), 1)
			qt.Assert(t, slowness >= test.min && slowness <= test.max, qt.IsTrue, qt.Commentf("slowness %.2f", slowness))
		})
	}
}

// TestLargePromptsCountByWork checks that a long answer outweighs several short ones that met some delay.
func TestLargePromptsCountByWork(t *testing.T) {
	var pace serverpace.Pace
	for range 5 {
		pace.Add(60*time.Millisecond, 20*time.Millisecond, start)
	}
	pace.Add(2*time.Second, 2*time.Second, start)
	qt.Assert(t, serverpace.Slowness(pace.At(start), 1) < 1.15, qt.IsTrue)
}

// TestSlowdownFades checks that a server's own report counts while it is fresh, against what servers report on average.
func TestSlowdownFades(t *testing.T) {
	qt.Assert(t, serverpace.SlowdownFactor(2.5, 1.25, 0), qt.Equals, 2.0)
	qt.Assert(t, serverpace.SlowdownFactor(1, 1.25, 0), qt.Equals, 0.8)
	qt.Assert(t, serverpace.SlowdownFactor(2.5, 1.25, 2*time.Second) < 1.02, qt.IsTrue)
	qt.Assert(t, serverpace.SlowdownFactor(0, 1.25, 0), qt.Equals, 1.0)
}
