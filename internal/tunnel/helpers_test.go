package tunnel_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/internal/tunnel"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// fleet returns the nodes of a number of failure domains.
func fleet(domains, perDomain int) []nodelist.Node {
	var nodes []nodelist.Node
	for d := range domains {
		for i := range perDomain {
			nodes = append(nodes, nodelist.Node{
				ID: api.NodeID(fmt.Sprintf("n-%d-%d", d, i)), FailureDomain: api.FailureDomain(fmt.Sprint("d", d)), Peers: fmt.Sprintf("10.%d.0.%d:83", d, i),
			})
		}
	}
	return nodes
}

// TestHelpersOfALostFailureDomainSpread counts the nodes of a large fleet that help those of one failure domain, all of which have lost their paths: the load
// spreads over the other failure domains, and no node helps many.
func TestHelpersOfALostFailureDomainSpread(t *testing.T) {
	nodes := fleet(10, 59)
	helps := make(map[api.NodeID]int)
	for _, node := range nodes[:59] {
		domains := make(map[api.FailureDomain]bool)
		for _, helper := range tunnel.Choose(node.ID, node.FailureDomain, nodes, 0) {
			qt.Assert(t, helper.ID, qt.Not(qt.Equals), node.ID)
			if helper.FailureDomain != node.FailureDomain {
				helps[helper.ID]++
				domains[helper.FailureDomain] = true
			}
		}
		qt.Assert(t, domains, qt.HasLen, 4)
	}
	most := 0
	for _, count := range helps {
		most = max(most, count)
	}
	qt.Assert(t, len(helps) > 150, qt.IsTrue, qt.Commentf("%d helpers", len(helps)))
	qt.Assert(t, most <= 5, qt.IsTrue, qt.Commentf("a node helps %d others", most))
}

// TestHelpersOfSmallFleets checks that all other nodes help in a small fleet, and that a node alone has no helper.
func TestHelpersOfSmallFleets(t *testing.T) {
	for _, test := range []struct{ domains, perDomain, want int }{{1, 1, 0}, {1, 2, 1}, {2, 1, 1}, {4, 2, 5}, {2, 4, 6}} {
		nodes := fleet(test.domains, test.perDomain)
		qt.Check(t, tunnel.Choose(nodes[0].ID, nodes[0].FailureDomain, nodes, 0), qt.HasLen, test.want, qt.Commentf("%+v", test))
	}
}

// TestAvoidedHelpersAreReplaced avoids all helpers of a node: after a while it gets others, which leaves none of the fleet out.
func TestAvoidedHelpersAreReplaced(t *testing.T) {
	nodes := fleet(3, 20)
	helpers := tunnel.NewHelpers(nodes[0].ID, nodes[0].FailureDomain, nil, func() *[]nodelist.Node { return &nodes })
	asked, now := make(map[api.NodeID]bool), start
	for range 40 {
		for {
			helper, ok := helpers.Next(nil, region.Set{}, now)
			if !ok {
				break
			}
			asked[helper.ID] = true
			helpers.Avoid(helper.ID, now.Add(time.Hour))
		}
		now = now.Add(2 * time.Second)
	}
	qt.Assert(t, len(asked) > 40, qt.IsTrue, qt.Commentf("%d nodes were asked", len(asked)))
}

// TestHelpersTakeTurns checks that connections spread over the helpers, and that one that left the list isn't one any more.
func TestHelpersTakeTurns(t *testing.T) {
	nodes := fleet(4, 2)
	listed := &nodes
	helpers := tunnel.NewHelpers(nodes[0].ID, nodes[0].FailureDomain, nil, func() *[]nodelist.Node { return listed })
	counts := make(map[api.NodeID]int)
	for range 50 {
		helper, ok := helpers.Next(nil, region.Set{}, start)
		qt.Assert(t, ok, qt.IsTrue)
		counts[helper.ID]++
	}
	qt.Assert(t, counts, qt.HasLen, 5)
	for id, count := range counts {
		qt.Assert(t, count, qt.Equals, 10, qt.Commentf("%s", id))
	}
	left, _ := helpers.Next(nil, region.Set{}, start)
	var rest []nodelist.Node
	for _, node := range nodes {
		if node.ID != left.ID {
			rest = append(rest, node)
		}
	}
	qt.Assert(t, helpers.IsListed(left), qt.IsTrue)
	listed = &rest
	qt.Assert(t, helpers.IsListed(left), qt.IsFalse)
	for range 50 {
		helper, _ := helpers.Next(nil, region.Set{}, start)
		qt.Assert(t, helper.ID, qt.Not(qt.Equals), left.ID)
	}
}
