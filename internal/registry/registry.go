// Package registry holds the backend servers: their entries on the VM list, their load reports, and this node's requests on
// them.
package registry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// failurePenalty is how long a server is avoided after a failed connection.
	failurePenalty = 2 * time.Second
	// reportLag bounds the delay of a load report.
	reportLag = 5 * time.Second
)

// Report is a load report of a server; it may be delayed by up to reportLag.
type Report struct {
	Running         int
	Queued          int
	Slots           int
	TokensPerSecond float64
	Versions        []api.VersionID
	Leaving         bool
	// MeasuredAt is the time of the measurement by the server's clock; zero means that there has been no report yet.
	MeasuredAt time.Time
}

// Server is this node's state of one backend server, shared by all code that routes to it.
type Server struct {
	// ID, Service, Address and FailureDomain never change; a server with a new address is a new Server.
	ID            api.ServerID
	Service       api.Service
	Address       string
	FailureDomain api.FailureDomain

	// inFlight counts this node's in-flight requests on the server.
	inFlight atomic.Int32

	mu sync.Mutex
	// listedLeaving is set if the VM list shows the server as leaving, refusedWork if the server itself refused a request
	// because it leaves.
	listedLeaving bool
	refusedWork   bool
	// reportTimeAtRefusal is the time of the newest report at the refusal, by the server's clock. Reports measured up to reportLag
	// later may still be from before the refusal.
	reportTimeAtRefusal time.Time
	report              Report
	// avoidUntil is the time until which the server is avoided after a failure.
	avoidUntil time.Time
	// polledAt is the time of the first load poll since the server's last response; zero if no poll is unanswered.
	polledAt time.Time
}

// Acquire counts an in-flight request and returns the function that ends the count. Calling the function more than once has no
// effect.
func (s *Server) Acquire() (release func()) {
	s.inFlight.Add(1)
	var once sync.Once
	return func() { once.Do(func() { s.inFlight.Add(-1) }) }
}

// InFlight returns the number of this node's in-flight requests on the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// IsLeaving reports whether the server gets no new work, by the VM list, its load report or its refusal of a request.
func (s *Server) IsLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listedLeaving || s.refusedWork || s.report.Leaving
}

// MarkLeaving records that the server refused a request because it leaves.
func (s *Server) MarkLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedWork = true
	s.reportTimeAtRefusal = s.report.MeasuredAt
}

// MarkFailed makes routing avoid the server for failurePenalty.
func (s *Server) MarkFailed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil = now.Add(failurePenalty)
}

// ClearFailure ends the avoidance of a server that answered.
func (s *Server) ClearFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil = time.Time{}
}

// IsAvoided reports whether the server failed within the last failurePenalty.
func (s *Server) IsAvoided(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.avoidUntil)
}

// Report returns the newest load report.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report
}

// ReportAge returns the age of the newest report by the server's clock; ok is false if there is none.
func (s *Server) ReportAge(now time.Time) (age time.Duration, ok bool) {
	measured := s.Report().MeasuredAt
	return now.Sub(measured).Round(time.Millisecond), !measured.IsZero()
}

// SetReport stores a report unless it is older than the stored one by up to reportLag. An even older one means that the
// server's clock was set back, and is stored.
func (s *Server) SetReport(report Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := s.report.MeasuredAt.Sub(report.MeasuredAt)
	if lag > 0 && lag <= reportLag {
		return
	}
	if lag > 0 {
		s.reportTimeAtRefusal = report.MeasuredAt
	}
	s.report = report
	if s.refusedWork && !report.Leaving && report.MeasuredAt.After(s.reportTimeAtRefusal.Add(reportLag)) {
		s.refusedWork = false
	}
}

// HasVersion reports whether the server has a version, by its last report or, before the first report, by the VM list.
func (s *Server) HasVersion(v api.VersionID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.report.Versions, v)
}

// Registry holds the backend servers of this node's subset.
type Registry struct {
	// servers is replaced as a whole; its slices are never changed.
	servers atomic.Pointer[snapshot]
	mu      sync.Mutex
}

type snapshot struct {
	byID      map[api.ServerID]*Server
	byService map[api.Service][]*Server
}

// New returns a registry without servers.
func New() *Registry {
	reg := &Registry{}
	reg.servers.Store(&snapshot{})
	return reg
}

// Update replaces the set of servers. Servers that stay listed at the same address keep their state.
func (r *Registry) Update(listed []fleet.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.servers.Load()
	next := &snapshot{byID: make(map[api.ServerID]*Server), byService: make(map[api.Service][]*Server)}
	for _, item := range listed {
		server := reuseOrCreate(old, item)
		next.byID[item.ID] = server
		next.byService[item.Service] = append(next.byService[item.Service], server)
	}
	r.servers.Store(next)
}

func reuseOrCreate(old *snapshot, item fleet.Server) *Server {
	server, ok := old.byID[item.ID]
	if !ok || server.Address != item.Address {
		server = &Server{ID: item.ID, Service: item.Service, Address: item.Address, FailureDomain: item.FailureDomain}
		server.report.Versions = item.Versions
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	server.listedLeaving = item.Leaving
	return server
}

// OfService returns the servers of a service; the slice must not be changed.
func (r *Registry) OfService(service api.Service) []*Server {
	return r.servers.Load().byService[service]
}

// All returns every server, in no order.
func (r *Registry) All() []*Server {
	snap := r.servers.Load()
	all := make([]*Server, 0, len(snap.byID))
	for _, server := range snap.byID {
		all = append(all, server)
	}
	return all
}

// Find returns the server with an id.
func (r *Registry) Find(id api.ServerID) (*Server, bool) {
	server, ok := r.servers.Load().byID[id]
	return server, ok
}

// FindOrAdd returns the server of the registry, or a new Server that is not registered for one outside of this node's subset.
func (r *Registry) FindOrAdd(listed fleet.Server) *Server {
	return reuseOrCreate(r.servers.Load(), listed)
}
