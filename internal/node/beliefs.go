package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// beliefsInterval is how often the log is told what changed; changes that come and go within it are in the lines of the
// requests that met them.
const beliefsInterval = time.Second

// serverState is what the node makes of a backend server.
type serverState string

// States of a backend server, the first that applies.
const (
	serverLeaving      serverState = "leaving"
	serverUnresponsive serverState = "unresponsive"
	serverFailed       serverState = "failed"
	serverUsable       serverState = "usable"
)

// stateOf returns what the node makes of a server.
func stateOf(server *registry.Server, now time.Time) serverState {
	switch {
	case server.IsLeaving():
		return serverLeaving
	case server.IsUnresponsive(now):
		return serverUnresponsive
	case server.IsAvoided(now):
		return serverFailed
	default:
		return serverUsable
	}
}

// beliefs is what the log was last told of servers and peers. One duty uses it.
type beliefs struct {
	servers map[api.ServerID]serverState
	peers   map[api.Incarnation]peer.Member
}

func newBeliefs() *beliefs {
	return &beliefs{servers: make(map[api.ServerID]serverState), peers: make(map[api.Incarnation]peer.Member)}
}

// watchBeliefs is a duty: it logs the servers and peers of which the node's opinion changed.
func (n *Node) watchBeliefs(ctx context.Context) error {
	known := newBeliefs()
	return sleep.Every(ctx, beliefsInterval, func(now time.Time) {
		known.noteServers(n.log, n.registry.All(), now)
		known.notePeers(n.log, n.cluster.exchange.Members(), now)
	})
}

// noteServers logs each server whose state is another one than before. One that is new and usable is no news.
func (b *beliefs) noteServers(logger log.Interface, servers []*registry.Server, now time.Time) {
	seen := make(map[api.ServerID]serverState, len(servers))
	for _, server := range servers {
		state := stateOf(server, now)
		seen[server.ID] = state
		before, isKnown := b.servers[server.ID]
		if before == state || !isKnown && state == serverUsable {
			continue
		}
		entry := logger.WithFields(log.Fields{
			"server": string(server.ID), "state": string(state), "before": string(before), "in_flight": server.InFlight(),
		})
		if age, ok := server.ReportAge(now); ok {
			entry = entry.WithField("report_age", age.String())
		}
		entry.Info("server state changed")
	}
	for id, before := range b.servers {
		if _, ok := seen[id]; !ok {
			logger.WithFields(log.Fields{"server": string(id), "before": string(before)}).Info("server no longer used")
		}
	}
	b.servers = seen
}

// notePeers logs each run of a node that is new, begins to drain or is no longer heard.
func (b *beliefs) notePeers(logger log.Interface, members []peer.Member, now time.Time) {
	seen := make(map[api.Incarnation]peer.Member, len(members))
	for _, member := range members {
		seen[member.Incarnation] = member
		before, isKnown := b.peers[member.Incarnation]
		if isKnown && before.Draining == member.Draining {
			continue
		}
		logger.WithFields(peerFields(member, now)).WithField("draining", member.Draining).Info("peer listed")
	}
	for incarnation, before := range b.peers {
		if _, ok := seen[incarnation]; !ok {
			logger.WithFields(peerFields(before, now)).Warn("peer no longer listed")
		}
	}
	b.peers = seen
}

func peerFields(member peer.Member, now time.Time) log.Fields {
	return log.Fields{
		"peer": string(member.Node), "peer_incarnation": string(member.Incarnation), "failure_domain": string(member.FailureDomain),
		"heard_ago": now.Sub(member.LastHeard).Round(time.Millisecond).String(),
	}
}
