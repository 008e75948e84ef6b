package replay

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var traceNames = []string{"commons", "carrasco"}

func readTrace(t testing.TB, name string) *trace.Trace {
	t.Helper()
	recorded, err := trace.ReadFile(filepath.Join("..", "..", "testdata", "traces", name+".jsonl.gz"))
	qt.Assert(t, err, qt.IsNil)
	return recorded
}

func optionsFor(t testing.TB, policy Policy, seed uint64) Options {
	t.Helper()
	opts, err := ForPolicy(policy, seed)
	qt.Assert(t, err, qt.IsNil)
	return opts
}

// runSeeds replays a trace for seeds counted up from 1.
func runSeeds(t testing.TB, recorded *trace.Trace, seeds int, opts Options) []*Result {
	t.Helper()
	results := make([]*Result, seeds)
	var group errgroup.Group
	group.SetLimit(4)
	for i := range seeds {
		group.Go(func() error {
			mine := opts
			mine.Seed = uint64(i) + 1
			result, err := Run(recorded, mine)
			results[i] = result
			return err
		})
	}
	qt.Assert(t, group.Wait(), qt.IsNil)
	return results
}

// TestVersionTargets checks quality and cost on the recorded traces: the target met in every class for 99 in 100 seeds,
// at a cost of at most 1.15 of the oracle's with every seed, and 0.6 of always the best version's.
func TestVersionTargets(t *testing.T) {
	const costBound = 1.15
	seeds := 100
	if testing.Short() {
		seeds = 10
	}
	for _, name := range traceNames {
		t.Run(name, func(t *testing.T) {
			recorded := readTrace(t, name)
			met, over := 0, 0
			var mean, meanBest, worst float64
			for _, r := range runSeeds(t, recorded, seeds, optionsFor(t, PolicyOurs, 1)) {
				if r.TargetMet {
					met++
				}
				ratio := float64(r.Cost) / float64(r.OracleCost)
				if ratio > costBound {
					over++
				}
				mean += ratio / float64(seeds)
				meanBest += float64(r.Cost) / float64(r.BestCost) / float64(seeds)
				worst = max(worst, ratio)
			}
			t.Logf("%s: target met with %d of %d seeds; cost %.3f of the oracle's on average, over %.2f with %d seeds, %.3f at worst; %.3f of the best's",
				name, met, seeds, mean, costBound, over, worst, meanBest)
			qt.Check(t, met >= (99*seeds+99)/100, qt.IsTrue)
			qt.Check(t, worst <= costBound, qt.IsTrue)
			qt.Check(t, meanBest <= 0.6, qt.IsTrue)
		})
	}
}

// TestRegretGrowsWithTheLogarithm plays a stationary stream and checks that twice as many requests add
// no more regret than a constant: the last doubling adds at most what the doublings before it did on average.
func TestRegretGrowsWithTheLogarithm(t *testing.T) {
	for _, name := range traceNames {
		t.Run(name, func(t *testing.T) {
			opts := optionsFor(t, PolicyOurs, 1)
			opts.Laps = 16
			opts.Load = 0.5
			seeds := 4
			if testing.Short() {
				seeds = 1
			}
			var at [regretParts]float64
			for _, r := range runSeeds(t, readTrace(t, name), seeds, opts) {
				for i := range at {
					at[i] += r.Regret[i] / float64(seeds)
				}
			}
			lap1, lap2, lap4, lap8, lap16 := at[0], at[1], at[3], at[7], at[15]
			t.Logf("%s: regret after 1, 2, 4, 8 and 16 laps: %.2f %.2f %.2f %.2f %.2f", name, lap1, lap2, lap4, lap8, lap16)
			perDoubling := lap8 / 4
			qt.Assert(t, lap16-lap8 <= max(perDoubling, 1), qt.IsTrue, qt.Commentf("last doubling added %.2f", lap16-lap8))
		})
	}
}

// TestReplayIsDeterministic checks that equal options give equal figures to the last digit.
func TestReplayIsDeterministic(t *testing.T) {
	recorded := readTrace(t, "commons")
	for _, policy := range []Policy{PolicyOurs, PolicyOracle, PolicyRandom} {
		var texts [2][]byte
		for i := range texts {
			result, err := Run(recorded, optionsFor(t, policy, 7))
			qt.Assert(t, err, qt.IsNil)
			texts[i], err = json.Marshal(result)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, bytes.Equal(texts[0], texts[1]), qt.IsTrue, qt.Commentf("%s", policy))
	}
}

// TestBadVersionIsLeft turns the version that review needs bad for good halfway through. The choice must leave it,
// so that the target is still met in every class.
func TestBadVersionIsLeft(t *testing.T) {
	const seeds = 10
	recorded := readTrace(t, "commons")
	faulty := *recorded
	halfway := recorded.Entries[len(recorded.Entries)/2].At
	faulty.Header.Faults = []trace.Fault{{At: halfway, Kind: trace.FaultBadVersion, Target: "tutor-medium@2"}}
	met, exposed, requests := 0, 0, 0
	for _, r := range runSeeds(t, &faulty, seeds, optionsFor(t, PolicyOurs, 1)) {
		if r.TargetMet {
			met++
		}
		exposed += r.Exposed
		requests += r.Requests
	}
	t.Logf("target met with %d of %d seeds; %.4f of all requests met the bad version", met, seeds, float64(exposed)/float64(requests))
	qt.Assert(t, met, qt.Equals, seeds)
}

// TestNewVersionIsTried puts a version without history on trial: one that is good gets its share and no more,
// one that is bad gets less and harms no class.
func TestNewVersionIsTried(t *testing.T) {
	const share = 0.1
	for name, strength := range map[string]float64{"good": 0.7, "bad": 0} {
		t.Run(name, func(t *testing.T) {
			truth := westMids()
			candidate := truth.Versions[1]
			candidate.ID.Version, candidate.Strength, candidate.Share, candidate.Prior = "3-rc1", strength, share, 0
			truth.Versions = append(truth.Versions, candidate)
			opts := optionsFor(t, PolicyOurs, 3)
			opts.Truth = &truth
			opts.Laps = 2
			result, err := Run(readTrace(t, "commons"), opts)
			qt.Assert(t, err, qt.IsNil)
			part := float64(result.Trials) / float64(result.Requests)
			t.Logf("%s: %.4f of the requests were trials, target met: %v", name, part, result.TargetMet)
			qt.Check(t, result.TargetMet, qt.IsTrue)
			qt.Check(t, part > 0 && part <= share*1.1, qt.IsTrue)
			if name == "bad" {
				qt.Check(t, part <= share/2, qt.IsTrue)
			}
		})
	}
}

// TestWrongPriorsAreOvercome assumes each version to be better or worse than it is. The target must be met all the same;
// what is learnt too late costs money only.
func TestWrongPriorsAreOvercome(t *testing.T) {
	const seeds = 10
	for _, name := range traceNames {
		for _, offset := range []api.Quality{0.1, -0.1} {
			recorded := readTrace(t, name)
			truth, err := TruthOf(recorded.Header.Fleet)
			qt.Assert(t, err, qt.IsNil)
			for i := range truth.Versions {
				truth.Versions[i].Prior = min(truth.Versions[i].Prior+offset, 1)
			}
			opts := optionsFor(t, PolicyOurs, 1)
			opts.Truth = &truth
			met, cost := 0, 0.0
			for _, r := range runSeeds(t, recorded, seeds, opts) {
				if r.TargetMet {
					met++
				}
				cost += float64(r.Cost) / float64(r.OracleCost) / seeds
			}
			t.Logf("%s, priors off by %+.1f: target met with %d of %d seeds, cost %.3f of the oracle's", name, offset, met, seeds, cost)
			qt.Check(t, met, qt.Equals, seeds)
		}
	}
}
