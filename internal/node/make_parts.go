package node

import (
	"context"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/admission"
	"github.com/monsoonrail/monsoonrail/internal/guard"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/serverchoice"
	"github.com/monsoonrail/monsoonrail/internal/supervisor"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// makeParts creates the dependencies of the request path and the duties that feed them.
func (n *Node) makeParts(ctx context.Context) error {
	n.store = n.opts.Platform.Store
	n.rollOuts = rollout.NewStore(n.store)
	n.parts.vms = vmlist.NewPoller(vmlist.PollerOptions{
		Client:    n.opts.Platform.VMs,
		Interval:  n.opts.Settings.Platform.VMListPoll,
		Rand:      n.newRand(streamVMs),
		Log:       n.log,
		OnLeaving: func() { n.cluster.exchange.Notify(vmlist.TopicName) },
		Metrics:   n.metrics.Registry(),
	})
	if err := n.makeCluster(); err != nil {
		return err
	}
	n.makeRequestPath()
	n.makeVersions()
	n.makeBills()
	n.makeCopier()
	if err := n.makeKeys(); err != nil {
		return err
	}
	n.registerTopics()
	if err := n.listenMetrics(ctx); err != nil {
		return err
	}
	return n.listenPeers(ctx)
}

// makeRequestPath creates the server choice, the guard and the admission gate, which decide on each request.
func (n *Node) makeRequestPath() {
	n.parts.extras = newExtraServers()
	n.serverChooser = serverchoice.New(n.newRand(streamServers))
	n.guard = guard.New(time.Now(), func() { n.cluster.exchange.Notify(topicSuspicions) })
	n.gate = admission.New(admission.Options{
		Capacity: n, Metrics: n.metrics, Nodes: n.nodeCount, FleetRate: n.fleetRate, Incarnation: n.incarnation,
		FailureDomain: api.FailureDomain(n.opts.Settings.Node.FailureDomain),
	})
	n.parts.configs = effectiveConfigs{&n.cluster}
	n.parts.servers = n.serverChooser
	n.parts.admission = n.gate
	n.parts.members = n
	n.parts.onDrain = append(n.parts.onDrain, func() { n.cluster.exchange.SetDraining(true) })
	n.parts.duties = append(n.parts.duties, n.clusterDuties()...)
	n.parts.duties = append(n.parts.duties,
		supervisor.Duty{Name: "admission", Run: n.gate.Run},
		supervisor.Duty{Name: "usage", Run: n.reportUsage},
		supervisor.Duty{Name: "borrow", Run: n.borrowRates},
		supervisor.Duty{Name: "pools", Run: n.fillPools})
	n.parts.duties = append(n.parts.duties, n.rollOutDuties()...)
}

// registerTopics registers the node's shared state with the peer exchange.
func (n *Node) registerTopics() {
	n.cluster.exchange.Register(n.cluster.follower)
	n.cluster.exchange.Register(&suspicionTopic{node: n})
	n.cluster.exchange.Register(n.cluster.trials)
	n.cluster.exchange.Register(n.usageTopic())
	n.cluster.exchange.Register(directUsageTopic{n.gate})
	n.cluster.exchange.Register(n.ratingTopic())
	n.cluster.exchange.Register(n.parts.vms.Topic())
}
