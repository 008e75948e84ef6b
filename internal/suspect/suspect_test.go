package suspect

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var (
	now = time.Date(2026, 3, 1, 2, 0, 0, 0, time.UTC)
	v1  = api.VersionID{Model: "tutor", Version: "v1"}
	v2  = api.VersionID{Model: "tutor", Version: "v2"}
	key = Key{Service: "tutor-llm", Version: v2, Class: "review"}
)

// behaviour describes the answers of a simulated version.
type behaviour struct {
	errors        float64
	rating        float64
	latencyFactor float64
}

func (b behaviour) sample(rng *rand.Rand, t *Tally) {
	if rng.Float64() < b.errors {
		t.Fail()
		return
	}
	t.Answer(time.Duration(float64(2*time.Second) * b.latencyFactor * math.Exp(0.5*rng.NormFloat64())))
	if rng.Float64() < 0.5 {
		t.Rate(api.Quality(b.rating + 0.15*rng.NormFloat64()))
	}
}

func (b behaviour) tally(rng *rand.Rand, n int) Tally {
	var t Tally
	for range n {
		b.sample(rng, &t)
	}
	return t
}

var good = behaviour{errors: 0.005, rating: 0.8, latencyFactor: 1}

// requestsUntilStop returns the number of requests after which a version is stopped, or limit if it isn't stopped before.
func requestsUntilStop(seed uint64, simulated behaviour, threshold float64, limit int) int {
	rng := rand.New(rand.NewPCG(seed, 1))
	control := good.tally(rng, 1000)
	var detector Detector
	for n := 1; n <= limit; n++ {
		detector.Feed(control, simulated.tally(rng, 1))
		if detector.Evidence().Total >= threshold {
			return n
		}
	}
	return limit
}

func TestFalseAlarmsStayWithinTheStatedBound(t *testing.T) {
	const seeds, horizon, bound = 400, 600, 0.01
	for _, q := range []behaviour{good, {errors: 0.005, rating: 0.82, latencyFactor: 1}, {errors: 0.005, rating: 0.79, latencyFactor: 1.1}} {
		alarms := 0
		for seed := range uint64(seeds) {
			if requestsUntilStop(seed, q, Threshold(horizon, bound), horizon) < horizon {
				alarms++
			}
		}
		qt.Check(t, float64(alarms)/seeds <= bound, qt.IsTrue, qt.Commentf("%+v: %d alarms", q, alarms))
	}
}

func TestClearFaultsAreDetected(t *testing.T) {
	const seeds, horizon = 200, 600
	for name, q := range map[string]behaviour{
		"30 points of quality": {errors: 0.005, rating: 0.5, latencyFactor: 1},
		"20% errors":           {errors: 0.2, rating: 0.8, latencyFactor: 1},
		"4 times slower":       {errors: 0.005, rating: 0.8, latencyFactor: 4},
		"5% errors":            {errors: 0.05, rating: 0.8, latencyFactor: 1},
	} {
		sum := 0
		for seed := range uint64(seeds) {
			n := requestsUntilStop(seed, q, Threshold(horizon, 0.01), horizon)
			sum += n
			qt.Check(t, n < horizon, qt.IsTrue, qt.Commentf("%s: seed %d was not stopped", name, seed))
		}
		t.Logf("%s: stopped after %.1f requests on average", name, float64(sum)/seeds)
	}
}

func report(source Reporter, version, control Tally) Report {
	return Report{Source: source, Key: key, Version: version, Control: control}
}

func TestPoolIgnoresRepeatedAndReorderedReports(t *testing.T) {
	pool := NewPool(PoolOptions{Threshold: 10, MaxReporters: 8})
	pool.SetControl(key, Tally{Requests: 1000, Failed: 5})
	pool.Observe(report("a", Tally{Requests: 20, Failed: 4}, Tally{}))
	once := pool.Find(key)
	pool.Observe(report("a", Tally{Requests: 10, Failed: 2}, Tally{}))
	pool.Observe(report("a", Tally{Requests: 20, Failed: 4}, Tally{}))
	qt.Assert(t, pool.Find(key), qt.DeepEquals, once)
}

func TestSingleReporterDoesNotStopVersion(t *testing.T) {
	bad := Tally{Requests: 20, Failed: 10}
	fine := Tally{Requests: 20}
	pool := NewPool(PoolOptions{Threshold: 10, MaxReporters: 8})
	pool.SetControl(key, Tally{Requests: 1000, Failed: 5})
	pool.Observe(report("b", fine, Tally{}))
	pool.Observe(report("a", bad, Tally{}))
	qt.Assert(t, pool.Find(key).Evidence.Total > 10, qt.IsTrue)
	qt.Assert(t, pool.Find(key).Stop, qt.IsFalse)
	pool.Observe(report("c", Tally{Requests: 4, Failed: 1}, Tally{}))
	qt.Assert(t, pool.Find(key).Stop, qt.IsTrue)
}

func TestReporterWithOwnFaultGivesNoEvidence(t *testing.T) {
	pool := NewPool(PoolOptions{Threshold: 10, MaxReporters: 8})
	pool.SetControl(key, Tally{Requests: 1000, Failed: 5})
	pool.Observe(report("a", Tally{Requests: 40, Failed: 12}, Tally{Requests: 200, Failed: 60}))
	pool.Observe(report("b", Tally{Requests: 40, Failed: 10}, Tally{Requests: 200, Failed: 55}))
	found := pool.Find(key)
	qt.Assert(t, found.Stop, qt.IsFalse)
	qt.Assert(t, found.Evidence.Total < 10, qt.IsTrue, qt.Commentf("%+v", found.Evidence))
}

func TestRatingsWithFewValues(t *testing.T) {
	control := Tally{}
	for range 85 {
		control.Rate(1)
	}
	for range 15 {
		control.Rate(0)
	}
	var detector Detector
	for range 10 {
		batch := Tally{}
		batch.Rate(1)
		detector.Feed(control, batch)
	}
	qt.Assert(t, detector.Evidence().Ratings < 0, qt.IsTrue)
	for range 10 {
		batch := Tally{}
		batch.Rate(0)
		detector.Feed(control, batch)
	}
	qt.Assert(t, detector.Evidence().Ratings > 5, qt.IsTrue)
}

func config(states ...fleet.VersionState) *fleet.Config {
	return &fleet.Config{Services: []fleet.Service{{Name: key.Service, Models: []fleet.Model{{Name: "tutor", Versions: []fleet.Version{
		{Name: "v1", State: states[0]}, {Name: "v2", State: states[1]},
	}}}}}}
}

func TestStopsLastUntilConfigurationWithdrawsVersion(t *testing.T) {
	finding := Finding{Key: key, Evidence: Evidence{Total: 12}, Sources: 2}
	stop := NewStop("n1", finding, 7, now)
	stops := NewStops()
	stops.Add(stop)
	serving := config(fleet.StateServing, fleet.StateServing)
	scope := fleet.Scope{Service: key.Service, Version: v2}
	qt.Assert(t, WithStops(serving, stops.Active()).StateOf(scope, now), qt.Equals, fleet.StateWithdrawn)

	withdrawn := *serving
	withdrawn.Exceptions = []fleet.Exception{stop.Exception()}
	stops.Reconcile(&withdrawn, now)
	qt.Assert(t, stops.Active(), qt.HasLen, 0)
	qt.Assert(t, withdrawn.StateOf(scope, now), qt.Equals, fleet.StateWithdrawn)

	qt.Assert(t, stops.AddFromPeer(stop, false), qt.IsFalse, qt.Commentf("a delayed message reactivated the stop"))
	qt.Assert(t, WithStops(serving, stops.Active()).StateOf(scope, now), qt.Equals, fleet.StateServing)
}

func TestPeerStopNeedsCorroboration(t *testing.T) {
	alone := Stop{ID: "auto-1", Service: key.Service, Version: v2, Node: "n1", Sources: 1}
	other := Stop{ID: "auto-2", Service: key.Service, Version: v2, Node: "n2", Sources: 1}
	for _, test := range []struct {
		name  string
		heard []Stop
		own   bool
		want  bool
	}{
		{"single source", []Stop{alone}, false, false},
		{"the same again", []Stop{alone, alone}, false, false},
		{"own evidence", []Stop{alone}, true, true},
		{"two nodes", []Stop{alone, other}, false, true},
		{"two sources", []Stop{{ID: "auto-3", Service: key.Service, Version: v2, Node: "n1", Sources: 2}}, false, true},
	} {
		stops := NewStops()
		got := false
		for _, stop := range test.heard {
			got = stops.AddFromPeer(stop, test.own)
		}
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

func TestLastServingVersionHasNoAlternative(t *testing.T) {
	both := config(fleet.StateServing, fleet.StateServing)
	qt.Assert(t, HasAlternative(both, key.Service, v2, now), qt.IsTrue)
	alone := WithStops(both, []Stop{{ID: "auto-1", Service: key.Service, Version: v1}})
	qt.Assert(t, HasAlternative(alone, key.Service, v2, now), qt.IsFalse)
	qt.Assert(t, both.Exceptions, qt.HasLen, 0)
}

func BenchmarkFeed(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	control, batch := good.tally(rng, 1000), good.tally(rng, 1)
	var detector Detector
	b.ReportAllocs()
	for b.Loop() {
		detector.Feed(control, batch)
	}
}

func FuzzTally(f *testing.F) {
	text, err := good.tally(rand.New(rand.NewPCG(1, 1)), 50).MarshalText()
	qt.Assert(f, err, qt.IsNil)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var read, again Tally
		if err := read.UnmarshalText(text); err != nil {
			qt.Assert(t, IsErrBadTally(err), qt.IsTrue)
			return
		}
		written, err := read.MarshalText()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.UnmarshalText(written), qt.IsNil)
		qt.Assert(t, again, qt.Equals, read)
	})
}
