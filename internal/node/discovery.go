package node

import (
	"context"

	"github.com/monsoonrail/monsoonrail/internal/balance"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// discover keeps the registry up to date with the VM list.
func (n *Node) discover(ctx context.Context) error {
	var used subset
	for {
		snapshot, changed := n.parts.vms.Snapshot()
		used = n.applySnapshot(snapshot, used)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-n.parts.extras.changed:
		}
	}
}

// subset is the set of servers of a VM list that a node uses.
type subset struct {
	// readNumber is the ReadNumber of the VM list that the subset was computed from.
	readNumber uint64
	ids        map[api.ServerID]bool
}

// applySnapshot keeps the servers of this node's subset and the extra servers. It recomputes the subset for each new VM list
// and not for each server that leaves. An empty list is ignored, since applying it would end all work.
func (n *Node) applySnapshot(snapshot *vmlist.Snapshot, used subset) subset {
	if len(snapshot.Servers) == 0 {
		return used
	}
	if used.readNumber != snapshot.ReadNumber {
		used = subset{readNumber: snapshot.ReadNumber, ids: n.subset(snapshot)}
	}
	extras := n.parts.extras.all()
	var servers []fleet.Server
	for _, server := range snapshot.Servers {
		if _, isExtra := extras[server.ID]; isExtra || used.ids[server.ID] {
			servers = append(servers, server)
		}
	}
	n.tunnels.updateServers(snapshot)
	n.registry.Update(servers)
	n.serverChooser.SetServers(servers)
	n.serverChooser.SetNodeCount(n.nodesPerServer(len(snapshot.Servers), len(servers)))
	return used
}

// nodesPerServer returns the average number of nodes that use each of this node's servers.
func (n *Node) nodesPerServer(servers, used int) int {
	return max(n.nodeCount()*used/max(servers, 1), 1)
}

// subset returns the servers of all services that this node uses.
func (n *Node) subset(snapshot *vmlist.Snapshot) map[api.ServerID]bool {
	nodes := nodeIDs(snapshot, n.opts.Settings.Node.NodeID())
	byService := make(map[api.Service][]api.ServerID)
	for _, server := range snapshot.Servers {
		byService[server.Service] = append(byService[server.Service], server.ID)
	}
	used := make(map[api.ServerID]bool)
	for _, servers := range byService {
		for _, id := range balance.Subset(balance.SubsetOptions{
			Node: n.opts.Settings.Node.NodeID(), Nodes: nodes, Servers: servers, Size: n.opts.Settings.Platform.ServerSubset,
		}) {
			used[id] = true
		}
	}
	return used
}

// nodeIDs lists the nodes of a snapshot and this node, which the VM list may not contain yet.
func nodeIDs(snapshot *vmlist.Snapshot, own api.NodeID) []api.NodeID {
	nodes := []api.NodeID{own}
	for _, entry := range snapshot.Nodes {
		if entry.ID != own {
			nodes = append(nodes, entry.ID)
		}
	}
	return nodes
}

// PoolOf implements router.Pools.
func (n *Node) PoolOf(service api.Service) []fleet.Server {
	snapshot, _ := n.parts.vms.Snapshot()
	return snapshot.ServersOf(service)
}
