package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/balance"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// minServersPerVersion is how many servers a node wants for each serving version.
	minServersPerVersion = 2
	// poolInterval is how often a node checks which versions its servers lack.
	poolInterval = 10 * time.Second
	// maxPoolRetryInterval bounds the time between two searches for the same versions, which doubles while nothing is found.
	maxPoolRetryInterval = 5 * time.Minute
	// findTimeout bounds the call to one peer.
	findTimeout = 250 * time.Millisecond
	// peersPerRound is how many peers are asked in each search.
	peersPerRound = 3
	// firstReportTimeout is how long an extra server may take to report its versions.
	firstReportTimeout = 30 * time.Second
)

// poolFiller finds servers for versions that too few servers of the node's subset have.
type poolFiller struct {
	node    *Node
	rng     *rand.Rand
	retries map[api.Service]poolRetry
}

// poolRetry is the time of the next search for a service's missing versions.
type poolRetry struct {
	next     time.Time
	interval time.Duration
	// missing holds the versions of the last search.
	missing []api.VersionID
}

// fillPools is a duty that searches for servers of versions that the node's subset lacks.
func (n *Node) fillPools(ctx context.Context) error {
	p := &poolFiller{node: n, rng: n.newRand(streamPools), retries: make(map[api.Service]poolRetry)}
	return sleep.Every(ctx, poolInterval, func(now time.Time) {
		if config := n.parts.configs.Current(); config != nil {
			p.fill(ctx, config, now)
		}
	})
}

// fill drops the extra servers that are no longer needed and adds those that are.
func (p *poolFiller) fill(ctx context.Context, config *fleet.Config, now time.Time) {
	next := make(map[api.ServerID]extraServer)
	snapshot, _ := p.node.parts.vms.Snapshot()
	sizes := make(map[api.Service]int)
	for _, server := range snapshot.Servers {
		sizes[server.Service]++
	}
	for _, service := range config.Services {
		// Each node uses all servers of a small service.
		if service.Kind != fleet.KindEngine || sizes[service.Name] <= balance.MaxSubsetSize {
			delete(p.retries, service.Name)
			continue
		}
		pool := p.poolOf(service, snapshot, now)
		p.fillService(ctx, pool, now)
		maps.Copy(next, pool.extras)
	}
	p.node.parts.extras.replace(next)
}

// pool is the node's view of the servers of a service.
type pool struct {
	service fleet.Service
	// listed holds the servers of the VM list that aren't leaving.
	listed map[api.ServerID]bool
	// subset holds the servers of the node's subset.
	subset []*registry.Server
	// extras holds the extra servers that are still needed.
	extras map[api.ServerID]extraServer
}

func (p *poolFiller) poolOf(service fleet.Service, snapshot *vmlist.Snapshot, now time.Time) *pool {
	found := &pool{service: service, listed: make(map[api.ServerID]bool), extras: make(map[api.ServerID]extraServer)}
	for _, server := range snapshot.Servers {
		if server.Service == service.Name && !server.Leaving {
			found.listed[server.ID] = true
		}
	}
	extras := p.node.parts.extras.all()
	used := p.node.registry.OfService(service.Name)
	for _, server := range used {
		if _, isExtra := extras[server.ID]; !isExtra {
			found.subset = append(found.subset, server)
		}
	}
	for id, current := range extras {
		server, ok := p.node.registry.Find(id)
		isNew := now.Sub(current.since) < firstReportTimeout
		isWanted := current.service == service.Name && found.listed[id] && found.isServing(current.version)
		if isWanted && found.countInSubset(current.version) < minServersPerVersion && (isNew || ok && canServe(server, current.version)) {
			found.extras[id] = current
		}
	}
	return found
}

func canServe(server *registry.Server, version api.VersionID) bool {
	return !server.IsLeaving() && server.HasVersion(version)
}

func (p *pool) isServing(version api.VersionID) bool {
	return slices.Contains(p.servingVersions(), version)
}

func (p *pool) servingVersions() []api.VersionID {
	var serving []api.VersionID
	for _, model := range p.service.Models {
		for _, version := range model.Versions {
			if version.State == fleet.StateServing {
				serving = append(serving, api.VersionID{Model: model.Name, Version: version.Name})
			}
		}
	}
	return serving
}

// countInSubset counts the usable servers of the subset that have a version.
func (p *pool) countInSubset(version api.VersionID) int {
	count := 0
	for _, server := range p.subset {
		if canServe(server, version) {
			count++
		}
	}
	return count
}

// hasReports reports whether most servers of the subset have sent a load report, which names their versions.
func (p *pool) hasReports() bool {
	reported := 0
	for _, server := range p.subset {
		if !server.Report().MeasuredAt.IsZero() {
			reported++
		}
	}
	return reported*2 > len(p.subset)
}

// missingServers returns how many more servers of a version the node wants.
func (p *pool) missingServers(version api.VersionID) int {
	count := p.countInSubset(version)
	for _, used := range p.extras {
		if used.version == version {
			count++
		}
	}
	return max(minServersPerVersion-count, 0)
}

// fillService asks peers for servers of the versions that too few known servers have.
func (p *poolFiller) fillService(ctx context.Context, pool *pool, now time.Time) {
	missing := slices.DeleteFunc(pool.servingVersions(), func(v api.VersionID) bool { return pool.missingServers(v) == 0 })
	before := p.retries[pool.service.Name]
	isSame := slices.Equal(missing, before.missing)
	if len(missing) == 0 || !pool.hasReports() || isSame && now.Before(before.next) {
		return
	}
	added := false
	for _, peer := range p.randomPeers() {
		found := p.findServers(ctx, peer, pool.service.Name, missing)
		for _, version := range missing {
			added = pool.addExtras(version, found[version], now) || added
		}
	}
	interval := poolInterval
	if isSame && !added {
		interval = min(2*before.interval, maxPoolRetryInterval)
	}
	p.retries[pool.service.Name] = poolRetry{next: now.Add(interval), interval: interval, missing: missing}
}

// randomPeers returns a few other nodes at random.
func (p *poolFiller) randomPeers() []api.NodeID {
	members := p.node.otherMembers()
	p.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var peers []api.NodeID
	for _, member := range members[:min(len(members), peersPerRound)] {
		peers = append(peers, member.Node)
	}
	return peers
}

func (p *poolFiller) findServers(
	ctx context.Context, peer api.NodeID, service api.Service, missing []api.VersionID,
) map[api.VersionID][]api.ServerID {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	found, err := p.node.peerClient.FindServers(ctx, peer, service, missing)
	if err != nil {
		p.node.log.WithField("peer", string(peer)).WithError(err).Debug("asking a peer for servers failed")
		return nil
	}
	return found
}

// addExtras adds extra servers of a version up to the wanted number and the size limit of the subset, and reports whether it
// added any.
func (p *pool) addExtras(version api.VersionID, servers []api.ServerID, now time.Time) bool {
	added := false
	for _, id := range servers {
		_, isExtra := p.extras[id]
		isOwn := slices.ContainsFunc(p.subset, func(s *registry.Server) bool { return s.ID == id })
		hasRoom := len(p.subset)+len(p.extras) < balance.MaxSubsetSize
		if p.listed[id] && !isExtra && !isOwn && hasRoom && p.missingServers(version) > 0 {
			p.extras[id] = extraServer{service: p.service.Name, version: version, since: now}
			added = true
		}
	}
	return added
}

// ServersWithVersion implements noderpc.ServerFinder. Servers of the subset come before extra servers, and start at a random
// one, so that the peers don't all use the same server.
func (n *Node) ServersWithVersion(service api.Service, version api.VersionID) []api.ServerID {
	extras := n.parts.extras.all()
	var own, extraIDs []api.ServerID
	for _, server := range n.registry.OfService(service) {
		if !canServe(server, version) {
			continue
		}
		if _, isExtra := extras[server.ID]; isExtra {
			extraIDs = append(extraIDs, server.ID)
		} else {
			own = append(own, server.ID)
		}
	}
	first := int(n.randomFloat() * float64(len(own)))
	return slices.Concat(own[first:], own[:first], extraIDs)
}
