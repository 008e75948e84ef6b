package node

import (
	"context"
	"slices"

	"github.com/monsoonrail/monsoonrail/internal/copier"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/supervisor"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// dutyCandidates is how many nodes compete for the lease of a duty.
const dutyCandidates = 3

// rollOutDuties returns the duties that advance roll-outs and submit the node's local stops for acceptance.
func (n *Node) rollOutDuties() []supervisor.Duty {
	manager := rollout.NewManager(rollout.ManagerOptions{
		Node: n.opts.Settings.Node.NodeID(), Incarnation: n.incarnation, Store: n.rollOuts, Leases: n.store,
		Configs: n.cluster.follower, Acceptor: n.cluster.acceptor, Results: n.cluster.trials, Servers: n.PoolOf,
		IsCandidate: func(service api.Service) bool { return n.isCandidate(string(service) + "/" + rollout.DutyName) },
		Client:      n.httpClient(), Weights: n.weights(),
		CanCopy:       true,
		AwaitsRatings: n.opts.Settings.Platform.Rating != "", Seed: n.seed, Log: n.log,
	})
	withdrawer := rollout.NewWithdrawer(rollout.WithdrawerOptions{
		Node: n.opts.Settings.Node.NodeID(), Stops: n.cluster.trials.ConfirmedStops, Configs: n.cluster.follower,
		Acceptor: n.cluster.acceptor, Log: n.log,
	})
	return []supervisor.Duty{
		{Name: "roll-outs", Run: manager.Run},
		{Name: "withdrawals", Run: withdrawer.Run},
	}
}

// isCandidate reports whether this node is one of the few that compete for the lease of a duty.
func (n *Node) isCandidate(duty string) bool {
	first := rendezvous.Top(duty, n.liveNodes(), dutyCandidates)
	return slices.Contains(first, n.opts.Settings.Node.NodeID())
}

// weights returns the weight store, from which roll-outs learn how fast versions load; nil if the platform has none.
func (n *Node) weights() rollout.WeightStore {
	if n.opts.Platform.Weights == nil {
		return nil
	}
	return rollout.NewCachedWeights(n.opts.Platform.Weights)
}

// makeCopier creates the duty that sends copies of answered requests to candidate versions under suspicion.
func (n *Node) makeCopier() {
	requestCopier := copier.New(copier.Options{
		Trials: n.cluster.trials, Configs: n.parts.configs, Rater: n.parts.ratings, Guard: n.guard, Registry: n.registry,
		Engines: n.engines, DetectCrash: n.detectCrash, Draw: n.randomFloat, Log: n.log,
	})
	n.parts.copier = copierAdapter{requestCopier}
	n.parts.duties = append(n.parts.duties, supervisor.Duty{Name: "copies", Run: requestCopier.Run})
}

func (n *Node) detectCrash(ctx context.Context, server *registry.Server, err error) {
	n.router.DetectCrash(ctx, server, err)
}

// copierAdapter implements router.Copier.
type copierAdapter struct{ copier *copier.Copier }

// Offer implements router.Copier.
func (c copierAdapter) Offer(answered router.AnsweredRequest) {
	c.copier.Offer(copier.Original(answered))
}
