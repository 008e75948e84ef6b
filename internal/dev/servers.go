package dev

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fake/plainfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// defaultEngineSpeed is the speed of the slowest engine in tokens per second.
	defaultEngineSpeed = 80
	// defaultEngineSlots is how many requests an engine runs concurrently.
	defaultEngineSlots = 16
	// speedSteps is the number of different engine speeds; each step adds half of the slowest speed.
	speedSteps = 4
	// prefillFactor is how many prompt tokens an engine processes in the time that the slowest engine takes for one answer token.
	prefillFactor = 100
	// loadLag is the age of load reports.
	loadLag = 500 * time.Millisecond
	// plainLatency is the latency of a plain call, and its jitter.
	plainLatency = 10 * time.Millisecond
)

// serverSlot holds the fake of one backend server and the server's entry in the VM list.
type serverSlot[S http.Handler] struct {
	listed fleet.Server
	server S
}

func (s *System) startServers(ctx context.Context) error {
	for _, service := range s.opts.Config.Services {
		var err error
		if service.Kind == fleet.KindEngine {
			err = s.startEngines(ctx, service)
		} else {
			err = s.startPlains(ctx, service)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startEngines(ctx context.Context, service fleet.Service) error {
	for range s.opts.Engines {
		n := len(s.engines)
		listed := s.serverEntry(service.Name, hostEngine, n)
		host := newFakeHost()
		server := enginefake.New(enginefake.Options{
			ID: listed.ID, Seed: s.opts.Seed + uint64(n), Slots: s.opts.EngineSlots,
			TokensPerSecond: s.opts.EngineSpeed * (1 + float64(n%speedSteps)/2), BatchSlowdown: 0.3,
			PrefillTokensPerSecond: s.opts.EngineSpeed * prefillFactor, Versions: s.engineVersions(service, n),
			LoadLag: loadLag, EventLag: loadLag, EventGaps: 0.05, ChecksFencing: service.ChecksFencing, OnDown: host.down,
			OnUp: func() { s.relisten(listed.ID, host) },
		})
		s.engines = append(s.engines, &serverSlot[*enginefake.Engine]{listed: listed, server: server})
		if err := s.serveWith(ctx, s.ip(hostEngine, n+1), serverPort, server, host); err != nil {
			return err
		}
	}
	return nil
}

// engineVersions returns the versions that an engine has loaded, with their prior quality as strength, and puts the weights of all
// versions of the service into the weight store.
func (s *System) engineVersions(service fleet.Service, engine int) []enginefake.Version {
	var versions []enginefake.Version
	for _, model := range service.Models {
		for _, version := range model.Versions {
			id := api.VersionID{Model: model.Name, Version: version.Name}
			s.Weights.Put(id, weightBytes)
			if s.opts.HasVersion != nil && !s.opts.HasVersion(engine, id) {
				continue
			}
			versions = append(versions, enginefake.Version{
				ID:       id,
				Strength: float64(version.PriorQuality),
				Speed:    1,
				LoadTime: time.Second,
			})
		}
	}
	return versions
}

func (s *System) startPlains(ctx context.Context, service fleet.Service) error {
	for range s.opts.PlainServers {
		n := len(s.plains)
		listed := s.serverEntry(service.Name, hostPlain, n)
		host := newFakeHost()
		server := plainfake.New(plainfake.Options{
			ID: listed.ID, Seed: s.opts.Seed + uint64(n), Latency: plainLatency, Jitter: plainLatency, OnDown: host.down,
			OnUp: func() { s.relisten(listed.ID, host) },
		})
		s.plains = append(s.plains, &serverSlot[*plainfake.Service]{listed: listed, server: server})
		if err := s.serveWith(ctx, s.ip(hostPlain, n+1), serverPort, server, host); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) serverEntry(service api.Service, group hostGroup, n int) fleet.Server {
	return fleet.Server{
		ID:            api.ServerID(fmt.Sprintf("%s-%d", service, n+1)),
		Service:       service,
		Address:       fmt.Sprintf("%s:%d", s.ip(group, n+1), serverPort),
		FailureDomain: s.domain(n),
	}
}

// Servers returns every backend server as the VM list has it.
func (s *System) Servers() []fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var listed []fleet.Server
	for _, slot := range s.engines {
		listed = append(listed, slot.listed)
	}
	for _, slot := range s.plains {
		listed = append(listed, slot.listed)
	}
	return listed
}

// Engines returns the fake engines of all services.
func (s *System) Engines() []*enginefake.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var engines []*enginefake.Engine
	for _, slot := range s.engines {
		engines = append(engines, slot.server)
	}
	return engines
}

// PlainServers returns the fake servers of all plain services.
func (s *System) PlainServers() []*plainfake.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	var plains []*plainfake.Service
	for _, slot := range s.plains {
		plains = append(plains, slot.server)
	}
	return plains
}
