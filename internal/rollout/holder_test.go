package rollout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func run(t *testing.T, test func(s *system)) {
	synctest.Test(t, func(t *testing.T) { test(start(t)) })
}

func (s *system) assertDone() {
	s.await(rollout.PhaseDone, 20*time.Minute)
	time.Sleep(time.Minute)
	s.Assert(s.config.stateOf(v2), qt.Equals, fleet.StateServing)
	s.Assert(s.config.stateOf(v1), qt.Equals, fleet.StateDraining)
	s.Assert(s.loaded(), qt.Equals, len(s.servers))
}

// revisionAtEnd is the configuration's revision after a roll-out without faults: the first configuration has revision 1, and the end of
// the roll-out is its only change, since shares are granted and not configured.
const revisionAtEnd = 2

func TestRollOutRunsToItsEnd(t *testing.T) {
	run(t, func(s *system) {
		s.startController(s.nodes[0], nil)
		s.startRollOut()
		s.assertDone()
		s.Assert(s.config.Current().Revision, qt.Equals, api.Revision(revisionAtEnd))
	})
}

// TestHolderCrashesAtEachPoint stops the lease holder before and after each of its calls that has an effect, after which another node
// must complete the roll-out, without a second configuration change.
func TestHolderCrashesAtEachPoint(t *testing.T) {
	stride := 1
	if testing.Short() {
		stride = 5
	}
	isReached := true
	for point := 1; isReached; point += stride {
		run(t, func(s *system) {
			count := 0
			crash := func(stop context.CancelFunc) {
				if count++; count == point {
					stop()
				}
			}
			s.startController(s.nodes[0], crash)
			s.startRollOut()
			time.Sleep(20 * time.Second)
			s.startController(s.nodes[1], nil)
			s.assertDone()
			s.Assert(s.config.Current().Revision, qt.Equals, api.Revision(revisionAtEnd), qt.Commentf("point %d", point))
			isReached = count >= point
		})
	}
}

func TestLostAnswersOnTransitions(t *testing.T) {
	run(t, func(s *system) {
		rng := rand.New(rand.NewPCG(5, 5))
		s.kv.SetFault(func(kind kvfake.CallKind) kvfake.Fault {
			if kind == kvfake.CallWrite && rng.Float64() < 0.3 {
				return kvfake.FaultLoseResponse
			}
			return kvfake.FaultNone
		})
		for _, engine := range s.engines {
			engine.LoseOrderAnswers(true)
		}
		s.startController(s.nodes[0], nil)
		r, err := rollout.Start(plan(), time.Now())
		s.Assert(err, qt.IsNil)
		for range 5 {
			if _, err = s.store.Begin(s.ctx, r); err == nil {
				break
			}
		}
		s.Assert(err, qt.IsNil)
		s.assertDone()
	})
}

func TestPausedHolderMovesNothing(t *testing.T) {
	run(t, func(s *system) {
		s.startRollOut()
		pause := make(chan struct{})
		paused := false
		s.startController(s.nodes[0], func(context.CancelFunc) {
			if !paused && s.find().Phase == rollout.PhaseGrowing {
				paused = true
				<-pause
			}
		})
		s.await(rollout.PhaseGrowing, time.Minute)
		s.kv.ExpireLease(1)
		s.startController(s.nodes[1], nil)
		time.Sleep(time.Minute)
		before := s.find()
		close(pause)
		time.Sleep(2 * time.Second)
		s.Assert(s.find().Transition >= before.Transition, qt.IsTrue)
		s.assertDone()
		s.Assert(s.config.Current().Revision, qt.Equals, api.Revision(revisionAtEnd))
	})
}

func TestTooFewServersPauseRollOut(t *testing.T) {
	run(t, func(s *system) {
		for _, engine := range s.engines {
			engine.FailLoads(true)
		}
		s.startController(s.nodes[0], nil)
		s.startRollOut()
		r := s.await(rollout.PhasePaused, 5*time.Minute)
		s.Assert(r.Reason, qt.Matches, "the pool ran out: 4 servers, . failed to load, . needed")
		s.Assert(s.exposure(), qt.Equals, 0)
		for _, engine := range s.engines {
			engine.FailLoads(false)
		}
		time.Sleep(6 * time.Minute)
		s.command(rollout.CommandResume)
		s.assertDone()
	})
}

func (s *system) command(command rollout.Command) {
	_, err := s.store.Command(s.ctx, rollout.CommandOptions{Service: service, Command: command, By: "ana", Reason: "asked"})
	s.Assert(err, qt.IsNil)
}

func TestPauseResumeAbort(t *testing.T) {
	run(t, func(s *system) {
		s.startController(s.nodes[0], nil)
		s.startRollOut()
		s.await(rollout.PhaseGrowing, time.Minute)
		s.command(rollout.CommandPause)
		time.Sleep(2 * time.Minute)
		s.Assert(s.find().Phase, qt.Equals, rollout.PhasePaused)
		used := s.dispatchedToCandidate()
		time.Sleep(time.Minute)
		s.Assert(s.dispatchedToCandidate(), qt.Equals, used, qt.Commentf("a paused candidate got requests"))
		s.command(rollout.CommandResume)
		s.await(rollout.PhaseGrowing, time.Minute)
		s.command(rollout.CommandAbort)
		s.await(rollout.PhaseAborted, time.Minute)
		s.Assert(s.config.stateOf(v2), qt.Equals, fleet.StateWithdrawn)
		s.Assert(s.loaded(), qt.Equals, 0)
	})
}

// dispatchedToCandidate counts the requests that all nodes have sent to the candidate.
func (s *system) dispatchedToCandidate() uint64 {
	var used uint64
	uses, _ := s.nodes[0].Uses("r1")
	for _, use := range uses {
		used += use.Used
	}
	return used
}

// TestNodeWithoutGrantSendsCandidateNothing cuts a node off before the first grant; it must not fall back to a share in the
// configuration.
func TestNodeWithoutGrantSendsCandidateNothing(t *testing.T) {
	run(t, func(s *system) {
		s.setPartitioned(3, true)
		s.startController(s.nodes[0], nil)
		s.startRollOut()
		s.await(rollout.PhaseGrowing, time.Minute)
		time.Sleep(30 * time.Second)
		s.Assert(s.dispatchedToCandidate() > 0, qt.IsTrue)
		s.Assert(s.nodes[3].IsCandidate(service, v2), qt.IsFalse)
		version, _ := s.config.Current().Services[0].FindVersion(v2)
		s.Assert(version.Share, qt.Equals, 0.0, qt.Commentf("a node without a grant goes by this share"))
	})
}

func TestOperatorChangePausesRollOut(t *testing.T) {
	run(t, func(s *system) {
		s.startController(s.nodes[0], nil)
		s.startRollOut()
		s.await(rollout.PhaseGrowing, time.Minute)
		time.Sleep(3 * time.Second)
		s.setShare(0.01)
		r := s.await(rollout.PhasePaused, time.Minute)
		s.Assert(r.Reason, qt.Equals, "an operator set the version to Candidate with share 0.01")
	})
}

func (s *system) setShare(share float64) {
	state := s.config.State()
	next := *state.Config
	next.Services = []fleet.Service{next.Services[0]}
	next.Services[0].Models = []fleet.Model{{Name: "tutor", Versions: []fleet.Version{
		{Name: "v1", State: fleet.StateServing}, {Name: "v2", State: fleet.StateCandidate, Share: share},
	}}}
	_, err := s.config.Accept(s.ctx, fleet.Change{ID: "by hand", Author: "ana", Reason: "by hand", Base: state.Revision(), Ops: state.Ops(&next)})
	s.Assert(err, qt.IsNil)
}

// TestVersionBecomesFaultyDuringOutage starts an outage of the key-value service before the candidate's fault, and cuts a node off.
// During the outage there are no new grants, so that the nodes use up those that they have; after it the roll-out is aborted, with no
// more exposure in all than the target allows.
func TestVersionBecomesFaultyDuringOutage(t *testing.T) {
	run(t, func(s *system) {
		s.startController(s.nodes[0], nil)
		s.startRollOut()
		s.await(rollout.PhaseGrowing, time.Minute)
		time.Sleep(5 * time.Second)
		s.kv.StartOutage(kvfake.FaultNoLeader)
		s.setPartitioned(3, true)
		s.setErrorShare(0.5)
		time.Sleep(5 * time.Minute)
		s.Assert(s.exposure() <= plan().Steps[0].Window, qt.IsTrue, qt.Commentf("exposed %d", s.exposure()))
		s.Assert(s.config.stateOf(v2), qt.Equals, fleet.StateCandidate)

		s.kv.EndOutage()
		s.await(rollout.PhaseAborted, 5*time.Minute)
		s.Assert(s.config.stateOf(v2), qt.Equals, fleet.StateWithdrawn)
		s.Assert(s.exposure() <= 40, qt.IsTrue, qt.Commentf("exposed %d", s.exposure()))
		s.Assert(s.loaded(), qt.Equals, 0)
	})
}

// TestServingVersionBecomesFaultyDuringOutage lets a version in state Serving become faulty during an outage of the key-value service: every node must
// stop it, on reports of two nodes, and must not stop it again on old evidence once operators have ended the exception.
func TestServingVersionBecomesFaultyDuringOutage(t *testing.T) {
	run(t, func(s *system) {
		served := suspect.Key{Service: service, Version: v2, Class: "review"}
		state := s.config.State()
		next := *state.Config
		next.Services = []fleet.Service{next.Services[0]}
		next.Services[0].Models = []fleet.Model{{Name: "tutor", Versions: []fleet.Version{
			{Name: "v1", State: fleet.StateServing}, {Name: "v2", State: fleet.StateServing},
		}}}
		_, err := s.config.Accept(s.ctx, fleet.Change{ID: "both", Author: "ana", Reason: "by hand", Base: state.Revision(), Ops: state.Ops(&next)})
		s.Assert(err, qt.IsNil)
		for i := range 600 {
			for _, n := range s.nodes {
				request := api.RequestID(fmt.Sprint("good", i))
				n.Dispatched(request, served)
				n.Answered(request, v2, time.Second)
			}
			time.Sleep(time.Second)
		}
		s.kv.StartOutage(kvfake.FaultNoLeader)
		failures := 0
		for _, n := range s.nodes[:2] {
			for len(n.Stops()) == 0 && failures < 1000 {
				request := api.RequestID(fmt.Sprint("bad", failures))
				n.Dispatched(request, served)
				n.Failed(request, v2)
				failures++
				time.Sleep(200 * time.Millisecond)
			}
		}
		s.Assert(failures <= 40, qt.IsTrue, qt.Commentf("%d failures", failures))
		time.Sleep(30 * time.Second)
		for i, n := range s.nodes {
			s.Assert(n.Stops(), qt.Not(qt.HasLen), 0, qt.Commentf("node %d", i))
			overlaid := n.Overlay(s.config.Current())
			s.Assert(overlaid.StateOf(fleet.Scope{Service: service, Version: v2}, time.Now()), qt.Equals, fleet.StateWithdrawn)
		}
		s.kv.EndOutage()
		time.Sleep(30 * time.Second)
		s.Assert(s.config.stateOf(v2), qt.Equals, fleet.StateWithdrawn)
		s.endExceptions()
		time.Sleep(time.Minute)
		s.Assert(s.config.stateOf(v2), qt.Equals, fleet.StateServing, qt.Commentf("stopped again on old evidence"))
		for _, n := range s.nodes {
			s.Assert(n.Stops(), qt.HasLen, 0)
		}
	})
}

// TestOperatorStopsVersionDuringOutage checks that an operator's stop reaches all nodes without the key-value service, one that
// was cut off later, and that the withdrawal is then accepted under the operator's name.
func TestOperatorStopsVersionDuringOutage(t *testing.T) {
	run(t, func(s *system) {
		s.kv.StartOutage(kvfake.FaultNoLeader)
		s.setPartitioned(3, true)
		s.nodes[1].Stop(suspect.OperatorStop{Service: service, Version: v2, Reason: "wrong marks", Operator: "ana"})
		time.Sleep(20 * time.Second)
		for i, n := range s.nodes {
			s.Assert(len(n.Stops()) == 1, qt.Equals, i != 3, qt.Commentf("node %d", i))
		}
		s.setPartitioned(3, false)
		time.Sleep(20 * time.Second)
		s.Assert(s.nodes[3].Stops(), qt.HasLen, 1)
		s.kv.EndOutage()
		time.Sleep(30 * time.Second)
		s.Assert(s.config.Current().Exceptions, qt.HasLen, 1)
		s.Assert(s.config.Current().Exceptions[0].Author, qt.Equals, "ana")
		s.Assert(s.config.Current().Exceptions[0].Reason, qt.Equals, "wrong marks")
		for _, n := range s.nodes {
			s.Assert(n.Stops(), qt.HasLen, 0)
		}
	})
}

func (s *system) setPartitioned(i int, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[i] = partitioned
}

func (s *system) endExceptions() {
	state := s.config.State()
	next := *state.Config
	next.Exceptions = nil
	if ops := state.Ops(&next); len(ops) > 0 {
		_, err := s.config.Accept(s.ctx, fleet.Change{ID: "end", Author: "ana", Reason: "by hand", Base: state.Revision(), Ops: ops})
		s.Assert(err, qt.IsNil)
	}
}

// TestSecondRollOutOfAbortedCandidate repairs a version whose roll-out was aborted and rolls it out again: the evidence of the first
// roll-out must not count in the second.
func TestSecondRollOutOfAbortedCandidate(t *testing.T) {
	run(t, func(s *system) {
		s.startController(s.nodes[0], nil)
		s.startRollOut()
		s.await(rollout.PhaseGrowing, time.Minute)
		s.setErrorShare(0.5)
		s.await(rollout.PhaseAborted, 5*time.Minute)
		s.setErrorShare(0)
		time.Sleep(time.Minute)
		s.endExceptions()
		s.setShare(0)
		time.Sleep(time.Minute)
		s.Assert(s.config.stateOf(v2), qt.Equals, fleet.StateCandidate)

		again := plan()
		again.ID = "r2"
		r, err := rollout.Start(again, time.Now())
		s.Assert(err, qt.IsNil)
		_, err = s.store.Begin(s.ctx, r)
		s.Assert(err, qt.IsNil)
		s.assertDone()
	})
}
