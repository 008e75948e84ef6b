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
	// minHolders is how many servers of each serving version a node wants.
	minHolders = 2
	// poolInterval is how often a node looks which versions its servers lack.
	poolInterval = 10 * time.Second
	// maxPoolWait bounds the time between two questions for the same versions, which doubles while nothing is found.
	maxPoolWait = 5 * time.Minute
	// findTimeout bounds the question to one peer.
	findTimeout = 250 * time.Millisecond
	// findersAsked is how many peers are asked each time.
	findersAsked = 3
	// firstReport is how long an extra server has to report what it holds.
	firstReport = 30 * time.Second
)

// pools finds servers for versions that too few servers of the node's subset hold.
type pools struct {
	node  *Node
	draws *rand.Rand
	waits map[api.Service]poolWait
}

// poolWait is when a service's lacking versions are asked for next.
type poolWait struct {
	next time.Time
	wait time.Duration
	// lacking holds the versions that were asked for.
	lacking []api.VersionID
}

// fillPools is a duty.
func (n *Node) fillPools(ctx context.Context) error {
	p := &pools{node: n, draws: n.random(streamPools), waits: make(map[api.Service]poolWait)}
	return sleep.Every(ctx, poolInterval, func(now time.Time) {
		if config := n.parts.configs.Current(); config != nil {
			p.fill(ctx, config, now)
		}
	})
}

// fill drops the extra servers that are not needed any more and takes those that are.
func (p *pools) fill(ctx context.Context, config *fleet.Config, now time.Time) {
	next := make(map[api.ServerID]extra)
	snapshot, _ := p.node.parts.vms.Snapshot()
	sizes := make(map[api.Service]int)
	for _, server := range snapshot.Servers {
		sizes[server.Service]++
	}
	for _, service := range config.Services {
		// Each node uses all servers of a small service.
		if service.Kind != fleet.KindEngine || sizes[service.Name] <= balance.MaxSubsetSize {
			delete(p.waits, service.Name)
			continue
		}
		pool := p.poolOf(service, snapshot, now)
		p.fillOne(ctx, pool, now)
		maps.Copy(next, pool.extras)
	}
	p.node.parts.extras.replace(next)
}

// pool is what the node knows of the servers of a service.
type pool struct {
	service fleet.Service
	// listed holds the servers of the VM list that stay.
	listed map[api.ServerID]bool
	// subset holds the servers that the node uses anyway.
	subset []*registry.Server
	// extras holds the extra servers, of which those that are of no use any more are left out.
	extras map[api.ServerID]extra
}

func (p *pools) poolOf(service fleet.Service, snapshot *vmlist.Snapshot, now time.Time) *pool {
	found := &pool{service: service, listed: make(map[api.ServerID]bool), extras: make(map[api.ServerID]extra)}
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
	for id, held := range extras {
		server, ok := p.node.registry.Find(id)
		isNew := now.Sub(held.since) < firstReport
		isOf := held.service == service.Name && found.listed[id] && found.isServing(held.version)
		if isOf && found.ofSubset(held.version) < minHolders && (isNew || ok && holds(server, held.version)) {
			found.extras[id] = held
		}
	}
	return found
}

func holds(server *registry.Server, version api.VersionID) bool {
	return !server.IsLeaving() && server.HasVersion(version)
}

func (p *pool) isServing(version api.VersionID) bool {
	return slices.Contains(p.serving(), version)
}

func (p *pool) serving() []api.VersionID {
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

// ofSubset counts the servers of the subset that hold a version.
func (p *pool) ofSubset(version api.VersionID) int {
	count := 0
	for _, server := range p.subset {
		if holds(server, version) {
			count++
		}
	}
	return count
}

// hasReports tells that most servers of the subset have said what they hold.
func (p *pool) hasReports() bool {
	reported := 0
	for _, server := range p.subset {
		if !server.Report().MeasuredAt.IsZero() {
			reported++
		}
	}
	return reported*2 > len(p.subset)
}

// lacks returns how many servers of a version the node wants further.
func (p *pool) lacks(version api.VersionID) int {
	held := p.ofSubset(version)
	for _, used := range p.extras {
		if used.version == version {
			held++
		}
	}
	return max(minHolders-held, 0)
}

// fillOne asks peers for servers of the versions that are lacking.
func (p *pools) fillOne(ctx context.Context, pool *pool, now time.Time) {
	lacking := slices.DeleteFunc(pool.serving(), func(v api.VersionID) bool { return pool.lacks(v) == 0 })
	before := p.waits[pool.service.Name]
	isSame := slices.Equal(lacking, before.lacking)
	if len(lacking) == 0 || !pool.hasReports() || isSame && now.Before(before.next) {
		return
	}
	took := false
	for _, peer := range p.peers() {
		found := p.ask(ctx, peer, pool.service.Name, lacking)
		for _, version := range lacking {
			took = pool.take(version, found[version], now) || took
		}
	}
	wait := poolInterval
	if isSame && !took {
		wait = min(2*before.wait, maxPoolWait)
	}
	p.waits[pool.service.Name] = poolWait{next: now.Add(wait), wait: wait, lacking: lacking}
}

// peers draws a few other nodes.
func (p *pools) peers() []api.NodeID {
	members := p.node.lenders()
	p.draws.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var peers []api.NodeID
	for _, member := range members[:min(len(members), findersAsked)] {
		peers = append(peers, member.Node)
	}
	return peers
}

func (p *pools) ask(ctx context.Context, peer api.NodeID, service api.Service, lacking []api.VersionID) map[api.VersionID][]api.ServerID {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	found, err := p.node.calls.FindServers(ctx, peer, service, lacking)
	if err != nil {
		p.node.log.WithField("peer", string(peer)).WithError(err).Debug("no servers found")
		return nil
	}
	return found
}

// take adds extra servers of a version as far as it lacks them and there is room, and reports whether it added any.
func (p *pool) take(version api.VersionID, servers []api.ServerID, now time.Time) bool {
	took := false
	for _, id := range servers {
		_, isTaken := p.extras[id]
		isOwn := slices.ContainsFunc(p.subset, func(s *registry.Server) bool { return s.ID == id })
		hasRoom := len(p.subset)+len(p.extras) < balance.MaxSubsetSize
		if p.listed[id] && !isTaken && !isOwn && hasRoom && p.lacks(version) > 0 {
			p.extras[id] = extra{service: p.service.Name, version: version, since: now}
			took = true
		}
	}
	return took
}

// Holders implements noderpc.Finder. Servers of the subset come before extra ones, and in another order each time, so that nodes
// do not all take the same.
func (n *Node) ServersWithVersion(service api.Service, version api.VersionID) []api.ServerID {
	extras := n.parts.extras.all()
	var own, further []api.ServerID
	for _, server := range n.registry.OfService(service) {
		if !holds(server, version) {
			continue
		}
		if _, isExtra := extras[server.ID]; isExtra {
			further = append(further, server.ID)
		} else {
			own = append(own, server.ID)
		}
	}
	first := int(n.draw() * float64(len(own)))
	return slices.Concat(own[first:], own[:first], further)
}
