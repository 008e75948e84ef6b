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

// stateLogInterval is how often state changes are logged. Changes that revert within the interval appear only in the log lines
// of the requests that they affected.
const stateLogInterval = time.Second

// serverState is this node's view of a backend server.
type serverState string

// States of a backend server, in order of precedence.
const (
	serverLeaving      serverState = "leaving"
	serverUnresponsive serverState = "unresponsive"
	serverFailed       serverState = "failed"
	serverUsable       serverState = "usable"
)

// stateOf returns this node's view of a server.
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

// loggedStates holds the states of servers and peers that were logged last. Only one duty uses it.
type loggedStates struct {
	servers map[api.ServerID]serverState
	peers   map[api.Incarnation]peer.Member
}

func newLoggedStates() *loggedStates {
	return &loggedStates{servers: make(map[api.ServerID]serverState), peers: make(map[api.Incarnation]peer.Member)}
}

// logStateChanges is a duty that logs the servers and peers whose state changed in this node's view.
func (n *Node) logStateChanges(ctx context.Context) error {
	logged := newLoggedStates()
	return sleep.Every(ctx, stateLogInterval, func(now time.Time) {
		logged.logServers(n.log, n.registry.All(), now)
		logged.logPeers(n.log, n.cluster.exchange.Members(), now)
	})
}

// logServers logs each server whose state changed, except for a new server that is usable.
func (s *loggedStates) logServers(logger log.Interface, servers []*registry.Server, now time.Time) {
	seen := make(map[api.ServerID]serverState, len(servers))
	for _, server := range servers {
		state := stateOf(server, now)
		seen[server.ID] = state
		before, isKnown := s.servers[server.ID]
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
	for id, before := range s.servers {
		if _, ok := seen[id]; !ok {
			logger.WithFields(log.Fields{"server": string(id), "before": string(before)}).Info("server no longer used")
		}
	}
	s.servers = seen
}

// logPeers logs each peer incarnation that is new, begins to drain or is no longer listed.
func (s *loggedStates) logPeers(logger log.Interface, members []peer.Member, now time.Time) {
	seen := make(map[api.Incarnation]peer.Member, len(members))
	for _, member := range members {
		seen[member.Incarnation] = member
		before, isKnown := s.peers[member.Incarnation]
		if isKnown && before.Draining == member.Draining {
			continue
		}
		logger.WithFields(peerFields(member, now)).WithField("draining", member.Draining).Info("peer listed")
	}
	for incarnation, before := range s.peers {
		if _, ok := seen[incarnation]; !ok {
			logger.WithFields(peerFields(before, now)).Warn("peer no longer listed")
		}
	}
	s.peers = seen
}

func peerFields(member peer.Member, now time.Time) log.Fields {
	return log.Fields{
		"peer": string(member.Node), "peer_incarnation": string(member.Incarnation), "failure_domain": string(member.FailureDomain),
		"heard_ago": now.Sub(member.LastHeard).Round(time.Millisecond).String(),
	}
}
