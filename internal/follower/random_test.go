package follower_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// action is one step of a random scenario.
type action struct {
	kind string
	node int
}

// scenario is a cluster under random actions, and the changes reported to operators as accepted.
type scenario struct {
	*cluster
	// accepted is the change of each revision that was reported to an operator as accepted.
	accepted map[api.Revision]fleet.ChangeID
	runs     int
}

// TestRandomScenarios draws changes, restarts, cuts, outages, lost answers and restores of an older service, and checks
// that all accepted changes are in force on all nodes at the end, under their revisions, and that no node ever returned
// to a lower revision.
func TestRandomScenarios(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "1"), qt.IsNil)
	qt.Assert(t, flag.Set("rapid.checks", "25"), qt.IsNil)
	kinds := []string{"accept", "accept", "accept", "restart", "cut", "reach", "outage", "hang", "end", "lose", "older", "wait"}
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
			return action{kind: rapid.SampledFrom(kinds).Draw(rt, "kind"), node: rapid.IntRange(0, 5).Draw(rt, "node")}
		}), 10, 30).Draw(rt, "actions")
		var problem string
		synctest.Test(t, func(t *testing.T) { problem = runScenario(t, actions) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func runScenario(t *testing.T, actions []action) string {
	s := &scenario{cluster: newCluster(t, clusterOptions{nodes: 6, domains: 3}), accepted: make(map[api.Revision]fleet.ChangeID)}
	defer s.close()
	time.Sleep(settleTime)
	old := s.service.Snapshot()
	for _, a := range actions {
		if problem := s.act(a, old); problem != "" {
			return problem
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.service.EndOutage()
	for _, n := range s.nodes {
		s.reconnect(n)
	}
	time.Sleep(settleTime)
	return s.check()
}

func (s *scenario) act(a action, old kvfake.Snapshot) string {
	n := s.nodes[a.node]
	switch a.kind {
	case "accept":
		return s.acceptChange(n)
	case "restart":
		s.runs++
		s.restart(a.node, s.runs)
		// A node accepts no changes before it has discovered its peers.
		time.Sleep(3 * time.Second)
	case "cut":
		s.reconnect(n)
		n.gate.close()
	case "reach":
		s.reconnect(n)
	case "outage":
		s.service.StartOutage(kvfake.FaultNoLeader)
	case "hang":
		s.service.StartOutage(kvfake.FaultHang)
	case "end":
		s.service.EndOutage()
	case "lose":
		s.service.FailNext(kvfake.CallWrite, kvfake.FaultLoseResponse, 2)
	case "older":
		time.Sleep(settleTime)
		s.service.Restore(old)
		time.Sleep(settleTime)
	case "wait":
		time.Sleep(20 * time.Second)
	}
	return ""
}

// reconnect restores a node's connection to the service.
func (s *scenario) reconnect(n *node) {
	if n.gate.check() != nil {
		n.gate.open()
	}
}

// acceptChange submits a change to a node; a rejection is not a problem, since the faults cause some. It returns a problem
// if the revision was reported for another change before, or if the node lacks it.
func (s *scenario) acceptChange(n *node) string {
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
	defer cancel()
	change := newChange(n.follower.Revision(), fmt.Sprint("x", len(s.accepted)%5))
	revision, err := n.acceptor.Accept(ctx, change)
	if err != nil {
		return ""
	}
	if other, ok := s.accepted[revision]; ok {
		return fmt.Sprintf("revision %d was reported for %s and %s", revision, other, change.ID)
	}
	s.accepted[revision] = change.ID
	if have := n.follower.Revision(); have < revision {
		return fmt.Sprintf("revision %d was accepted by node %d, which is at %d", revision, n.index, have)
	}
	return ""
}

func (s *scenario) check() string {
	head, err := s.changes.Head(s.t.Context())
	if err != nil {
		return err.Error()
	}
	for _, n := range s.nodes {
		state := n.follower.State()
		if n.reverted || state.Revision() != head.Revision || state.ChangeID != head.ChangeID {
			return fmt.Sprintf("node %d: at revision %d, change %s, the service at %d, change %s, reverted %v", n.index, state.Revision(),
				state.ChangeID, head.Revision, head.ChangeID, n.reverted)
		}
	}
	for revision, id := range s.accepted {
		page, err := s.changes.Read(s.t.Context(), revision-1)
		switch {
		case err != nil:
			return err.Error()
		case revision > head.Revision:
			return fmt.Sprintf("revision %d was reported as accepted, the service is at %d", revision, head.Revision)
		case len(page.Deltas) > 0 && page.Deltas[0].Revision == revision && page.Deltas[0].ID != id:
			return fmt.Sprintf("revision %d was reported for %s and is %s", revision, id, page.Deltas[0].ID)
		}
	}
	return ""
}
