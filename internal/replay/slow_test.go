package replay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSlowServer turns a server of the fastest kind eight times slower for a third of the replay, and holds the p99 to what
// is wanted without it: at most 1.25 of the zero-lag oracle's.
func TestSlowServer(t *testing.T) {
	const seeds = 4
	for _, name := range traceNames {
		for _, load := range []float64{0.3, 0.6} {
			t.Run(fmt.Sprintf("%s at load %.1f", name, load), func(t *testing.T) {
				measure := func(policy Policy, slow Slowdown) means {
					opts := optionsFor(t, policy, 1)
					opts.Versions, opts.Load, opts.Laps, opts.Slowdown = PolicyOracle, load, 2, slow
					return measureServers(t, name, seeds, opts)
				}
				slow := Slowdown{Server: 3, Factor: 8, From: 0.33, To: 0.67}
				usual, ours, oracle := measure(PolicyOurs, Slowdown{}), measure(PolicyOurs, slow), measure(PolicyOracle, slow)
				t.Logf("p99 %s, with a slow server %s, zero-lag oracle %s", usual.p99, ours.p99, oracle.p99)
				qt.Check(t, ours.p99 <= oracle.p99*5/4, qt.IsTrue)
			})
		}
	}
}
