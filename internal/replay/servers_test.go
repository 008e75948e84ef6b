package replay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// means are averages over seeds, but for the loads, which are the worst.
type means struct {
	p99              time.Duration
	hits, fair, peak float64
}

func measureServers(t *testing.T, name string, seeds int, opts Options) means {
	t.Helper()
	var m means
	for _, r := range runSeeds(t, readTrace(t, name), seeds, opts) {
		m.p99 += r.P99 / time.Duration(seeds)
		m.hits += r.PrefixHits / float64(seeds)
		m.fair = max(m.fair, r.MaxFairLoad)
		m.peak = max(m.peak, r.PeakQueue)
	}
	return m
}

// TestServerTargets checks the choice of servers on unlike servers at 80% load with 2 s lag, the versions being
// those of the oracle under every policy.
func TestServerTargets(t *testing.T) {
	const seeds = 4
	for _, name := range traceNames {
		t.Run(name, func(t *testing.T) {
			measured := map[Policy]means{}
			for _, policy := range []Policy{PolicyOurs, PolicyOracle, PolicyRoundRobin, PolicyPerfectCache} {
				opts := optionsFor(t, policy, 1)
				opts.Versions = PolicyOracle
				opts.Load = 0.8
				opts.Laps = 2
				measured[policy] = measureServers(t, name, seeds, opts)
			}
			noLag := optionsFor(t, PolicyOurs, 1)
			noLag.Versions, noLag.Load, noLag.Laps, noLag.Lag = PolicyOracle, 0.8, 2, 0
			ours, oracle := measured[PolicyOurs], min(measured[PolicyOracle].p99, measureServers(t, name, seeds, noLag).p99)
			t.Logf("%s: p99 %s, round robin %s, zero-lag oracle %s; prefix hits %.3f, with perfect knowledge %.3f; fair load at worst %.3f",
				name, ours.p99, measured[PolicyRoundRobin].p99, oracle, ours.hits, measured[PolicyPerfectCache].hits, ours.fair)
			qt.Check(t, ours.p99 <= measured[PolicyRoundRobin].p99/2, qt.IsTrue)
			qt.Check(t, ours.p99 <= oracle*5/4, qt.IsTrue)
			qt.Check(t, ours.hits >= 0.85*measured[PolicyPerfectCache].hits, qt.IsTrue)
			qt.Check(t, ours.fair <= 1.25, qt.IsTrue)
		})
	}
}

// TestNoHerd lets 590 nodes choose among the same 64 servers by the same stale reports. Following the reports alone
// sends all nodes to one server after another; the longest queue must stay far below that, and p99 near the oracle's.
func TestNoHerd(t *testing.T) {
	laps := 3
	if testing.Short() {
		laps = 1
	}
	truth := westMids()
	truth.Servers = unlikeServers(64, 20_000)
	run := func(policy Policy, load float64) means {
		opts := optionsFor(t, policy, 1)
		opts.Versions, opts.Load, opts.Laps, opts.Nodes = PolicyOracle, load, laps, 590
		opts.Truth = &truth
		return measureServers(t, "commons", 1, opts)
	}
	for _, load := range []float64{0.4, 0.8} {
		ours, herd, oracle := run(PolicyOurs, load), run(PolicyLeastReported, load), run(PolicyOracle, load)
		t.Logf("590 nodes, 64 servers, load %.1f: p99 %s and peak queue %.2f; by reports alone %s and %.2f; zero-lag oracle %s and %.2f",
			load, ours.p99, ours.peak, herd.p99, herd.peak, oracle.p99, oracle.peak)
		qt.Check(t, ours.peak <= herd.peak/4, qt.IsTrue)
		if load == 0.8 {
			qt.Check(t, ours.p99 <= oracle.p99*5/4, qt.IsTrue)
		}
	}
}
