package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/follower"
	"github.com/monsoonrail/monsoonrail/internal/noderpc"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/supervisor"
	"github.com/monsoonrail/monsoonrail/internal/trial"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// cluster connects a node with its peers and with the accepted configuration.
type cluster struct {
	changes  *configlog.Log
	follower *follower.Follower
	exchange *peer.Exchange
	acceptor *acceptance.Acceptor
	trials   *trial.Node
}

// makeCluster creates the node's copy of the configuration and its peer exchange.
func (n *Node) makeCluster() error {
	self := n.self(n.started)
	c := &n.cluster
	c.changes = configlog.New(n.store, configlog.DefaultPrefix)
	c.follower = follower.New(follower.Options{
		Self: self, Log: c.changes, Logger: n.log, Metrics: n.metrics.Registry(), Rand: n.newRand(streamFollower),
	})
	exchange, err := peer.New(peer.Options{
		Self: self, Keys: n.peerKeys(), Seeds: n.seeds,
		Network: n.opts.Network, Config: c.follower, Log: n.log, Metrics: n.metrics.Registry(), Rand: n.newRand(streamPeers),
		Authenticated: noteAuthenticated,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	c.exchange = exchange
	c.follower.SetPeers(exchange)
	c.acceptor = acceptance.New(c.changes, c.follower, n.log)
	c.trials = trial.New(trial.Options{
		Node: self.Node, Incarnation: self.Incarnation, Configs: c.follower, Log: n.log,
		Nodes:  func() int { return len(exchange.Members()) },
		Notify: func() { exchange.Notify(trial.TopicName) },
	})
	return nil
}

// listenPeers listens for the peer exchange and for calls from other nodes.
func (n *Node) listenPeers(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(n.cluster.exchange.Handler())
	path, calls := noderpc.NewHandler(noderpc.ServerOptions{BillHolder: n.billHolder, ClaimCommitter: n.batcher, RateLender: n.gate, ServerFinder: n})
	mux.Handle(path, n.peerKeys().RequireSigned(handleAuthenticated(calls)))
	return n.listenAdditional(ctx, peerAPI, n.opts.Settings.Node.PeerListen, n.handleTunnels(mux))
}

// self returns this node's entry for the membership list.
func (n *Node) self(now time.Time) peer.Member {
	settings := n.opts.Settings.Node
	return peer.Member{
		Node: settings.NodeID(), Incarnation: n.incarnation, Started: now, Address: settings.CallerAddress(),
		PeerAddress: settings.PeerAddress(), FailureDomain: api.FailureDomain(settings.FailureDomain),
		Region: api.Region(settings.Region),
	}
}

// seeds lists the peers of the settings and of the VM list. Nodes of the VM list are assumed to use this node's peer port.
func (n *Node) seeds() []peer.Seed {
	var seeds []peer.Seed
	for _, address := range n.opts.Settings.Node.Seeds {
		seeds = append(seeds, peer.Seed{PeerAddress: address})
	}
	_, port, err := net.SplitHostPort(n.opts.Settings.Node.PeerAddress())
	if err != nil {
		return seeds
	}
	snapshot, _ := n.parts.vms.Snapshot()
	for _, entry := range snapshot.Nodes {
		host, _, err := net.SplitHostPort(entry.Address)
		if err != nil || entry.Leaving || entry.ID == n.opts.Settings.Node.NodeID() {
			continue
		}
		seeds = append(seeds, peer.Seed{PeerAddress: net.JoinHostPort(host, port), FailureDomain: entry.FailureDomain})
	}
	return seeds
}

// clusterDuties returns the duties of the peer exchange and of the configuration.
func (n *Node) clusterDuties() []supervisor.Duty {
	return []supervisor.Duty{
		{Name: "peer-exchange", Run: n.cluster.exchange.Run},
		{Name: "configuration", Run: n.cluster.follower.Run},
		{Name: "trials", Run: n.cluster.trials.Run},
		{Name: "hear", Run: n.reportPeerFreshness},
		{Name: "tunnel-helpers", Run: n.followHelpers},
	}
}

// newRand returns a random source for one stream, so that runs with the same seed are reproducible.
func (n *Node) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.seed, stream))
}

// Streams of random numbers.
const (
	streamServers uint64 = iota + 1
	streamVMs
	streamVersions
	streamFollower
	streamPeers
	streamRouter
	streamBills
	streamRatings
	streamLoans
	streamPools
	streamUsage
)

// acceptedConfigs returns the follower's configuration, or nil before the first one was accepted.
type acceptedConfigs struct{ follower *follower.Follower }

// Current implements router.Configs.
func (a acceptedConfigs) Current() *fleet.Config {
	config := a.follower.Current()
	if config == nil || config.Revision == 0 {
		return nil
	}
	return config
}

// effectiveConfigs returns the accepted configuration without the versions that this node stopped on its own.
type effectiveConfigs struct{ cluster *cluster }

// Current implements router.Configs.
func (c effectiveConfigs) Current() *fleet.Config {
	config := acceptedConfigs{c.cluster.follower}.Current()
	if config == nil {
		return nil
	}
	return c.cluster.trials.Overlay(config)
}
