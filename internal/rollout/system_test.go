package rollout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/lease"
	"github.com/monsoonrail/monsoonrail/internal/order"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/internal/trial"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const service = api.Service("tutor-llm")

var (
	v1  = api.VersionID{Model: "tutor", Version: "v1"}
	v2  = api.VersionID{Model: "tutor", Version: "v2"}
	key = suspect.Key{Service: service, Version: v2, Class: "review"}
)

// engines routes calls to engines by the host of the URL.
type engines map[string]*enginefake.Engine

func (e engines) RoundTrip(req *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			resp, err = nil, http.ErrServerClosed
		}
	}()
	engine, ok := e[req.URL.Host]
	if !ok || engine.IsDown() {
		return nil, http.ErrServerClosed
	}
	recorder := httptest.NewRecorder()
	engine.ServeHTTP(recorder, req)
	return recorder.Result(), nil
}

// system is a few nodes with everything that a roll-out needs, in one process and virtual time.
type system struct {
	*qt.C
	kv      *kvfake.Service
	config  *configLog
	engines engines
	servers []fleet.Server
	nodes   []*node
	store   *rollout.Store
	ctx     context.Context

	mu sync.Mutex
	// errorShare is the share of the candidate's answers that fail.
	errorShare float64
	// exposed counts callers' requests that were sent to the candidate while errorShare was above 0.
	exposed int
	// partitioned is set for the nodes that exchange no payloads with their peers.
	partitioned map[int]bool
}

type node struct {
	*trial.Node
	id   api.NodeID
	stop context.CancelFunc
}

const nodeCount = 4

func start(t *testing.T) *system {
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{C: qt.New(t), kv: kvfake.New(), engines: engines{}, ctx: ctx, partitioned: map[int]bool{}}
	s.config = newConfigLog(ctx, s.kv.Store())
	s.store = rollout.NewStore(s.kv.Store())
	for i := range 4 {
		address := fmt.Sprintf("10.0.0.%d:80", i)
		server := fleet.Server{ID: api.ServerID(fmt.Sprintf("s%d", i)), Service: service, Address: address}
		s.servers = append(s.servers, server)
		s.engines[address] = enginefake.New(enginefake.Options{
			ID: server.ID, ChecksFencing: true, Unloaded: []api.VersionID{v2},
			Versions: []enginefake.Version{{ID: v1}, {ID: v2, LoadTime: 5 * time.Second}},
		})
	}
	for i := range nodeCount {
		s.addNode(i)
	}
	go s.exchange()
	go s.traffic()
	s.Cleanup(func() {
		cancel()
		for _, engine := range s.engines {
			engine.Close()
		}
		synctest.Wait()
	})
	return s
}

func quiet() log.Interface { return &log.Logger{Handler: discard.New()} }

// addNode starts a node with a withdrawer; startController adds a controller.
func (s *system) addNode(i int) {
	ctx, stop := context.WithCancel(s.ctx)
	id := api.NodeID(fmt.Sprintf("n%d", i))
	n := &node{id: id, stop: stop, Node: trial.New(trial.Options{
		Node: id, Incarnation: api.Incarnation(id) + "-1", Configs: s.config, Log: quiet(),
	})}
	s.nodes = append(s.nodes, n)
	withdrawer := rollout.NewWithdrawer(rollout.WithdrawerOptions{
		Node: id, Stops: n.Stops, Configs: s.config, Acceptor: s.config, Log: quiet(),
	})
	go func() { _ = n.Run(ctx) }()
	go func() { _ = withdrawer.Run(ctx) }()
}

// startController lets a node advance the roll-out. crash, if not nil, is called before and after each call of the controller and may stop
// it.
func (s *system) startController(n *node, crash func(stop context.CancelFunc)) {
	ctx, stop := context.WithCancel(s.ctx)
	s.Cleanup(stop)
	dutyLease := lease.New(lease.Options{
		Store: s.kv.Store(), Service: service, Duty: "rollout", Node: n.id, Incarnation: api.Incarnation(n.id),
		Rand: rand.New(rand.NewPCG(1, 1)), Log: quiet(),
	})
	faulty := faulty{s: s, ctx: ctx, stop: stop, crash: crash}
	giver := order.New(order.Options{Client: &http.Client{Transport: s.engines}, Lease: dutyLease})
	controller := rollout.NewController(rollout.ControllerOptions{
		Service: service, Store: rollout.NewStore(&faultyStore{faulty: faulty, Store: s.kv.Store()}), Lease: dutyLease,
		Orders: &faultyOrders{faulty: faulty, Sender: giver}, Configs: s.config, Acceptor: &faultyAcceptor{faulty: faulty},
		Results: n.Node, Servers: s.currentServers, CanCopy: true, Log: quiet(),
	})
	go func() { _ = dutyLease.Run(ctx) }()
	go func() { _ = controller.Run(ctx) }()
}

func (s *system) currentServers() []fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.servers)
}

// exchange delivers payloads between random pairs of nodes that are not partitioned.
func (s *system) exchange() {
	rng := rand.New(rand.NewPCG(2, 2))
	sent := map[[2]int]uint64{}
	for sleep(s.ctx, 250*time.Millisecond) {
		from, to := rng.IntN(nodeCount), rng.IntN(nodeCount)
		if from == to || s.isPartitioned(from) || s.isPartitioned(to) {
			continue
		}
		payload, upTo := s.nodes[from].Since(sent[[2]int{from, to}], peer.Member{}, 64<<10)
		if len(payload) > 0 {
			_, err := s.nodes[to].Merge(peer.Member{}, payload)
			s.Check(err, qt.IsNil)
		}
		sent[[2]int{from, to}] = upTo
	}
}

func (s *system) isPartitioned(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitioned[i]
}

// traffic sends 20 requests a second, each through a random node.
func (s *system) traffic() {
	rng := rand.New(rand.NewPCG(3, 3))
	for count := 0; sleep(s.ctx, 50*time.Millisecond); count++ {
		request := api.RequestID(fmt.Sprint(count))
		n := s.nodes[rng.IntN(nodeCount)]
		draw := rng.Float64()
		config := n.Overlay(s.config.Current())
		state := config.StateOf(fleet.Scope{Service: service, Version: v2}, time.Now())
		if state == fleet.StateCandidate && n.ReserveExposure(service, v2, draw) {
			s.answer(n, rng, request, true)
			continue
		}
		n.Dispatched(request, suspect.Key{Service: service, Version: v1, Class: "review"})
		n.Answered(request, v1, time.Second)
		if state == fleet.StateCandidate {
			if _, ok := n.ReserveCopy(service, v1, draw); ok {
				s.answer(n, rng, request+"-copy", false)
			}
		}
	}
}

// answer sends a request, or a copy if forCaller is false, to the candidate and reports its result to the node after one second.
func (s *system) answer(n *node, rng *rand.Rand, request api.RequestID, forCaller bool) {
	s.mu.Lock()
	failed := rng.Float64() < s.errorShare
	if forCaller && s.errorShare > 0 {
		s.exposed++
	}
	s.mu.Unlock()
	n.Dispatched(request, key)
	go func() {
		if !sleep(s.ctx, time.Second) {
			return
		}
		if failed {
			n.Failed(request, v2)
		} else {
			n.Answered(request, v2, time.Second)
		}
	}()
}

func (s *system) exposure() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exposed
}

func (s *system) setErrorShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errorShare = share
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func plan() rollout.Plan {
	return rollout.Plan{
		ID: "r1", Service: service, Version: v2, Control: v1, Author: "ana", Reason: "cheaper", DrainControl: true,
		Steps: []rollout.Step{
			{Share: 0.2, Requests: 20, Dwell: 10 * time.Second, Window: 8},
			{Share: 0.5, Requests: 40, Dwell: 10 * time.Second, Window: 16},
		},
	}
}

func (s *system) startRollOut() {
	r, err := rollout.Start(plan(), time.Now())
	s.Assert(err, qt.IsNil)
	_, err = s.store.Begin(s.ctx, r)
	s.Assert(err, qt.IsNil)
}

func (s *system) find() rollout.RollOut {
	record, err := s.store.Find(s.ctx, service)
	s.Assert(err, qt.IsNil)
	return record.RollOut
}

// await waits until the roll-out is in a phase and returns it; after limit it fails the test.
func (s *system) await(phase rollout.Phase, limit time.Duration) rollout.RollOut {
	var last rollout.RollOut
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		time.Sleep(time.Second)
		record, err := s.store.Find(s.ctx, service)
		if err != nil {
			continue
		}
		last = record.RollOut
		if last.Phase == phase {
			return last
		}
	}
	s.Fatalf("roll-out is %s, not %s: %s", last.Phase, phase, last.Reason)
	return last
}

// loaded counts the engines that have loaded the candidate.
func (s *system) loaded() int {
	giver := order.New(order.Options{Client: &http.Client{Transport: s.engines}})
	count := 0
	for _, server := range s.servers {
		if state, err := giver.State(s.ctx, server); err == nil && state.StatusOf(v2) == order.StatusLoaded {
			count++
		}
	}
	return count
}
