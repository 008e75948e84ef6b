package vmlist

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Node is an entry VM.
type Node struct {
	ID            api.NodeID
	Address       string
	FailureDomain api.FailureDomain
	Leaving       bool
}

// Snapshot is a list together with the marks of peers; it is never modified once published.
type Snapshot struct {
	AsOf time.Time
	// ReadNumber counts the lists that the node read, from 1; snapshots of the same read differ only in which servers are leaving.
	ReadNumber uint64
	// Servers is ordered by id, without duplicates.
	Servers []fleet.Server
	// Nodes is ordered by id, without duplicates.
	Nodes []Node
}

// NewSnapshot divides a list into servers and nodes. VMs without an id or an address and duplicates of an id are left out.
func NewSnapshot(list List) *Snapshot {
	snapshot := &Snapshot{AsOf: list.AsOf}
	for _, vm := range list.VMs {
		if vm.ID == "" || vm.Address == "" {
			continue
		}
		switch vm.Role {
		case RoleServer:
			snapshot.Servers = append(snapshot.Servers, serverOf(vm))
		case RoleEntry:
			snapshot.Nodes = append(snapshot.Nodes, nodeOf(vm))
		}
	}
	slices.SortStableFunc(snapshot.Servers, func(a, b fleet.Server) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(snapshot.Nodes, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	snapshot.Servers = slices.CompactFunc(snapshot.Servers, func(a, b fleet.Server) bool { return a.ID == b.ID })
	snapshot.Nodes = slices.CompactFunc(snapshot.Nodes, func(a, b Node) bool { return a.ID == b.ID })
	return snapshot
}

// ServersOf returns the servers of a service in a new slice.
func (s *Snapshot) ServersOf(service api.Service) []fleet.Server {
	var servers []fleet.Server
	for _, server := range s.Servers {
		if server.Service == service {
			servers = append(servers, server)
		}
	}
	return servers
}

// counts holds the numbers of VMs of a snapshot, for logging.
type counts struct{ nodes, servers, leaving int }

func (s *Snapshot) counts() counts {
	sum := counts{nodes: len(s.Nodes), servers: len(s.Servers)}
	for _, server := range s.Servers {
		if server.Leaving {
			sum.leaving++
		}
	}
	return sum
}

// leaving returns the servers that are leaving.
func (s *Snapshot) leaving() map[instance]fleet.Server {
	servers := make(map[instance]fleet.Server)
	for _, server := range s.Servers {
		if server.Leaving {
			servers[instanceOf(server)] = server
		}
	}
	return servers
}

// withLeaving returns the snapshot with the given instances shown as leaving too; it does not modify s.
func (s *Snapshot) withLeaving(leaving map[instance]time.Time) *Snapshot {
	if len(leaving) == 0 {
		return s
	}
	marked := *s
	marked.Servers = slices.Clone(s.Servers)
	for i, server := range marked.Servers {
		if _, ok := leaving[instanceOf(server)]; ok {
			marked.Servers[i].Leaving = true
		}
	}
	return &marked
}

func serverOf(vm VM) fleet.Server {
	return fleet.Server{
		ID:            api.ServerID(vm.ID),
		Service:       vm.Service,
		Address:       vm.Address,
		FailureDomain: vm.FailureDomain,
		Leaving:       vm.State == StateLeaving,
	}
}

func nodeOf(vm VM) Node {
	return Node{
		ID:            api.NodeID(vm.ID),
		Address:       vm.Address,
		FailureDomain: vm.FailureDomain,
		Leaving:       vm.State == StateLeaving,
	}
}
