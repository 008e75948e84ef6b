package dev

import (
	"fmt"

	"github.com/monsoonrail/monsoonrail/internal/vmlist"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// listVMs adds every node and backend server to the VM list.
func (s *System) listVMs() {
	for _, server := range s.Servers() {
		s.VMs.Put(vmlist.VM{
			ID: string(server.ID), Address: s.opts.AdvertisedAddress(server.Address), FailureDomain: server.FailureDomain,
			Role: vmlist.RoleServer, Service: server.Service, State: vmlist.StateLive,
		})
	}
	for i := range s.opts.Nodes {
		s.VMs.Put(vmlist.VM{
			ID: fmt.Sprintf("node-%d", i+1), Address: s.opts.AdvertisedAddress(fmt.Sprintf("%s:%d", s.ip(hostNode, i+1), callerPort)),
			FailureDomain: s.domain(i), Role: vmlist.RoleEntry, State: vmlist.StateLive,
		})
	}
}

// LeaveServer takes a backend server out of service as an operator would: the VM list shows it as leaving and the server rejects
// new requests.
func (s *System) LeaveServer(id api.ServerID) {
	s.setLeaving(id, true)
	s.VMs.SetState(string(id), vmlist.StateLeaving)
}

// JoinServer puts a server back into service after LeaveServer.
func (s *System) JoinServer(id api.ServerID) {
	s.setLeaving(id, false)
	s.VMs.SetState(string(id), vmlist.StateLive)
}

func (s *System) setLeaving(id api.ServerID, leaving bool) {
	for _, engine := range s.Engines() {
		if engine.ID() == id {
			engine.SetLeaving(leaving)
		}
	}
	for _, plain := range s.PlainServers() {
		if plain.ID() == id {
			plain.SetLeaving(leaving)
		}
	}
}

// KillServer stops a backend server at once, as a crash would; RestartServer starts it again.
func (s *System) KillServer(id api.ServerID) {
	for _, engine := range s.Engines() {
		if engine.ID() == id {
			engine.Kill()
		}
	}
	for _, plain := range s.PlainServers() {
		if plain.ID() == id {
			plain.Kill()
		}
	}
}

// RestartServer starts a killed backend server again.
func (s *System) RestartServer(id api.ServerID) {
	for _, engine := range s.Engines() {
		if engine.ID() == id {
			engine.Restart()
		}
	}
	for _, plain := range s.PlainServers() {
		if plain.ID() == id {
			plain.Restart()
		}
	}
}
