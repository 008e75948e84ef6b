package backend

import (
	"maps"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/warmup"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// SetEvacuated replaces the failure domains whose servers take no requests. The servers of a domain that is taken back count as cold, since they may have
// been restarted meanwhile; cold is the number of those that were not known to be cold.
func (s *Set) SetEvacuated(domains map[api.FailureDomain]bool, now time.Time) (isChange bool, cold int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(domains, s.evacuated) {
		return false, 0
	}
	for _, server := range s.servers {
		if !s.evacuated[server.FailureDomain] || domains[server.FailureDomain] {
			continue
		}
		if policy := server.service.warmUpPolicy(); server.MarkCold(policy.Duration, now) && policy.IsLimited() {
			cold++
		}
	}
	s.evacuated = domains
	s.rebuildPools()
	return true, cold
}

// IsEvacuated reports whether the servers of a failure domain take no requests.
func (s *Set) IsEvacuated(domain api.FailureDomain) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.evacuated[domain]
}

// HasEvacuated reports whether servers of a service take no requests because their failure domain is evacuated.
func (s *Set) HasEvacuated(service route.Service) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.hasEvacuated[service]
}

// SetWarmUps sets how the servers of each service warm up. Services that are missing have no warm-up.
func (s *Set) SetWarmUps(policies map[route.Service]warmup.Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range policies {
		s.loadOf(service)
	}
	for service, load := range s.loads {
		policy := policies[service]
		load.warmUp.Store(&policy)
	}
}

// CountCold returns the number of cold servers that take fewer requests for that.
func (s *Set) CountCold(now time.Time) (cold int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, server := range s.servers {
		if server.IsCold(now) {
			cold++
		}
	}
	return cold
}
