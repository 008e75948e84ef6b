package backend

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxRanked is the number of servers up to which all are candidates of each request. The candidates of a larger pool are some of its servers, so
	// that a choice takes about the same time whatever their number.
	maxRanked = 48
	// keyCandidates are the first servers by the request's key, domainCandidates those of the node's failure domain, and otherCandidates are chosen
	// at random for each request: servers differ in speed, and with few of them a request often meets no fast one that is idle.
	keyCandidates    = 4
	domainCandidates = 32
	otherCandidates  = 120
	// subsetSize is the number of further servers of the node's failure domain that are candidates of all of its requests, so that it has reports
	// of them, knows their speed and keeps connections to them.
	subsetSize = 16
)

// Locality is the place from which a node uses the servers.
type Locality struct {
	Node          api.NodeID
	FailureDomain api.FailureDomain
	// Regions holds the regions of the failure domains.
	Regions region.Map
}

// Pool is an immutable list of servers that may run the same requests.
type Pool struct {
	servers []*TrackedServer
	// slots is the sum of the servers' slots.
	slots int
	// index ranks the servers by key.
	index *rendezvous.Index
	// isSampled is set if the candidates of a request are some of the servers; the fields below are only set then.
	isSampled bool
	// domain lists the indices of the servers of the node's failure domain, and domainIndex ranks them by key.
	domain      []int
	domainIndex *rendezvous.Index
	// subset lists the indices of the node's own subset of domain.
	subset []int
}

func newPool(servers []*TrackedServer, at Locality) *Pool {
	p := &Pool{servers: servers, isSampled: len(servers) > maxRanked}
	var names, domainNames []string
	for i, s := range servers {
		p.slots += s.Slots
		names = append(names, string(s.ID))
		if s.FailureDomain == at.FailureDomain {
			p.domain, domainNames = append(p.domain, i), append(domainNames, string(s.ID))
		}
	}
	p.index = rendezvous.NewIndex(names)
	if !p.isSampled {
		return p
	}
	p.domainIndex = rendezvous.NewIndex(domainNames)
	// The subsets of all nodes together spread evenly over the servers.
	for _, i := range p.domainIndex.Top(string(at.Node), subsetSize) {
		p.subset = append(p.subset, p.domain[i])
	}
	return p
}

// IsSampled reports whether Candidates returns a sample.
func (p *Pool) IsSampled() bool { return p.isSampled }

// Present returns the servers of the pool that aren't leaving, ordered by id.
func (p *Pool) Present() []*TrackedServer {
	var present []*TrackedServer
	for _, s := range p.servers {
		if !s.IsOutOfService() {
			present = append(present, s)
		}
	}
	return present
}

// HasPresent reports whether a server of the pool isn't leaving.
func (p *Pool) HasPresent() bool {
	return slices.ContainsFunc(p.servers, func(s *TrackedServer) bool { return !s.IsOutOfService() })
}

// Selection says for which request servers are selected.
type Selection struct {
	// Key is what the request shares with others whose prompts a server may have cached.
	Key string
	// Seed differs between requests; it determines the random choice of the servers that are not selected by Key.
	Seed string
}

// Candidates returns servers that aren't leaving, in a new slice. The first one is the same on all nodes for the same key. Small pools return all
// servers, ordered by key, and large ones some of them.
func (p *Pool) Candidates(sel Selection) []*TrackedServer {
	if !p.isSampled {
		ranked := make([]*TrackedServer, 0, len(p.servers))
		for _, i := range p.index.Top(sel.Key, len(p.servers)) {
			if server := p.servers[i]; !server.IsOutOfService() {
				ranked = append(ranked, server)
			}
		}
		return ranked
	}
	sample := sampler{pool: p, candidates: make([]*TrackedServer, 0, keyCandidates+domainCandidates+subsetSize+otherCandidates)}
	for _, i := range p.index.Top(sel.Key, keyCandidates) {
		sample.add(i)
	}
	// Of candidates with equal cost the first is chosen: within a failure domain that is the first one by key, which has cached the prompt.
	for _, i := range p.domainIndex.Top(sel.Key, domainCandidates) {
		sample.add(p.domain[i])
	}
	byKey := len(sample.candidates)
	for _, i := range p.subset {
		sample.add(i)
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(sel.Seed), 0))
	for range otherCandidates {
		sample.add(random.IntN(len(p.servers)))
	}
	rest := sample.candidates[byKey:]
	random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return sample.candidates
}

// sampler collects the candidates of one request.
type sampler struct {
	pool       *Pool
	candidates []*TrackedServer
}

// add adds the server with an index unless it is leaving or has been added.
func (s *sampler) add(index int) {
	server := s.pool.servers[index]
	if !slices.Contains(s.candidates, server) && !server.IsOutOfService() {
		s.candidates = append(s.candidates, server)
	}
}

// servicePools holds the pools of a service.
type servicePools struct {
	all *Pool
	// of holds the servers of each version, without those of all other versions; both are nil with a single version.
	of, without map[route.ServiceVersion]*Pool
	restricted  restrictedPools
}

// newServicePools returns the pools of servers, which are ordered by id. Pools of unchanged servers are those of old, which may be nil.
func newServicePools(servers []*TrackedServer, at Locality, old *servicePools) *servicePools {
	if old != nil && slices.Equal(old.all.servers, servers) {
		return old
	}
	pools := &servicePools{all: newPool(servers, at)}
	byVersion := make(map[route.ServiceVersion][]*TrackedServer)
	for _, s := range servers {
		byVersion[s.Version] = append(byVersion[s.Version], s)
	}
	if len(byVersion) < 2 {
		return pools
	}
	pools.of, pools.without = make(map[route.ServiceVersion]*Pool), make(map[route.ServiceVersion]*Pool)
	for version, list := range byVersion {
		pools.of[version] = newPool(list, at)
		pools.without[version] = newPool(slices.DeleteFunc(slices.Clone(servers), func(s *TrackedServer) bool { return s.Version == version }), at)
	}
	return pools
}

// emptyPool is the pool of an unknown service or version.
var emptyPool = newPool(nil, Locality{})

// Pool returns the servers of a service that weren't leaving when the entries were last replaced.
func (s *Set) Pool(service route.Service) *Pool { return s.PoolWithin(service, region.Set{}) }

// PoolOf returns the servers of a service's version, or those of all other versions if isOther is set.
func (s *Set) PoolOf(service route.Service, version route.ServiceVersion, isOther bool) *Pool {
	return s.PoolOfWithin(service, version, isOther, region.Set{})
}

// ofVersion returns the servers of a version, or those of all other versions if isOther is set.
func (p *servicePools) ofVersion(version route.ServiceVersion, isOther bool) *Pool {
	switch {
	case p.of == nil:
		hasVersion := len(p.all.servers) > 0 && p.all.servers[0].Version == version
		if hasVersion == isOther {
			return emptyPool
		}
		return p.all
	case isOther:
		if pool, ok := p.without[version]; ok {
			return pool
		}
		return p.all
	}
	if pool, ok := p.of[version]; ok {
		return pool
	}
	return emptyPool
}
