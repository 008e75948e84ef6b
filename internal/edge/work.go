package edge

import (
	"slices"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/workload"
	"github.com/monsoonrail/monsoonrail/internal/workshare"
)

const (
	// minNodesSharingWork is the number of nodes from which they tell each other of their work at servers.
	minNodesSharingWork = 16
	// workMemoryShare is the share of the machine's memory that others' work takes.
	workMemoryShare = 0.15
)

// newWorkExchange returns the exchange by which nodes tell each other of their work at servers.
func (n *Node) newWorkExchange() *workshare.Exchange {
	return workshare.New(workshare.Options{
		Self: n.opts.Settings.Node, Domain: n.opts.Settings.FailureDomain, Network: n.opts.Network, Servers: n.backends, Nodes: n.nodes.Load,
		IsOn: n.sharesWork, MaxBytes: int64(workMemoryShare * float64(n.opts.Settings.Resources.MemoryBytes)), CountFrame: n.countWorkFrame, Log: n.log,
	})
}

// sharesWork reports whether nodes tell each other of their work now: servers of engines are worth it if many nodes send them requests.
func (n *Node) sharesWork() bool {
	table := n.activeConfig.Current()
	isOlder := func(node nodelist.Node) bool { return !node.SharesWork }
	if table == nil || n.countRecentNodes() < minNodesSharingWork || slices.ContainsFunc(*n.nodes.Load(), isOlder) {
		// The sums lack the work of nodes of an earlier release, which the servers' own reports hold.
		return false
	}
	for _, service := range table.Config.Services {
		if service.Engine != nil {
			return true
		}
	}
	return false
}

// setWorkServers replaces the servers of whose work this node wants to know.
func (n *Node) setWorkServers(servers []backend.Server) {
	starts := make([]workload.Server, len(servers))
	for i, server := range servers {
		starts[i] = workload.Server{ID: server.ID, Start: server.Start}
	}
	n.work.SetServers(starts)
}

// countWorkFrame counts a frame in which a node tells of its work.
func (n *Node) countWorkFrame(isSent, isRemote bool, bytes int) {
	labels := []metric.Label{{Name: "sent", Value: strconv.FormatBool(isSent)}, {Name: "other_domain", Value: strconv.FormatBool(isRemote)}}
	n.metrics.Counter("monsoonrail_edge_work_frames", labels...).Inc(1)
	n.metrics.Counter("monsoonrail_edge_work_bytes", labels...).Inc(int64(bytes))
}

// updateWorkGauges sets the gauges of what this node knows of others' work.
func (n *Node) updateWorkGauges(now time.Time) {
	status := n.work.Status()
	n.metrics.Gauge("monsoonrail_edge_work_sources").Update(int64(status.Sources))
	n.metrics.Gauge("monsoonrail_edge_work_requests_elsewhere").Update(int64(status.Requests))
	age := int64(-1)
	if !status.HeardAt.IsZero() {
		age = now.Sub(status.HeardAt).Milliseconds()
	}
	n.metrics.Gauge("monsoonrail_edge_work_age_milliseconds").Update(age)
}
