package backend

import (
	"sync"

	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// maxRestrictedPools bounds the sets of regions for which the pools of a service are kept; configurations have few.
const maxRestrictedPools = 64

// restrictedPools holds the pools of those servers of a service that are in the regions of a set, by the set's key. They are built when they are first
// asked for.
type restrictedPools struct {
	mu    sync.Mutex
	byKey map[string]*servicePools
}

// within returns the pools of the servers in the regions of a set.
func (p *servicePools) within(regions region.Set, at Locality) *servicePools {
	if !regions.IsRestricted() {
		return p
	}
	p.restricted.mu.Lock()
	defer p.restricted.mu.Unlock()
	if pools, ok := p.restricted.byKey[regions.Key()]; ok {
		return pools
	}
	var servers []*TrackedServer
	for _, server := range p.all.servers {
		if regions.Has(at.Regions[server.FailureDomain]) {
			servers = append(servers, server)
		}
	}
	pools := newServicePools(servers, at, nil)
	if p.restricted.byKey == nil || len(p.restricted.byKey) >= maxRestrictedPools {
		p.restricted.byKey = make(map[string]*servicePools)
	}
	p.restricted.byKey[regions.Key()] = pools
	return pools
}

// PoolWithin is like Pool, of the servers in the regions of a set.
func (s *Set) PoolWithin(service route.Service, regions region.Set) *Pool {
	if pools, ok := s.poolsOf(service); ok {
		return pools.within(regions, s.at).all
	}
	return emptyPool
}

// PoolOfWithin is like PoolOf, of the servers in the regions of a set.
func (s *Set) PoolOfWithin(service route.Service, version route.ServiceVersion, isOther bool, regions region.Set) *Pool {
	if pools, ok := s.poolsOf(service); ok {
		return pools.within(regions, s.at).ofVersion(version, isOther)
	}
	return emptyPool
}

func (s *Set) poolsOf(service route.Service) (pools *servicePools, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	pools, ok = s.services[service]
	return pools, ok
}
