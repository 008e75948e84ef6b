package storepath_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/storepath"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// largeFleet returns nodes as on the large deployment: three large machines in each failure domain, and small ones.
func largeFleet(domains, perDomain int) []nodelist.Node {
	var nodes []nodelist.Node
	for d := range domains {
		for i := range perDomain {
			node := nodelist.Node{
				ID: api.NodeID(fmt.Sprintf("n-%d-%d", d, i)), FailureDomain: api.FailureDomain(fmt.Sprintf("d%d", d)),
				Peers: fmt.Sprintf("10.%d.%d.1:7340", d, i), CPU: 0.144, Bandwidth: 20e6,
			}
			if i%17 == 5 {
				node.CPU, node.Bandwidth = 0.8, 200e6
			}
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// TestDirectReadersGrowWithFailureDomains counts the nodes whose first path is the store, and those that go there when the first one fails.
func TestDirectReadersGrowWithFailureDomains(t *testing.T) {
	for _, test := range []struct{ domains, perDomain, direct, second int }{{4, 2, 4, 4}, {4, 21, 4, 8}, {6, 49, 6, 12}, {10, 59, 10, 20}} {
		t.Run(fmt.Sprint(test.domains*test.perDomain), func(t *testing.T) {
			nodes := largeFleet(test.domains, test.perDomain)
			direct, second := 0, 0
			for _, node := range nodes {
				paths := storepath.Plan(node.ID, node.FailureDomain, nodes)
				switch {
				case paths[0].Via == nil:
					direct++
				case paths[1].Via == nil:
					second++
				}
			}
			qt.Check(t, direct, qt.Equals, test.direct)
			qt.Check(t, second, qt.Equals, test.second)
		})
	}
}

// TestRelaysHaveTheMostCapacity checks that every node of a failure domain reads through large machines.
func TestRelaysHaveTheMostCapacity(t *testing.T) {
	nodes := largeFleet(6, 49)
	for _, node := range nodes {
		for _, path := range storepath.Plan(node.ID, node.FailureDomain, nodes) {
			if path.Via != nil {
				qt.Check(t, path.Via.CPU, qt.Equals, 0.8, qt.Commentf("%s by %s", node.ID, path.Via.ID))
			}
		}
	}
}

// TestEveryNodeHasAPathToTheStore draws lists of nodes, in which the node itself may be missing: its plan must hold the store once and no node twice.
func TestEveryNodeHasAPathToTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []nodelist.Node
		for i := range rapid.IntRange(0, 30).Draw(t, "nodes") {
			node := nodelist.Node{ID: api.NodeID(fmt.Sprint("n", i)), FailureDomain: rapid.SampledFrom([]api.FailureDomain{"a", "b", "c"}).Draw(t, "domain")}
			if rapid.Bool().Draw(t, "has peers") {
				node.Peers = fmt.Sprintf("10.0.0.%d:1", i)
			}
			node.CPU = rapid.SampledFrom([]float64{0, 0.1, 0.8}).Draw(t, "cpu")
			nodes = append(nodes, node)
		}
		self := api.NodeID(fmt.Sprint("n", rapid.IntRange(0, 40).Draw(t, "self")))
		domain := api.FailureDomain("a")
		for _, node := range nodes {
			if node.ID == self {
				domain = node.FailureDomain
			}
		}
		stores, seen := 0, map[api.NodeID]bool{self: true}
		for _, path := range storepath.Plan(self, domain, nodes) {
			if path.Via == nil {
				stores++
				continue
			}
			if seen[path.Via.ID] {
				t.Fatalf("%s is on the plan of %s twice, or is the node itself", path.Via.ID, self)
			}
			seen[path.Via.ID] = true
		}
		if stores != 1 {
			t.Fatalf("the store is on the plan %d times", stores)
		}
	})
}

// TestReadersFollowTheLinksOfNodes counts how many nodes read through each one at first: at most what its link bears, also in failure domains without
// large machines, at most two relays away from the store.
func TestReadersFollowTheLinksOfNodes(t *testing.T) {
	const domains, maxDepth, slack = 3, 3, 1.6
	for _, test := range []struct {
		name      string
		perDomain int
		large     bool
	}{{"100 with large machines", 100, true}, {"100 small", 100, false}, {"200 small", 200, false}, {"30 small", 30, false}} {
		t.Run(test.name, func(t *testing.T) {
			nodes := largeFleet(domains, test.perDomain)
			for i := range nodes {
				nodes[i].Bandwidth = 10e6
				if nodes[i].CPU < 0.8 {
					continue
				}
				if nodes[i].CPU = 0.144; test.large {
					nodes[i].CPU, nodes[i].Bandwidth = 0.8, 200e6
				}
			}
			first, readers := make(map[api.NodeID]api.NodeID), make(map[api.NodeID]int)
			for _, node := range nodes {
				if path := storepath.Plan(node.ID, node.FailureDomain, nodes)[0]; path.Via != nil {
					first[node.ID] = path.Via.ID
					readers[path.Via.ID]++
				}
			}
			for _, node := range nodes {
				// Nodes choose by hash, which doesn't distribute them evenly.
				most := int(slack * node.Bandwidth / 300_000)
				qt.Check(t, readers[node.ID] <= most, qt.IsTrue, qt.Commentf("%d nodes read through %s, which bears %d", readers[node.ID], node.ID, most))
				depth := 0
				for id, ok := first[node.ID]; ok && depth <= maxDepth; id, ok = first[id] {
					depth++
				}
				qt.Check(t, depth < maxDepth, qt.IsTrue, qt.Commentf("%s", node.ID))
			}
		})
	}
}
