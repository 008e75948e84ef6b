package capacity_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/dev"
)

const (
	// partPrefix begins the names of internal/peer's meters of bytes.
	partPrefix = "peer.bytes."
	// partHeaders is what the wire carries besides messages.
	partHeaders  = "headers"
	partWire     = "wire"
	partMessages = "messages"
)

// partsOf sums the nodes' meters of the bytes that the exchange carries.
func partsOf(system *dev.System) map[string]int64 {
	parts := make(map[string]int64)
	for i := range system.NodeCount() {
		system.Node(i).Metrics().Each(func(name string, metric any) {
			part, ok := strings.CutPrefix(name, partPrefix)
			if counter, isCounter := metric.(metrics.Counter); ok && isCounter {
				parts[part] += counter.Count()
			}
		})
	}
	parts[partHeaders] = parts[partWire] - parts[partMessages]
	delete(parts, partMessages)
	return parts
}

// TestMeasureParts tells apart what the exchange of whole nodes carries, idle and with changes.
func TestMeasureParts(t *testing.T) {
	nodes := sizes(8, 16, 32, 59)
	still, changing := make([]idle, len(nodes)), make([]idle, len(nodes))
	for i, n := range nodes {
		still[i] = measureIdle(t, systemOptions{nodes: n, domains: 1, services: 1, engines: 2})
		changing[i] = measureIdle(t, systemOptions{nodes: n, domains: 1, services: 1, engines: 2, changes: capacity.ChangesPerDay})
	}
	all := partSeries(nodes, still, "nodes of one failure domain, idle", capacity.ControlBytes)
	finish(t, "exchange-parts", "TestMeasureParts", append(all, partSeries(nodes, changing, "nodes of one failure domain, 20,000 changes a day", capacity.ControlBytes)...))
}

// partSeries returns a series for each part that was ever seen, the whole first.
func partSeries(nodes []int, seen []idle, over string, budget float64) []capacity.Series {
	var names []string
	for name := range seen[len(seen)-1].parts {
		isSeen := slices.ContainsFunc(seen, func(s idle) bool { return s.parts[name] > 0 })
		if name != partWire && isSeen {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var all []capacity.Series
	for _, name := range append([]string{partWire}, names...) {
		all = append(all, series(capacity.Series{
			Quantity: "exchange: " + name, Unit: "B/s", Over: over, Target: capacity.NodesPerDomain,
			Mechanism: "meters peer.bytes (internal/peer)",
		}, nodes, func(i int) float64 { return seen[i].parts[name] }))
	}
	all[0].Budget = budget
	return all
}
