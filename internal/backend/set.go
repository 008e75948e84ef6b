package backend

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Set holds the servers of all services; it is safe for concurrent use.
type Set struct {
	at    Locality
	place *place

	mu sync.RWMutex
	// servers holds all servers by id.
	servers map[api.ServerID]*TrackedServer
	// byAddress holds the servers by address.
	byAddress map[string]*TrackedServer
	// services holds the pools of the servers of each service that weren't leaving when the entries were last replaced, ordered by id.
	services map[route.Service]*servicePools
	// loads holds the load of each service; entries are never removed.
	loads map[route.Service]*ServiceLoad
	// evacuated holds the failure domains whose servers take no requests.
	evacuated map[api.FailureDomain]bool
	// hasEvacuated holds the services with servers in these domains.
	hasEvacuated map[route.Service]bool
	// hasServers is set once the entries were replaced by some. From then on a server without an earlier entry has just started.
	hasServers bool
	// departed holds servers without an entry, the longest departed first; at most maxDeparted.
	departed []departedServer
	// paces holds the moving average of the pace (latency relative to size) of each kind of answer.
	paces map[string]float64
}

// departedServer keeps the state of one start of a server after its entry is gone, to which requests that are still running add. The entry of a server
// that lives on comes back.
type departedServer struct {
	id      api.ServerID
	start   int64
	address string
	state   *serverState
}

// maxDeparted bounds the servers whose reports are kept without an entry.
const maxDeparted = 1000

// paceWeight is the weight of one answer in the moving average of its kind's pace.
const paceWeight = 0.02

// NewSet returns an empty set.
func NewSet(at Locality) *Set {
	return &Set{at: at, place: new(place), servers: make(map[api.ServerID]*TrackedServer), services: make(map[route.Service]*servicePools), loads: make(map[route.Service]*ServiceLoad), paces: make(map[string]float64)}
}

// Replace replaces all entries. A server keeps its state as long as its start time and address are unchanged, and what it has reported also
// while it has no entry. Replace returns the addresses that no server uses any more.
func (s *Set) Replace(servers []Server) (freed []string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[api.ServerID]*TrackedServer, len(servers))
	byAddress := make(map[string]*TrackedServer, len(servers))
	for _, server := range servers {
		tracked, ok := s.servers[server.ID]
		switch {
		case !ok || tracked.Start != server.Start || tracked.Address != server.Address:
			var isBack bool
			tracked, isBack = s.trackNew(server)
			tracked.MarkCold(s.coldTime(server, isBack || !s.hasServers), now)
		case tracked.Server != server:
			tracked = &TrackedServer{Server: server, serverState: tracked.serverState}
			tracked.MarkCold(server.WarmUpLeft, now)
		}
		if server.IsLeaving {
			tracked.MarkLeaving()
		}
		next[server.ID] = tracked
		byAddress[server.Address] = tracked
	}
	for _, old := range s.servers {
		if byAddress[old.Address] == nil {
			freed = append(freed, old.Address)
		}
		if _, ok := next[old.ID]; !ok && old.Start != 0 {
			old.forgetPromptParts()
			s.departed = append(s.departed, departedServer{id: old.ID, start: old.Start, address: old.Address, state: old.serverState})
		}
	}
	s.departed = s.departed[max(0, len(s.departed)-maxDeparted):]
	s.servers, s.byAddress = next, byAddress
	s.hasServers = s.hasServers || len(servers) > 0
	s.rebuildPools()
	return freed
}

// coldTime returns how much longer a server is cold of which this node had no state. One that wasn't running before has just started, and
// may be cold although its entry doesn't say so yet. The caller holds s.mu.
func (s *Set) coldTime(server Server, wasRunning bool) time.Duration {
	if server.HasWarmUpLeft && wasRunning {
		return server.WarmUpLeft
	}
	return max(server.WarmUpLeft, s.loadOf(server.Service).warmUpPolicy().Duration)
}

// rebuildPools rebuilds the pools from the servers in service; the caller holds s.mu.
func (s *Set) rebuildPools() {
	services := make(map[route.Service][]*TrackedServer)
	s.hasEvacuated = make(map[route.Service]bool)
	for _, tracked := range s.servers {
		if s.evacuated[tracked.FailureDomain] {
			s.hasEvacuated[tracked.Service] = true
		}
		if !tracked.IsOutOfService() && !s.evacuated[tracked.FailureDomain] {
			services[tracked.Service] = append(services[tracked.Service], tracked)
		}
	}
	pools := make(map[route.Service]*servicePools, len(services))
	for service, list := range services {
		slices.SortFunc(list, func(a, b *TrackedServer) int { return cmp.Compare(a.ID, b.ID) })
		pools[service] = newServicePools(list, s.at, s.services[service])
	}
	s.services = pools
}

// trackNew returns a server of which there was no entry, with its state before if the entry is back. Without a start time an entry that is back can't
// be told from that of a new start. The caller holds s.mu.
func (s *Set) trackNew(server Server) (tracked *TrackedServer, isBack bool) {
	tracked = newTrackedServer(server, s.loadOf(server.Service))
	i := slices.IndexFunc(s.departed, func(old departedServer) bool {
		return old.id == server.ID && old.start == server.Start && old.address == server.Address && old.state.service == tracked.service
	})
	if i < 0 {
		return tracked, false
	}
	tracked.serverState = s.departed[i].state
	s.departed = slices.Delete(s.departed, i, i+1)
	return tracked, true
}

// loadOf returns the load of a service; the caller holds s.mu.
func (s *Set) loadOf(service route.Service) *ServiceLoad {
	load, ok := s.loads[service]
	if !ok {
		load = &ServiceLoad{place: s.place}
		s.loads[service] = load
	}
	return load
}

// AtAddress returns the server at an address; ok is false if there is none.
func (s *Set) AtAddress(address string) (server *TrackedServer, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	server, ok = s.byAddress[address]
	return server, ok
}

// Load returns the load of a service that has had a server; an empty one otherwise.
func (s *Set) Load(service route.Service) *ServiceLoad {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if load, ok := s.loads[service]; ok {
		return load
	}
	return &ServiceLoad{place: s.place}
}

// SetPlace sets this node's rank among the nodes, from 0, and their number.
func (s *Set) SetPlace(rank, nodes int) {
	s.place.rank.Store(int64(rank))
	s.place.nodes.Store(int64(nodes))
}

// ForService returns the servers of a service that weren't leaving when the entries were last replaced; the caller must not change the list.
func (s *Set) ForService(service route.Service) []*TrackedServer { return s.Pool(service).servers }

// ObservePace records the pace of a server's answer. Answers of the same kind are comparable between servers.
func (s *Set) ObservePace(server *TrackedServer, kind string, pace float64) {
	s.mu.Lock()
	usual, ok := s.paces[kind]
	if !ok {
		usual = pace
	}
	usual += paceWeight * (pace - usual)
	s.paces[kind] = usual
	s.mu.Unlock()
	if usual > 0 {
		server.ObserveLatencyRatio(pace / usual)
	}
}

// Hear records what a server reported to another node, and returns whether that changes which requests it takes from this node. Without a start
// time the report can't be told from one of an earlier start, and is ignored.
func (s *Set) Hear(shared selfreport.Shared, share selfreport.Share, now time.Time) (isNews bool) {
	s.mu.RLock()
	tracked, ok := s.servers[shared.Server]
	s.mu.RUnlock()
	if !ok || tracked.Start != shared.Start || shared.Start == 0 {
		return false
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	return tracked.reported.Hear(shared, share, now)
}

// Len returns the number of servers, including those that take no new requests.
func (s *Set) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.servers)
}
