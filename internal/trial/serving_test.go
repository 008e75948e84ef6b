package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	simNodes = 8
	simStep  = 100 * time.Millisecond
	// versionRate is the rate of requests per second to each version over all nodes, a tenth of the 40 in the roll-out simulations.
	versionRate = 4.0
	// serviceRate is the rate of a version that gets all requests of a service.
	serviceRate   = 40.0
	defaultWarmUp = 15 * time.Minute
	// shortWarmUp is for tests that don't measure the detection.
	shortWarmUp = 5 * time.Minute
	// seedsEnv is the environment variable that sets the number of simulations.
	seedsEnv = "SERVING_SEEDS"
)

// behavior describes a version's answers: the fraction of errors, the mean rating and the median latency in seconds.
type behavior struct{ errors, quality, seconds float64 }

var healthy = behavior{errors: 0.005, quality: 0.8, seconds: 1.5}

// servingSim simulates nodes that serve two versions, of which v1 becomes faulty.
type servingSim struct {
	rng      *rand.Rand
	nodes    []*Node
	sentUpTo map[[2]int]uint64
	urgent   map[int]bool
	cutOff   map[int]bool
	// faultyNode, if not negative, is the only node on which the fault shows.
	faultyNode int
	// rate is the rate of requests per second to each version over all nodes.
	rate float64
	// warmUp is the time before the fault begins.
	warmUp time.Duration
	// faulty is the behavior of v1 once hasFault is set.
	faulty              behavior
	hasFault            bool
	affectsBothVersions bool
	// onlyV1 means that v2 gets no requests.
	onlyV1  bool
	exposed int
	// bytes counts the bytes that all nodes sent.
	bytes     int
	step      int
	scheduled map[int][]func()
}

func newServingSim(seed uint64) *servingSim {
	s := &servingSim{
		rng: rand.New(rand.NewPCG(seed, 50)), sentUpTo: map[[2]int]uint64{}, urgent: map[int]bool{}, cutOff: map[int]bool{},
		faultyNode: -1, rate: versionRate, warmUp: defaultWarmUp, scheduled: map[int][]func(){},
	}
	config := staticConfig{&fleet.Config{Services: []fleet.Service{{Name: "tutor-llm", Models: []fleet.Model{{Name: "tutor", Versions: []fleet.Version{
		{Name: "v1", State: fleet.StateServing}, {Name: "v2", State: fleet.StateServing},
	}}}}}}}
	for i := range simNodes {
		id := api.NodeID(fmt.Sprintf("n%d", i))
		opts := Options{
			Node: id, Incarnation: api.Incarnation(id) + "-1", Configs: config, Log: &log.Logger{Handler: discard.New()},
			Notify: func() { s.urgent[i] = true },
		}
		opts.Nodes = func() int { return simNodes }
		s.nodes = append(s.nodes, New(opts))
	}
	return s
}

func (s *servingSim) after(d time.Duration, run func()) {
	at := s.step + 1 + int(d/simStep)
	s.scheduled[at] = append(s.scheduled[at], run)
}

// run simulates for the given time, or until every node has stopped v1.
func (s *servingSim) run(limit time.Duration) {
	for end := s.step + int(limit/simStep); s.step < end && s.stopped() < simNodes; s.step++ {
		for _, run := range s.scheduled[s.step] {
			run()
		}
		delete(s.scheduled, s.step)
		for _, v := range []api.VersionID{v1, v2} {
			if s.onlyV1 && v == v2 {
				continue
			}
			for left := s.rate * simStep.Seconds(); s.rng.Float64() < left; left-- {
				s.sendRequest(s.rng.IntN(simNodes), v)
			}
		}
		if s.step%int(time.Second/simStep) == 0 {
			s.exchange()
		}
		for i := range s.nodes {
			if s.urgent[i] {
				delete(s.urgent, i)
				s.send(i, s.rng.IntN(simNodes))
				s.send(i, (i+1)%simNodes)
			}
		}
		time.Sleep(simStep)
	}
}

// serves reports whether a node sends new sessions to v1.
func (s *servingSim) serves(i int) bool {
	now := time.Now()
	config := s.nodes[i].Overlay(s.nodes[i].opts.Configs.Current())
	return config.StateOf(fleet.Scope{Service: "tutor-llm", Version: v1}, now) == fleet.StateServing
}

// stopped counts the nodes that send no new sessions to v1.
func (s *servingSim) stopped() int {
	count := 0
	for i := range s.nodes {
		if !s.serves(i) {
			count++
		}
	}
	return count
}

func (s *servingSim) exchange() {
	for i, node := range s.nodes {
		node.Tick(time.Now())
		s.send(i, s.rng.IntN(simNodes))
		s.send(s.rng.IntN(simNodes), i)
	}
}

func (s *servingSim) send(from, to int) {
	if from == to || s.hasFault && (s.cutOff[from] || s.cutOff[to]) {
		return
	}
	payload, upTo := s.nodes[from].Since(s.sentUpTo[[2]int{from, to}], peer.Member{}, 64<<10)
	s.sentUpTo[[2]int{from, to}] = upTo
	if len(payload) == 0 {
		return
	}
	s.bytes += len(payload)
	s.after(simStep, func() {
		if news, err := s.nodes[to].Merge(peer.Member{}, payload); err == nil && news {
			s.urgent[to] = true
		}
	})
}

func (s *servingSim) sendRequest(i int, v api.VersionID) {
	node, current := s.nodes[i], healthy
	if v == v1 && !s.serves(i) {
		return
	}
	if s.hasFault && (v == v1 || s.affectsBothVersions) && (s.faultyNode < 0 || s.faultyNode == i) {
		current = s.faulty
	}
	if s.hasFault && v == v1 {
		s.exposed++
	}
	request := api.RequestID(fmt.Sprint(s.step, "-", s.rng.Uint64()))
	node.Dispatched(request, suspect.Key{Service: "tutor-llm", Version: v, Class: "review"})
	latency := time.Duration(current.seconds * float64(time.Second) * math.Exp(0.5*s.rng.NormFloat64()))
	s.after(latency, func() {
		if s.rng.Float64() < current.errors {
			node.Failed(request, v)
			return
		}
		node.Answered(request, v, latency)
		if s.rng.Float64() < 0.5 {
			quality := api.Quality(current.quality + 0.15*s.rng.NormFloat64())
			s.after(time.Duration(1.5*s.rng.ExpFloat64()*float64(time.Second)), func() { node.Rated(request, v, quality) })
		}
	})
}

func simSeeds() uint64 {
	if text := os.Getenv(seedsEnv); text != "" {
		seeds, err := strconv.ParseUint(text, 10, 64)
		if err == nil {
			return seeds
		}
	}
	if testing.Short() {
		return 1
	}
	return 4
}

// simulate runs a simulation for each seed, each in its own synctest bubble, with a fault that lasts for faultDuration.
func simulate(t *testing.T, faultDuration time.Duration, prepare func(*servingSim), check func(*servingSim)) {
	t.Helper()
	for seed := range simSeeds() {
		synctest.Test(t, func(*testing.T) {
			s := newServingSim(seed)
			prepare(s)
			s.run(s.warmUp)
			s.hasFault = true
			s.run(faultDuration)
			s.faulty = healthy
			s.run(time.Minute)
			check(s)
		})
	}
}

func TestNodesFindABadServingVersionTogether(t *testing.T) {
	// maxExposure is the target for the number of requests that reach a faulty version in service: tens over the whole fleet.
	const maxExposure = 100
	for _, test := range []struct {
		name string
		bad  behavior
		cut  []int
	}{
		{"30 points of quality", behavior{errors: 0.005, quality: 0.5, seconds: 1.5}, nil},
		{"20% errors", behavior{errors: 0.2, quality: 0.8, seconds: 1.5}, nil},
		{"30 points of quality, 3 nodes cut off", behavior{errors: 0.005, quality: 0.5, seconds: 1.5}, []int{1, 4, 6}},
		{"20% errors, 3 nodes cut off", behavior{errors: 0.2, quality: 0.8, seconds: 1.5}, []int{1, 4, 6}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var exposed []int
			open, accepted := 0, 0
			simulate(t, 5*time.Minute, func(s *servingSim) {
				s.faulty = test.bad
				for _, i := range test.cut {
					s.cutOff[i] = true
				}
			}, func(s *servingSim) {
				exposed = append(exposed, s.exposed)
				open += simNodes - s.stopped()
				if slices.ContainsFunc(s.nodes, func(node *Node) bool { return len(node.ConfirmedStops()) > 0 }) {
					accepted++
				}
			})
			slices.Sort(exposed)
			at := func(q float64) int { return exposed[min(int(q*float64(len(exposed))), len(exposed)-1)] }
			t.Logf("exposed: p50 %d, p95 %d, p99 %d, max %d; nodes that did not stop it: %d", at(0.5), at(0.95), at(0.99), at(1), open)
			if len(test.cut) == 0 {
				qt.Check(t, at(0.5) <= maxExposure, qt.IsTrue)
				qt.Check(t, accepted, qt.Equals, len(exposed), qt.Commentf("the withdrawal must be accepted for all nodes"))
			}
			qt.Check(t, open, qt.Equals, 0)
		})
	}
}

// TestFaultyNodeStopsVersionOnlyOnItself guards against a fleet-wide stop caused by a single node whose own fault, as of its network,
// looks like one of the version.
func TestFaultyNodeStopsVersionOnlyOnItself(t *testing.T) {
	simulate(t, 5*time.Minute, func(s *servingSim) {
		s.warmUp = shortWarmUp
		s.faulty, s.faultyNode = behavior{errors: 0.5, quality: 0.8, seconds: 1.5}, 3
	}, func(s *servingSim) {
		for i, node := range s.nodes {
			qt.Check(t, s.serves(i), qt.Equals, i != s.faultyNode, qt.Commentf("node %d", i))
			qt.Check(t, node.ConfirmedStops(), qt.HasLen, 0)
		}
	})
}

// TestSlowServersDoNotStopOnlyUsedVersion guards against a stop of the only version in use when all servers are temporarily slow. A
// node has no results of another version to compare with.
func TestSlowServersDoNotStopOnlyUsedVersion(t *testing.T) {
	simulate(t, 15*time.Second, func(s *servingSim) {
		s.warmUp = shortWarmUp
		s.onlyV1, s.rate, s.faulty = true, serviceRate, behavior{errors: 0.005, quality: 0.8, seconds: 15}
	}, func(s *servingSim) {
		qt.Check(t, s.stopped(), qt.Equals, 0)
	})
}

// TestHealthyVersionsNeedLittleTraffic checks that the exchange about healthy versions takes at most a tenth of a node's budget of
// 6 KB per second with 64 detectors. More detectors don't exceed that.
func TestHealthyVersionsNeedLittleTraffic(t *testing.T) {
	const budget, detectors = 6000.0 / 10 / 64, simNodes * 2
	simulate(t, time.Second, func(*servingSim) {}, func(s *servingSim) {
		perNode := float64(s.bytes) / (float64(s.step) * simStep.Seconds()) / simNodes
		t.Logf("%.1f bytes a second a node", perNode)
		qt.Check(t, perNode <= budget*detectors, qt.IsTrue)
		qt.Check(t, s.stopped(), qt.Equals, 0)
	})
}

// TestLocalDrainEnds guards against a version that stays drained on one node although its later answers are good.
func TestLocalDrainEnds(t *testing.T) {
	simulate(t, time.Minute, func(s *servingSim) {
		s.warmUp = shortWarmUp
		s.faulty, s.faultyNode = behavior{errors: 0.9, quality: 0.8, seconds: 1.5}, 3
	}, func(s *servingSim) {
		qt.Check(t, s.serves(s.faultyNode), qt.IsFalse)
		s.hasFault = false
		s.run(suspect.UncorroboratedStopTTL)
		qt.Check(t, s.serves(s.faultyNode), qt.IsTrue)
	})
}
