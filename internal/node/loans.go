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
	// borrowInterval is how often a node whose demand exceeds its share asks peers for a loan.
	borrowInterval = time.Second
	// borrowTimeout bounds the call to one peer.
	borrowTimeout = 250 * time.Millisecond
	// lendersPerRound is how many peers are asked in each interval.
	lendersPerRound = 3
)

// borrowRates is a duty that asks a few peers for part of their shares of the teams' rate limits.
func (n *Node) borrowRates(ctx context.Context) error {
	rng := n.newRand(streamLoans)
	for sleep.For(ctx, borrowInterval) {
		lenders := n.otherMembers()
		rng.Shuffle(len(lenders), func(i, j int) { lenders[i], lenders[j] = lenders[j], lenders[i] })
		for _, lender := range lenders[:min(len(lenders), lendersPerRound)] {
			n.borrowFrom(ctx, lender)
		}
	}
	return ctx.Err()
}

func (n *Node) otherMembers() []peer.Member {
	var members []peer.Member
	for _, member := range n.cluster.exchange.Members() {
		if member.Node != n.opts.Settings.Node.NodeID() {
			members = append(members, member)
		}
	}
	return members
}

func (n *Node) borrowFrom(ctx context.Context, lender peer.Member) {
	askedAt := time.Now()
	demands := n.gate.Demands(askedAt)
	if len(demands) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	loans, err := n.peerClient.BorrowRates(ctx, lender.Node, n.incarnation, demands)
	if err != nil {
		n.log.WithField("peer", string(lender.Node)).WithError(err).Debug("borrowing part of a rate limit from a peer failed")
		return
	}
	n.gate.Borrow(lender.Incarnation, loans, askedAt, time.Now())
}

// fleetRate returns a team's rate limit over the fleet in requests per second; 0 means no limit.
func (n *Node) fleetRate(team api.Team) float64 {
	config := n.parts.configs.Current()
	if config == nil {
		return 0
	}
	return config.PolicyFor(fleet.Scope{Team: team}, time.Now()).RequestsPerSecond
}
