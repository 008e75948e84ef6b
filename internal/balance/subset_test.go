package balance

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func fleet(nodes, servers int) SubsetOptions {
	var opts SubsetOptions
	for i := range nodes {
		opts.Nodes = append(opts.Nodes, api.NodeID(fmt.Sprintf("node-%d", i)))
	}
	for i := range servers {
		opts.Servers = append(opts.Servers, api.ServerID(fmt.Sprintf("server-%d", i)))
	}
	return opts
}

func (o SubsetOptions) all() map[api.NodeID][]api.ServerID {
	subsets := map[api.NodeID][]api.ServerID{}
	for _, node := range o.Nodes {
		o.Node = node
		subsets[node] = Subset(o)
	}
	return subsets
}

// TestSubsetsCoverEvenly checks that every server is in the same number of subsets, for small fleets and the largest one.
func TestSubsetsCoverEvenly(t *testing.T) {
	for _, size := range []struct{ nodes, servers int }{{8, 4}, {8, 12}, {8, 18}, {590, 12_000}} {
		t.Run(fmt.Sprintf("%d nodes %d servers", size.nodes, size.servers), func(t *testing.T) {
			opts := fleet(size.nodes, size.servers)
			covered := map[api.ServerID]int{}
			for _, subset := range opts.all() {
				qt.Assert(t, len(subset) > 0 && len(subset) <= MaxSubsetSize, qt.IsTrue)
				for _, server := range subset {
					covered[server]++
				}
			}
			qt.Assert(t, len(covered), qt.Equals, size.servers)
			want := coverage(opts)
			for server, n := range covered {
				qt.Assert(t, n, qt.Equals, want, qt.Commentf("%s", server))
			}
		})
	}
}

// TestSubsetsChangeLittle checks that adding one server or removing one node changes only a few subset entries.
func TestSubsetsChangeLittle(t *testing.T) {
	opts := fleet(60, 1200)
	before := opts.all()
	grown := opts
	grown.Servers = append(slices.Clone(opts.Servers), "new-server")
	qt.Assert(t, changes(before, grown.all()), qt.Equals, coverage(opts))
	shrunk := opts
	shrunk.Nodes = opts.Nodes[1:]
	lost := len(before[opts.Nodes[0]])
	delete(before, opts.Nodes[0])
	qt.Assert(t, changes(before, shrunk.all()) <= lost, qt.IsTrue)
}

// changes counts the servers that were added to or removed from the subsets.
func changes(before, after map[api.NodeID][]api.ServerID) int {
	n := 0
	for node, old := range before {
		for _, server := range old {
			if !slices.Contains(after[node], server) {
				n++
			}
		}
		for _, server := range after[node] {
			if !slices.Contains(old, server) {
				n++
			}
		}
	}
	return n
}
