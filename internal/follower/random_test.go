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

// action is one step of a drawn course of events.
type action struct {
	kind string
	node int
}

// course is what happens to a cluster, and what operators were told.
type course struct {
	*cluster
	// told holds the change of each revision that an operator was told.
	told map[api.Revision]fleet.ChangeID
	runs int
}

// TestAnyCourse draws changes, restarts, cuts, outages, lost answers and restores of an older service, and checks that
// what was accepted is in force on all nodes at the end, under its revision, and that no node ever went back.
func TestAnyCourse(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "1"), qt.IsNil)
	qt.Assert(t, flag.Set("rapid.checks", "25"), qt.IsNil)
	kinds := []string{"accept", "accept", "accept", "restart", "cut", "reach", "outage", "hang", "end", "lose", "older", "wait"}
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
			return action{kind: rapid.SampledFrom(kinds).Draw(rt, "kind"), node: rapid.IntRange(0, 5).Draw(rt, "node")}
		}), 10, 30).Draw(rt, "actions")
		var problem string
		synctest.Test(t, func(t *testing.T) { problem = runCourse(t, actions) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func runCourse(t *testing.T, actions []action) string {
	c := &course{cluster: newCluster(t, clusterOptions{nodes: 6, domains: 3}), told: make(map[api.Revision]fleet.ChangeID)}
	defer c.close()
	time.Sleep(settle)
	old := c.service.Snapshot()
	for _, a := range actions {
		if problem := c.act(a, old); problem != "" {
			return problem
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.service.EndOutage()
	for _, n := range c.nodes {
		c.reach(n)
	}
	time.Sleep(settle)
	return c.check()
}

func (c *course) act(a action, old kvfake.Snapshot) string {
	n := c.nodes[a.node]
	switch a.kind {
	case "accept":
		return c.offer(n)
	case "restart":
		c.runs++
		c.restart(a.node, c.runs)
		// A node takes no changes before it has heard of its peers.
		time.Sleep(3 * time.Second)
	case "cut":
		c.reach(n)
		n.gate.close()
	case "reach":
		c.reach(n)
	case "outage":
		c.service.StartOutage(kvfake.FaultRefuse)
	case "hang":
		c.service.StartOutage(kvfake.FaultHang)
	case "end":
		c.service.EndOutage()
	case "lose":
		c.service.FailNext(kvfake.CallWrite, kvfake.FaultLoseAnswer, 2)
	case "older":
		time.Sleep(settle)
		c.service.Restore(old)
		time.Sleep(settle)
	case "wait":
		time.Sleep(20 * time.Second)
	}
	return ""
}

// reach ends a node's cut from the service.
func (c *course) reach(n *node) {
	if n.gate.check() != nil {
		n.gate.open()
	}
}

// offer has a change accepted, or refused for a reason that the faults give.
func (c *course) offer(n *node) string {
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
	defer cancel()
	change := newChange(n.follower.Revision(), fmt.Sprint("x", len(c.told)%5))
	revision, err := n.acceptor.Accept(ctx, change)
	if err != nil {
		return ""
	}
	if other, ok := c.told[revision]; ok {
		return fmt.Sprintf("revision %d was told for %s and %s", revision, other, change.ID)
	}
	c.told[revision] = change.ID
	if have := n.follower.Revision(); have < revision {
		return fmt.Sprintf("revision %d was accepted by node %d, which holds %d", revision, n.index, have)
	}
	return ""
}

func (c *course) check() string {
	head, err := c.changes.Head(c.t.Context())
	if err != nil {
		return err.Error()
	}
	for _, n := range c.nodes {
		state := n.follower.State()
		if n.lowered || state.Revision() != head.Revision || state.ChangeID != head.ChangeID {
			return fmt.Sprintf("node %d: at revision %d, change %s, the service at %d, change %s, lowered %v", n.index, state.Revision(),
				state.ChangeID, head.Revision, head.ChangeID, n.lowered)
		}
	}
	for revision, id := range c.told {
		page, err := c.changes.Read(c.t.Context(), revision-1)
		switch {
		case err != nil:
			return err.Error()
		case revision > head.Revision:
			return fmt.Sprintf("revision %d was told, the service is at %d", revision, head.Revision)
		case len(page.Deltas) > 0 && page.Deltas[0].Revision == revision && page.Deltas[0].ID != id:
			return fmt.Sprintf("revision %d was told for %s and is %s", revision, id, page.Deltas[0].ID)
		}
	}
	return ""
}
