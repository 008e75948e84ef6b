package balance

import "testing"

// BenchmarkSubset computes a node's subset of 12,000 servers among 590 nodes.
func BenchmarkSubset(b *testing.B) {
	opts := fleet(590, 12_000)
	opts.Node = opts.Nodes[0]
	for b.Loop() {
		Subset(opts)
	}
}
