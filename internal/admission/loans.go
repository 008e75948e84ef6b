package admission

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Demands returns what this node was asked for beyond its shares of the teams' rates.
func (g *Gate) Demands(now time.Time) []limit.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rates.Demands(now)
}

// Borrow takes in a peer's answer to demands that were sent at a time.
func (g *Gate) Borrow(peer api.Incarnation, loans []limit.Loan, asked, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates.Borrow(peer, loans, asked, now)
}

// Lend answers a peer's demands with a part of what this node doesn't need itself.
func (g *Gate) Lend(peer api.Incarnation, demands []limit.Demand, now time.Time) []limit.Loan {
	nodes := g.opts.Nodes()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rates.Lend(peer, demands, func(team api.Team) limit.RateOptions {
		return limit.RateOptions{Team: team, FleetRate: g.opts.FleetRate(team), Nodes: nodes}
	}, now)
}
