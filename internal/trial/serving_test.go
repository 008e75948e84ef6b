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
	// simRate is the requests a second on each version, over all nodes: a tenth of the 40 of the roll-outs' replays.
	simRate = 4.0
	// busyRate is that of a version that all the traffic of a service goes to.
	busyRate = 40.0
	simWarm  = 15 * time.Minute
	// shortWarm is enough where the detection is not what is measured.
	shortWarm = 5 * time.Minute
	// seedsEnv raises the number of replays.
	seedsEnv = "SERVING_SEEDS"
)

// answers is what a version's answers are like.
type answers struct{ errors, quality, seconds float64 }

var fine = answers{errors: 0.005, quality: 0.8, seconds: 1.5}

// servingSim replays nodes that serve two versions, of which v1 turns bad.
type servingSim struct {
	rng    *rand.Rand
	nodes  []*Node
	marks  map[[2]int]uint64
	urgent map[int]bool
	cut    map[int]bool
	// only, from 0 on, is the one node on which answers are like bad.
	only int
	// rate is the requests a second on each version, over all nodes.
	rate float64
	// warm is the time before the fault.
	warm time.Duration
	// bad is what v1 is like once isBad.
	bad    answers
	isBad  bool
	allBad bool
	// isAlone tells that v2 gets no requests.
	isAlone bool
	exposed int
	// bytes counts what the nodes sent, over all nodes.
	bytes int
	step  int
	due   map[int][]func()
}

func newServingSim(seed uint64) *servingSim {
	s := &servingSim{
		rng: rand.New(rand.NewPCG(seed, 50)), marks: map[[2]int]uint64{}, urgent: map[int]bool{}, cut: map[int]bool{},
		only: -1, rate: simRate, warm: simWarm, due: map[int][]func(){},
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
	s.due[at] = append(s.due[at], run)
}

// run replays for a time, or until every node has stopped v1.
func (s *servingSim) run(limit time.Duration) {
	for end := s.step + int(limit/simStep); s.step < end && s.stopped() < simNodes; s.step++ {
		for _, run := range s.due[s.step] {
			run()
		}
		delete(s.due, s.step)
		for _, v := range []api.VersionID{v1, v2} {
			if s.isAlone && v == v2 {
				continue
			}
			for left := s.rate * simStep.Seconds(); s.rng.Float64() < left; left-- {
				s.arrive(s.rng.IntN(simNodes), v)
			}
		}
		if s.step%int(time.Second/simStep) == 0 {
			s.exchange()
		}
		for i := range s.nodes {
			if s.urgent[i] {
				delete(s.urgent, i)
				s.carry(i, s.rng.IntN(simNodes))
				s.carry(i, (i+1)%simNodes)
			}
		}
		time.Sleep(simStep)
	}
}

// serves reports whether a node gives v1 new sessions.
func (s *servingSim) serves(i int) bool {
	now := time.Now()
	config := s.nodes[i].Overlay(s.nodes[i].opts.Configs.Current())
	return config.StateOf(fleet.Scope{Service: "tutor-llm", Version: v1}, now) == fleet.StateServing
}

// stopped counts the nodes that give v1 no new sessions.
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
		s.carry(i, s.rng.IntN(simNodes))
		s.carry(s.rng.IntN(simNodes), i)
	}
}

func (s *servingSim) carry(from, to int) {
	if from == to || s.isBad && (s.cut[from] || s.cut[to]) {
		return
	}
	payload, upTo := s.nodes[from].Since(s.marks[[2]int{from, to}], peer.Member{}, 64<<10)
	s.marks[[2]int{from, to}] = upTo
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

func (s *servingSim) arrive(i int, v api.VersionID) {
	node, like := s.nodes[i], fine
	if v == v1 && !s.serves(i) {
		return
	}
	if s.isBad && (v == v1 || s.allBad) && (s.only < 0 || s.only == i) {
		like = s.bad
	}
	if s.isBad && v == v1 {
		s.exposed++
	}
	request := api.RequestID(fmt.Sprint(s.step, "-", s.rng.Uint64()))
	node.Dispatched(request, suspect.Key{Service: "tutor-llm", Version: v, Class: "review"})
	took := time.Duration(like.seconds * float64(time.Second) * math.Exp(0.5*s.rng.NormFloat64()))
	s.after(took, func() {
		if s.rng.Float64() < like.errors {
			node.Failed(request, v)
			return
		}
		node.Answered(request, v, took)
		if s.rng.Float64() < 0.5 {
			quality := api.Quality(like.quality + 0.15*s.rng.NormFloat64())
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

// simulate replays all seeds, each in a bubble of its own, with a fault that lasts for a time.
func simulate(t *testing.T, lasts time.Duration, prepare func(*servingSim), then func(*servingSim)) {
	t.Helper()
	for seed := range simSeeds() {
		synctest.Test(t, func(*testing.T) {
			s := newServingSim(seed)
			prepare(s)
			s.run(s.warm)
			s.isBad = true
			s.run(lasts)
			s.bad = fine
			s.run(time.Minute)
			then(s)
		})
	}
}

func TestNodesFindABadServingVersionTogether(t *testing.T) {
	// maxExposure is the target for a version in service: tens of requests over the whole fleet.
	const maxExposure = 100
	for _, test := range []struct {
		name string
		bad  answers
		cut  []int
	}{
		{"30 points of quality", answers{errors: 0.005, quality: 0.5, seconds: 1.5}, nil},
		{"20% errors", answers{errors: 0.2, quality: 0.8, seconds: 1.5}, nil},
		{"30 points of quality, 3 nodes cut off", answers{errors: 0.005, quality: 0.5, seconds: 1.5}, []int{1, 4, 6}},
		{"20% errors, 3 nodes cut off", answers{errors: 0.2, quality: 0.8, seconds: 1.5}, []int{1, 4, 6}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var exposed []int
			open, accepted := 0, 0
			simulate(t, 5*time.Minute, func(s *servingSim) {
				s.bad = test.bad
				for _, i := range test.cut {
					s.cut[i] = true
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
				qt.Check(t, accepted, qt.Equals, len(exposed), qt.Commentf("the withdrawal is to be accepted for all"))
			}
			qt.Check(t, open, qt.Equals, 0)
		})
	}
}

// TestOneFaultyNodeStopsAVersionForItselfAlone has the failures of one node's own network look like the version's.
func TestOneFaultyNodeStopsAVersionForItselfAlone(t *testing.T) {
	simulate(t, 5*time.Minute, func(s *servingSim) {
		s.warm = shortWarm
		s.bad, s.only = answers{errors: 0.5, quality: 0.8, seconds: 1.5}, 3
	}, func(s *servingSim) {
		for i, node := range s.nodes {
			qt.Check(t, s.serves(i), qt.Equals, i != s.only, qt.Commentf("node %d", i))
			qt.Check(t, node.ConfirmedStops(), qt.HasLen, 0)
		}
	})
}

// TestSlowServersAreNoFaultOfTheOnlyVersionInUse lets all servers be slow for a while, where a node has the traffic of
// one version alone and so nothing to compare with.
func TestSlowServersAreNoFaultOfTheOnlyVersionInUse(t *testing.T) {
	simulate(t, 15*time.Second, func(s *servingSim) {
		s.warm = shortWarm
		s.isAlone, s.rate, s.bad = true, busyRate, answers{errors: 0.005, quality: 0.8, seconds: 15}
	}, func(s *servingSim) {
		qt.Check(t, s.stopped(), qt.Equals, 0)
	})
}

// TestHealthyVersionsCostLittle has the exchange about healthy versions stay within a tenth of a node's budget of 6 KB a
// second where 64 detectors watch, which more of them do not exceed.
func TestHealthyVersionsCostLittle(t *testing.T) {
	const budget, detectors = 6000.0 / 10 / 64, simNodes * 2
	simulate(t, time.Second, func(*servingSim) {}, func(s *servingSim) {
		perNode := float64(s.bytes) / (float64(s.step) * simStep.Seconds()) / simNodes
		t.Logf("%.1f bytes a second a node", perNode)
		qt.Check(t, perNode <= budget*detectors, qt.IsTrue)
		qt.Check(t, s.stopped(), qt.Equals, 0)
	})
}

// TestAHeldVersionIsTriedAgain holds a version on one node, whose later answers are good.
func TestAHeldVersionIsTriedAgain(t *testing.T) {
	simulate(t, time.Minute, func(s *servingSim) {
		s.warm = shortWarm
		s.bad, s.only = answers{errors: 0.9, quality: 0.8, seconds: 1.5}, 3
	}, func(s *servingSim) {
		qt.Check(t, s.serves(s.only), qt.IsFalse)
		s.isBad = false
		s.run(suspect.UncorroboratedStopTTL)
		qt.Check(t, s.serves(s.only), qt.IsTrue)
	})
}
