package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	simNodes    = 8
	simRate     = 40.0 // requests a second over the whole fleet
	simExchange = time.Second
	simDelay    = 500 * time.Millisecond
	simLost     = 12 * time.Second
	simRated    = 0.5
	simPause    = 20 * time.Second // mean time between two requests of a session
	simPatience = 6 * time.Second  // after which a result counts as settled without its rating
)

// behaviour is what a version's answers are like.
type behaviour struct {
	errors  float64
	quality float64
	slower  float64
}

var healthy = behaviour{errors: 0.005, quality: 0.8, slower: 1}

// simulation replays a roll-out with the real gate, pool and machine on simulated nodes and answers.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	events  eventQueue
	nodes   []*simNode
	pool    *suspect.Pool
	rollOut RollOut
	config  *fleet.Config
	uses    map[api.NodeID]Use
	heard   map[api.NodeID]time.Time
	seq     uint64
	// candidate behaves as before until onset, which is zero until the fault sets in.
	candidate behaviour
	fault     behaviour
	onset     time.Time
	// cut tells which nodes the holder neither hears nor reaches from the onset on.
	cut map[int]bool
	// exposed counts requests handed to the candidate after the onset.
	exposed int
	// ran counts those and the copies.
	ran int
	// canCopy lets nodes send copies of answered requests.
	canCopy bool
	// turns is the mean number of requests of a session; 1 means no sessions.
	turns float64
	// faultAtStep is the step in which the fault sets in; -1 for a healthy roll-out.
	faultAtStep int
}

type simNode struct {
	id      api.NodeID
	gate    Gate
	own     *suspect.Pool
	version suspect.Tally
	stopped bool
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue struct {
	list []event
	n    int
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq
}
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events.n++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.events.n, run: run})
}

func simPlan() Plan {
	return Plan{
		ID: "r1", Service: "tutor-llm", Author: "ana", Reason: "cheaper",
		Version: api.VersionID{Model: "tutor", Version: "v2"}, Control: api.VersionID{Model: "tutor", Version: "v1"},
	}.WithDefaults()
}

var simKey = suspect.Key{Service: "tutor-llm", Version: simPlan().Version, Class: "review"}

func newSimulation(seed uint64, candidate behaviour) *simulation {
	plan := simPlan()
	r, err := Start(plan, simStart)
	if err != nil {
		panic(err)
	}
	opts := suspect.PoolOptions{Threshold: plan.Threshold(), MaxReporters: 64}
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), now: simStart, pool: suspect.NewPool(opts), rollOut: r,
		config: testConfig(fleet.StateCandidate), uses: map[api.NodeID]Use{}, heard: map[api.NodeID]time.Time{}, canCopy: true, candidate: candidate,
		cut: map[int]bool{}, faultAtStep: -1, turns: 1,
	}
	history := s.history()
	s.pool.SetControl(simKey, history)
	for i := range simNodes {
		node := &simNode{id: api.NodeID(fmt.Sprintf("n%d", i)), own: suspect.NewPool(opts)}
		node.own.SetControl(simKey, history)
		s.nodes = append(s.nodes, node)
		s.after(time.Duration(s.rng.Float64()*float64(simExchange)), func() { s.report(i) })
	}
	s.after(0, s.arrive)
	s.after(simExchange, s.hold)
	return s
}

var simStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// result is what became of a request.
type result struct {
	took    time.Duration
	failed  bool
	isRated bool
	quality api.Quality
	// late is how long after the answer its rating comes.
	late time.Duration
}

func (s *simulation) draw(b behaviour) result {
	failed := s.rng.Float64() < b.errors
	return result{
		took:    time.Duration(b.slower * float64(1500*time.Millisecond) * math.Exp(0.5*s.rng.NormFloat64())),
		failed:  failed,
		isRated: !failed && s.rng.Float64() < simRated,
		quality: api.Quality(b.quality + 0.15*s.rng.NormFloat64()),
		late:    time.Duration(s.rng.ExpFloat64() * float64(1500*time.Millisecond)),
	}
}

// history returns the counts of a control that has served for a while.
func (s *simulation) history() suspect.Tally {
	var t suspect.Tally
	for range 1000 {
		r := s.draw(healthy)
		if r.failed {
			t.Fail()
			continue
		}
		t.Answer(r.took)
		if r.isRated {
			t.Rate(r.quality)
		}
	}
	return t
}

// startAt lets the roll-out begin in a later step.
func (s *simulation) startAt(step int) {
	s.rollOut.Phase, s.rollOut.Step = PhaseGrowing, step
	s.accept()
}

// arrive hands one request without a session, or the first one of a session, to a random node.
func (s *simulation) arrive() {
	node := s.nodes[s.rng.IntN(simNodes)]
	draw := s.rng.Float64()
	switch {
	case node.stopped:
	case node.gate.Take(draw):
		s.dispatch(node, true, node.gate.Complete)
		s.goOn(node)
	case node.gate.TakeCopy(draw):
		s.dispatch(node, false, node.gate.Complete)
	}
	s.after(time.Duration(s.rng.ExpFloat64()*s.turns/simRate*float64(time.Second)), s.arrive)
}

// goOn lets a session that is pinned to the candidate send further requests, which the gate counts and does not hold back.
func (s *simulation) goOn(node *simNode) {
	if s.rng.Float64() < 1/s.turns {
		return
	}
	s.after(time.Duration(s.rng.ExpFloat64()*float64(simPause)), func() {
		if !node.stopped {
			node.gate.CountPinned()
			s.dispatch(node, true, node.gate.Complete)
			s.goOn(node)
		}
	})
}

// dispatch runs a request, or a copy that no caller sees, on the candidate.
func (s *simulation) dispatch(node *simNode, forCaller bool, settle func()) {
	b := s.candidate
	if !s.onset.IsZero() {
		b = s.fault
		s.ran++
		if forCaller {
			s.exposed++
		}
	}
	r := s.draw(b)
	s.after(r.took, func() { s.finish(node, r, settle) })
}

// finish counts a result, at once or with its rating.
func (s *simulation) finish(node *simNode, r result, settle func()) {
	if r.failed {
		node.version.Fail()
		settle()
		return
	}
	node.version.Answer(r.took)
	wait := simPatience
	if r.isRated {
		s.after(r.late, func() { node.version.Rate(r.quality) })
		wait = min(r.late, simPatience)
	}
	s.after(wait, settle)
}

// report is one round of the exchange of a node: it weighs its own counts and tells the holder.
func (s *simulation) report(i int) {
	node := s.nodes[i]
	r := suspect.Report{Source: suspect.Reporter(node.id), Key: simKey, Version: node.version}
	use := node.gate.Use(node.id, "i")
	node.own.Observe(r)
	if node.own.Find(simKey).Stop {
		node.stopped = true
	}
	s.after(simDelay, func() {
		if !s.isCut(i) {
			s.pool.Observe(r)
			s.uses[node.id] = use
			s.heard[node.id] = s.now
		}
	})
	s.after(simExchange, func() { s.report(i) })
}

func (s *simulation) isCut(i int) bool { return s.cut[i] && !s.onset.IsZero() }

// hold is one round of the duty's holder.
func (s *simulation) hold() {
	findings := []suspect.Finding{s.pool.Find(simKey)}
	var settled uint64
	uses := make([]Use, 0, len(s.uses))
	for _, node := range s.nodes {
		use, ok := s.uses[node.id]
		settled += use.Settled
		if ok && s.now.Sub(s.heard[node.id]) < simLost {
			uses = append(uses, use)
		}
	}
	snap := Snapshot{Now: s.now, Config: s.config, Pool: PoolCounts{Servers: 12, Loaded: 12}, Findings: findings, Results: resultsOf(findings, settled), AwaitsRatings: true}
	if s.rollOut.Phase == PhaseAborting {
		snap.Pool.Loaded = 0
	}
	if next, moved := Next(s.rollOut, snap); moved {
		s.rollOut = next
	}
	if s.rollOut.Applied == 0 {
		s.accept()
	}
	s.maybeFault()
	s.grant(uses, s.rollOut.Exposure(findings, s.canCopy))
	s.after(simExchange, s.hold)
}

// accept stands for an accepted change.
func (s *simulation) accept() {
	revision := s.config.Revision + 1
	s.config = testConfig(s.rollOut.CandidateState())
	s.config.Revision = revision
	s.rollOut.Applied = revision
}

func (s *simulation) grant(uses []Use, allowed Exposure) {
	s.seq++
	grants := Split(SplitOptions{Plan: s.rollOut.Plan, Fencing: 1, Seq: s.seq, Exposure: allowed, Uses: uses})
	for _, grant := range grants {
		s.after(simDelay, func() {
			for i, node := range s.nodes {
				if !s.isCut(i) {
					node.gate.SetGrant(grant, node.id, "i")
				}
			}
		})
	}
}

// maybeFault lets the fault set in a random while after the step has begun.
func (s *simulation) maybeFault() {
	if s.rollOut.Phase == PhaseGrowing && s.rollOut.Step == s.faultAtStep && s.onset.IsZero() {
		s.faultAtStep = -1
		s.after(time.Duration(s.rng.Float64()*float64(20*time.Second)), func() { s.onset = s.now })
	}
}

// run replays until the roll-out has ended or limit is over.
func (s *simulation) run(limit time.Duration) {
	end := s.now.Add(limit)
	for !s.rollOut.Phase.IsFinal() && s.now.Before(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	// What is still out at a node may yet be handed to the candidate.
	for settle := s.now.Add(10 * time.Second); s.now.Before(settle); {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

func testConfig(state fleet.VersionState) *fleet.Config {
	return &fleet.Config{Services: []fleet.Service{{Name: "tutor-llm", Kind: fleet.KindEngine, Models: []fleet.Model{{
		Name: "tutor", Versions: []fleet.Version{{Name: "v1", State: fleet.StateServing}, {Name: "v2", State: state}},
	}}}}}
}
