package replay

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// smallTeams offer less than their share at any load that the tests play.
var smallTeams = map[string]api.Team{"commons": "moderators", "carrasco": "mesa-despacho"}

// TestOverloadTargets checks twice the capacity: goodput of at least 0.9 of it, each team within 10% of its share,
// and a small team's p99 as it was at 80% load, but for a quarter.
func TestOverloadTargets(t *testing.T) {
	const seeds = 8
	for _, name := range traceNames {
		t.Run(name, func(t *testing.T) {
			opts := optionsFor(t, PolicyOurs, 1)
			opts.Versions, opts.Laps, opts.Admission = PolicyOracle, 6, true
			opts.Load = 0.8
			usual := runSeeds(t, readTrace(t, name), seeds, opts)
			opts.Load = 2
			flooded := runSeeds(t, readTrace(t, name), seeds, opts)
			goodput, furthest := 1.0, 0.0
			for _, r := range flooded {
				goodput = min(goodput, r.Goodput)
				for _, team := range r.Teams {
					furthest = max(furthest, math.Abs(team.Used/team.FairShare-1))
				}
			}
			before, after := meanP99(usual, smallTeams[name]), meanP99(flooded, smallTeams[name])
			t.Logf("%s at twice the capacity: goodput %.3f at worst, furthest team %.3f from its share; %s p99 %s, at 80%% load %s",
				name, goodput, furthest, smallTeams[name], after, before)
			qt.Check(t, goodput >= 0.9, qt.IsTrue)
			qt.Check(t, furthest <= 0.1, qt.IsTrue)
			qt.Check(t, after <= before*5/4, qt.IsTrue)
		})
	}
}

func meanP99(results []*Result, name api.Team) time.Duration {
	var sum time.Duration
	for _, r := range results {
		for _, team := range r.Teams {
			if team.Team == name {
				sum += team.P99
			}
		}
	}
	return sum / time.Duration(len(results))
}
