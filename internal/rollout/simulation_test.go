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
	simNodes            = 8
	simRate             = 40.0 // requests a second over the whole fleet
	simExchangeInterval = time.Second
	simNetworkDelay     = 500 * time.Millisecond
	simNodeTimeout      = 12 * time.Second
	simRatedShare       = 0.5
	simSessionPause     = 20 * time.Second // mean time between two requests of a session
	simRatingTimeout    = 6 * time.Second  // after which a result is complete without its rating
)

// behaviour describes a version's answers: the share of errors, the mean quality, and the factor on the latency.
type behaviour struct {
	errors        float64
	quality       float64
	latencyFactor float64
}

var healthy = behaviour{errors: 0.005, quality: 0.8, latencyFactor: 1}

// simulation simulates a roll-out with the real gate, evidence pool and state machine on simulated nodes and answers.
type simulation struct {
	rng       *rand.Rand
	now       time.Time
	events    eventQueue
	nodes     []*simNode
	pool      *suspect.Pool
	rollOut   RollOut
	config    *fleet.Config
	uses      map[api.NodeID]Use
	lastHeard map[api.NodeID]time.Time
	seq       uint64
	// candidate is the candidate's behaviour until onset, fault its behaviour from then on; onset is zero before the fault.
	candidate behaviour
	fault     behaviour
	onset     time.Time
	// partitioned is set for the nodes that exchange nothing with the lease holder from onset on.
	partitioned map[int]bool
	// exposed counts callers' requests that were sent to the candidate after onset.
	exposed int
	// onCandidate counts callers' requests and copies that were sent to the candidate after onset.
	onCandidate int
	// canCopy is set if nodes can send copies of answered requests.
	canCopy bool
	// requestsPerSession is the mean number of requests of a session; 1 means no sessions.
	requestsPerSession float64
	// faultAtStep is the step in which the fault begins; -1 for a healthy roll-out.
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
		config: testConfig(fleet.StateCandidate), uses: map[api.NodeID]Use{}, lastHeard: map[api.NodeID]time.Time{}, canCopy: true, candidate: candidate,
		partitioned: map[int]bool{}, faultAtStep: -1, requestsPerSession: 1,
	}
	history := s.history()
	s.pool.SetControl(simKey, history)
	for i := range simNodes {
		node := &simNode{id: api.NodeID(fmt.Sprintf("n%d", i)), own: suspect.NewPool(opts)}
		node.own.SetControl(simKey, history)
		s.nodes = append(s.nodes, node)
		s.after(time.Duration(s.rng.Float64()*float64(simExchangeInterval)), func() { s.report(i) })
	}
	s.after(0, s.newRequest)
	s.after(simExchangeInterval, s.stepController)
	return s
}

var simStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// result is the result of a request.
type result struct {
	latency time.Duration
	failed  bool
	isRated bool
	quality api.Quality
	// ratingDelay is the time from the answer to its rating.
	ratingDelay time.Duration
}

func (s *simulation) draw(b behaviour) result {
	failed := s.rng.Float64() < b.errors
	return result{
		latency:     time.Duration(b.latencyFactor * float64(1500*time.Millisecond) * math.Exp(0.5*s.rng.NormFloat64())),
		failed:      failed,
		isRated:     !failed && s.rng.Float64() < simRatedShare,
		quality:     api.Quality(b.quality + 0.15*s.rng.NormFloat64()),
		ratingDelay: time.Duration(s.rng.ExpFloat64() * float64(1500*time.Millisecond)),
	}
}

// history returns the counts of a control after 1000 answers.
func (s *simulation) history() suspect.Tally {
	var t suspect.Tally
	for range 1000 {
		r := s.draw(healthy)
		if r.failed {
			t.Fail()
			continue
		}
		t.Answer(r.latency)
		if r.isRated {
			t.Rate(r.quality)
		}
	}
	return t
}

// startAt makes the roll-out begin in a later step.
func (s *simulation) startAt(step int) {
	s.rollOut.Phase, s.rollOut.Step = PhaseGrowing, step
	s.acceptChange()
}

// newRequest sends a request without a session, or the first one of a session, through a random node and schedules the next.
func (s *simulation) newRequest() {
	node := s.nodes[s.rng.IntN(simNodes)]
	draw := s.rng.Float64()
	switch {
	case node.stopped:
	case node.gate.ReserveExposure(draw):
		s.dispatch(node, true, node.gate.Complete)
		s.continueSession(node)
	case node.gate.ReserveCopy(draw):
		s.dispatch(node, false, node.gate.Complete)
	}
	s.after(time.Duration(s.rng.ExpFloat64()*s.requestsPerSession/simRate*float64(time.Second)), s.newRequest)
}

// continueSession schedules further requests of a session that is pinned to the candidate, which the gate counts but does not limit.
func (s *simulation) continueSession(node *simNode) {
	if s.rng.Float64() < 1/s.requestsPerSession {
		return
	}
	s.after(time.Duration(s.rng.ExpFloat64()*float64(simSessionPause)), func() {
		if !node.stopped {
			node.gate.CountPinned()
			s.dispatch(node, true, node.gate.Complete)
			s.continueSession(node)
		}
	})
}

// dispatch sends a caller's request, or a copy if forCaller is false, to the candidate; complete is called when its result is known.
func (s *simulation) dispatch(node *simNode, forCaller bool, complete func()) {
	b := s.candidate
	if !s.onset.IsZero() {
		b = s.fault
		s.onCandidate++
		if forCaller {
			s.exposed++
		}
	}
	r := s.draw(b)
	s.after(r.latency, func() { s.finish(node, r, complete) })
}

// finish counts a result. It calls complete at once for a failed request, else once the rating has come or simRatingTimeout has passed.
func (s *simulation) finish(node *simNode, r result, complete func()) {
	if r.failed {
		node.version.Fail()
		complete()
		return
	}
	node.version.Answer(r.latency)
	wait := simRatingTimeout
	if r.isRated {
		s.after(r.ratingDelay, func() { node.version.Rate(r.quality) })
		wait = min(r.ratingDelay, simRatingTimeout)
	}
	s.after(wait, complete)
}

// report is one round of a node's exchange: the node evaluates its own counts and reports them to the lease holder.
func (s *simulation) report(i int) {
	node := s.nodes[i]
	r := suspect.Report{Source: suspect.Reporter(node.id), Key: simKey, Version: node.version}
	use := node.gate.Use(node.id, "i")
	node.own.Observe(r)
	if node.own.Find(simKey).Stop {
		node.stopped = true
	}
	s.after(simNetworkDelay, func() {
		if !s.isPartitioned(i) {
			s.pool.Observe(r)
			s.uses[node.id] = use
			s.lastHeard[node.id] = s.now
		}
	})
	s.after(simExchangeInterval, func() { s.report(i) })
}

func (s *simulation) isPartitioned(i int) bool { return s.partitioned[i] && !s.onset.IsZero() }

// stepController is one step of the lease holder's controller.
func (s *simulation) stepController() {
	findings := []suspect.Finding{s.pool.Find(simKey)}
	var completed uint64
	uses := make([]Use, 0, len(s.uses))
	for _, node := range s.nodes {
		use, ok := s.uses[node.id]
		completed += use.Settled
		if ok && s.now.Sub(s.lastHeard[node.id]) < simNodeTimeout {
			uses = append(uses, use)
		}
	}
	snap := Snapshot{
		Now: s.now, Config: s.config, Pool: PoolCounts{Servers: 12, Loaded: 12}, Findings: findings,
		Results: countResults(findings, completed), AwaitsRatings: true,
	}
	if s.rollOut.Phase == PhaseAborting {
		snap.Pool.Loaded = 0
	}
	if next, moved := Next(s.rollOut, snap); moved {
		s.rollOut = next
	}
	if s.rollOut.Applied == 0 {
		s.acceptChange()
	}
	s.scheduleFault()
	s.grant(uses, s.rollOut.Exposure(findings, s.canCopy))
	s.after(simExchangeInterval, s.stepController)
}

// acceptChange simulates that the configuration change of the roll-out's phase is accepted.
func (s *simulation) acceptChange() {
	revision := s.config.Revision + 1
	s.config = testConfig(s.rollOut.CandidateState())
	s.config.Revision = revision
	s.rollOut.Applied = revision
}

func (s *simulation) grant(uses []Use, allowed Exposure) {
	s.seq++
	grants := Split(SplitOptions{Plan: s.rollOut.Plan, Fencing: 1, Seq: s.seq, Exposure: allowed, Uses: uses})
	for _, grant := range grants {
		s.after(simNetworkDelay, func() {
			for i, node := range s.nodes {
				if !s.isPartitioned(i) {
					node.gate.SetGrant(grant, node.id, "i")
				}
			}
		})
	}
}

// scheduleFault lets the fault begin up to 20 s after the roll-out has reached faultAtStep.
func (s *simulation) scheduleFault() {
	if s.rollOut.Phase == PhaseGrowing && s.rollOut.Step == s.faultAtStep && s.onset.IsZero() {
		s.faultAtStep = -1
		s.after(time.Duration(s.rng.Float64()*float64(20*time.Second)), func() { s.onset = s.now })
	}
}

// run runs the simulation until the roll-out has ended or limit has passed.
func (s *simulation) run(limit time.Duration) {
	end := s.now.Add(limit)
	for !s.rollOut.Phase.IsFinal() && s.now.Before(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	// Grants that the nodes still have may yet send requests to the candidate.
	for drainEnd := s.now.Add(10 * time.Second); s.now.Before(drainEnd); {
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
