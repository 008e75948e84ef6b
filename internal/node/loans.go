package node

import (
	"context"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// borrowInterval is how often a node with more demand than its share asks others.
	borrowInterval = time.Second
	// borrowTimeout bounds the question to one peer.
	borrowTimeout = 250 * time.Millisecond
	// lendersAsked is how many peers are asked each time.
	lendersAsked = 3
)

// borrow is a duty: it asks a few peers for a part of their shares of the teams' rates.
func (n *Node) borrow(ctx context.Context) error {
	draws := n.random(streamLoans)
	for sleep.For(ctx, borrowInterval) {
		lenders := n.lenders()
		draws.Shuffle(len(lenders), func(i, j int) { lenders[i], lenders[j] = lenders[j], lenders[i] })
		for _, lender := range lenders[:min(len(lenders), lendersAsked)] {
			n.borrowFrom(ctx, lender)
		}
	}
	return ctx.Err()
}

func (n *Node) lenders() []peer.Member {
	var lenders []peer.Member
	for _, member := range n.cluster.exchange.Members() {
		if member.Node != n.opts.Settings.Node.NodeID() {
			lenders = append(lenders, member)
		}
	}
	return lenders
}

func (n *Node) borrowFrom(ctx context.Context, lender peer.Member) {
	asked := time.Now()
	demands := n.gate.Demands(asked)
	if len(demands) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	loans, err := n.calls.BorrowRates(ctx, lender.Node, n.incarnation, demands)
	if err != nil {
		n.log.WithField("peer", string(lender.Node)).WithError(err).Debug("no part of a rate borrowed")
		return
	}
	n.gate.Borrow(lender.Incarnation, loans, asked, time.Now())
}

// fleetRate returns a team's bound in requests a second over the fleet; 0 means none.
func (n *Node) fleetRate(team api.Team) float64 {
	config := n.parts.configs.Current()
	if config == nil {
		return 0
	}
	return config.PolicyFor(fleet.Scope{Team: team}, time.Now()).RequestsPerSecond
}
