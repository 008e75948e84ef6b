// Package registry knows the backend servers: what the VM list says of them, what they report, and this node's work on them.
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
	// failurePenalty is how long a server that failed a connection is avoided.
	failurePenalty = 2 * time.Second
	// reportLag bounds how late a load report is.
	reportLag = 5 * time.Second
)

// Report is a server's own account of its load; it lags.
type Report struct {
	Running         int
	Queued          int
	Slots           int
	TokensPerSecond float64
	Versions        []api.VersionID
	Leaving         bool
	// MeasuredAt is the server's time of the measurement; zero means that there was no report yet.
	MeasuredAt time.Time
}

// Server is one backend server as this node knows it; it is shared by all who route to it.
type Server struct {
	// ID, Service, Address and FailureDomain never change; a moved server is a new one.
	ID            api.ServerID
	Service       api.Service
	Address       string
	FailureDomain api.FailureDomain

	// inFlight counts this node's running requests on the server.
	inFlight atomic.Int32

	mu sync.Mutex
	// listedLeaving is the VM list's word, refused the server's own by refusal.
	listedLeaving bool
	refused       bool
	// refusedReport is the time of the newest report at the refusal, by the server's own clock. Reports measured less
	// than reportLag later may still be from before it.
	refusedReport time.Time
	report        Report
	// avoidUntil ends the time in which the server is avoided after a failure.
	avoidUntil time.Time
	// askedAt is when the server was asked for its load and has not answered since; zero if it has.
	askedAt time.Time
}

// Acquire counts a request in and returns the function that counts it out; the function may be called many times.
func (s *Server) Acquire() (release func()) {
	s.inFlight.Add(1)
	var once sync.Once
	return func() { once.Do(func() { s.inFlight.Add(-1) }) }
}

// InFlight returns this node's running requests on the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// IsLeaving reports whether any source said that the server receives no new work.
func (s *Server) IsLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listedLeaving || s.refused || s.report.Leaving
}

// MarkLeaving notes that the server refused work because it leaves.
func (s *Server) MarkLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = true
	s.refusedReport = s.report.MeasuredAt
}

// MarkFailed keeps new work away from the server for a moment.
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

// IsAvoided reports whether the server failed a moment ago.
func (s *Server) IsAvoided(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.avoidUntil)
}

// Report returns the newest report.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report
}

// ReportAge returns how old the newest report is, by the server's clock; ok is false if there was none.
func (s *Server) ReportAge(now time.Time) (age time.Duration, ok bool) {
	measured := s.Report().MeasuredAt
	return now.Sub(measured).Round(time.Millisecond), !measured.IsZero()
}

// SetReport stores a report unless a newer one is there. One that is older by more than a report can lag comes from a
// server whose clock was set back.
func (s *Server) SetReport(report Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	older := s.report.MeasuredAt.Sub(report.MeasuredAt)
	if older > 0 && older <= reportLag {
		return
	}
	if older > 0 {
		s.refusedReport = report.MeasuredAt
	}
	s.report = report
	if s.refused && !report.Leaving && report.MeasuredAt.After(s.refusedReport.Add(reportLag)) {
		s.refused = false
	}
}

// HasVersion reports whether the server's last report names a version; a server that never reported has none.
func (s *Server) HasVersion(v api.VersionID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.report.Versions, v)
}

// Registry holds the servers of this node's subset.
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

// Update replaces the set of servers; those that stay keep what is known of them.
func (r *Registry) Update(listed []fleet.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.servers.Load()
	next := &snapshot{byID: make(map[api.ServerID]*Server), byService: make(map[api.Service][]*Server)}
	for _, item := range listed {
		server := keepOrNew(old, item)
		next.byID[item.ID] = server
		next.byService[item.Service] = append(next.byService[item.Service], server)
	}
	r.servers.Store(next)
}

func keepOrNew(old *snapshot, item fleet.Server) *Server {
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

// Find returns the server of an id.
func (r *Registry) Find(id api.ServerID) (*Server, bool) {
	server, ok := r.servers.Load().byID[id]
	return server, ok
}

// FindOrAdd returns a server of the registry, or a new one for a server outside of this node's subset.
func (r *Registry) FindOrAdd(listed fleet.Server) *Server {
	return keepOrNew(r.servers.Load(), listed)
}
