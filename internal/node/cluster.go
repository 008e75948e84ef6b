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
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/trial"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// cluster is what connects a node with the others and with the accepted configuration.
type cluster struct {
	changes  *configlog.Log
	follower *follower.Follower
	exchange *peer.Exchange
	acceptor *acceptance.Acceptor
	trials   *trial.Node
}

// makeCluster makes the node's copy of the configuration and its part of the peer exchange.
func (n *Node) makeCluster() error {
	self := n.self(n.started)
	c := &n.cluster
	c.changes = configlog.New(n.store, configlog.DefaultPrefix)
	c.follower = follower.New(follower.Options{
		Self: self, Log: c.changes, Logger: n.log, Metrics: n.metrics.Registry(), Rand: n.random(streamFollower),
	})
	exchange, err := peer.New(peer.Options{
		Self: self, Keys: n.peerKeys(), Seeds: n.seeds,
		Network: n.opts.Network, Config: c.follower, Log: n.log, Metrics: n.metrics.Registry(), Rand: n.random(streamPeers),
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

// listenPeers begins to listen for the exchange and for the calls of other nodes.
func (n *Node) listenPeers(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(n.cluster.exchange.Handler())
	path, calls := noderpc.NewHandler(noderpc.ServerOptions{BillHolder: n.keeper, ClaimCommitter: n.batcher, RateLender: n.gate, ServerFinder: n})
	mux.Handle(path, n.peerKeys().RequireSigned(calls))
	return n.listenBeside(ctx, "peer-api", n.opts.Settings.Node.PeerListen, &http.Server{Handler: mux, Protocols: tcp.UnencryptedProtocols()})
}

// self describes this node to the others.
func (n *Node) self(now time.Time) peer.Member {
	settings := n.opts.Settings.Node
	return peer.Member{
		Node: settings.NodeID(), Incarnation: n.incarnation, Started: now, Address: settings.CallerAddress(),
		PeerAddress: settings.PeerAddress(), FailureDomain: api.FailureDomain(settings.FailureDomain),
		Region: api.Region(settings.Region),
	}
}

// seeds lists the peers of the settings and of the VM list, whose peer port is taken to be this node's own.
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

// clusterDuties are those of the exchange and the configuration.
func (n *Node) clusterDuties() []supervisor.Duty {
	return []supervisor.Duty{
		{Name: "peer-exchange", Run: n.cluster.exchange.Run},
		{Name: "configuration", Run: n.cluster.follower.Run},
		{Name: "trials", Run: n.cluster.trials.Run},
		{Name: "hear", Run: n.hear},
	}
}

// random returns a source of its own for each use, so that runs with the same seed are the same.
func (n *Node) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.seed, stream))
}

// Streams of random numbers.
const (
	streamServers uint64 = iota + 1
	streamVMs
	streamVersions
	streamFollower
	streamPeers
	streamDraws
	streamBills
	streamRatings
	streamLoans
	streamPools
	streamUsage
)

// accepted is the follower's configuration, nil before the first.
type accepted struct{ follower *follower.Follower }

// Current implements router.Configs.
func (a accepted) Current() *fleet.Config {
	config := a.follower.Current()
	if config == nil || config.Revision == 0 {
		return nil
	}
	return config
}

// inForce is the accepted configuration without the versions that the node stopped on its own.
type inForce struct{ cluster *cluster }

// Current implements router.Configs.
func (f inForce) Current() *fleet.Config {
	config := accepted{f.cluster.follower}.Current()
	if config == nil {
		return nil
	}
	return f.cluster.trials.Overlay(config)
}
