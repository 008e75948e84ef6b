package backend

import (
	"cmp"
	"slices"
	"sync"

	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Set holds the servers of all services; it is safe for concurrent use.
type Set struct {
	mu sync.RWMutex
	// members holds every known server by its id.
	members map[api.ServerID]*TrackedServer
	// services lists those of each service that take requests, ordered by id; the lists are replaced, never changed.
	services map[route.Service][]*TrackedServer
	// paces are moving averages of the answers' times for their size, by kind of answer.
	paces map[string]float64
}

// paceWeight is that of one answer in the usual pace of its kind.
const paceWeight = 0.02

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{members: make(map[api.ServerID]*TrackedServer), services: make(map[route.Service][]*TrackedServer), paces: make(map[string]float64)}
}

// Replace takes in all entries. What was learnt of a server stays while it is the same start at the same address. It returns the
// addresses that no server has any more.
func (s *Set) Replace(servers []Server) (freed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[api.ServerID]*TrackedServer, len(servers))
	services := make(map[route.Service][]*TrackedServer)
	inUse := make(map[string]bool, len(servers))
	for _, server := range servers {
		known, ok := s.members[server.ID]
		switch {
		case !ok || known.Start != server.Start || known.Address != server.Address:
			known = newMember(server)
		case known.Server != server:
			known = &TrackedServer{Server: server, state: known.state}
		}
		next[server.ID] = known
		inUse[server.Address] = true
		if !known.IsOutOfService() {
			services[server.Service] = append(services[server.Service], known)
		}
	}
	for _, members := range services {
		slices.SortFunc(members, func(a, b *TrackedServer) int { return cmp.Compare(a.ID, b.ID) })
	}
	for _, old := range s.members {
		if !inUse[old.Address] {
			freed = append(freed, old.Address)
		}
	}
	s.members, s.services = next, services
	return freed
}

// ForService returns the servers of a service that take requests; the caller must not change the list.
func (s *Set) ForService(service route.Service) []*TrackedServer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[service]
}

// ObservePace takes in an answer's time for its size; answers of one kind are alike but for the server.
func (s *Set) ObservePace(m *TrackedServer, kind string, pace float64) {
	s.mu.Lock()
	usual, ok := s.paces[kind]
	if !ok {
		usual = pace
	}
	usual += paceWeight * (pace - usual)
	s.paces[kind] = usual
	s.mu.Unlock()
	if usual > 0 {
		m.ObserveLatencyRatio(pace / usual)
	}
}

// Len counts the servers.
func (s *Set) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.members)
}
