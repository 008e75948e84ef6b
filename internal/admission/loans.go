package admission

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Demands returns the rates of requests that exceed this node's shares of the teams' rates.
func (g *Gate) Demands(now time.Time) []limit.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rates.Demands(now)
}

// Borrow applies a peer's answer to demands that were sent at requestedAt.
func (g *Gate) Borrow(peer api.Incarnation, loans []limit.Loan, requestedAt, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates.Borrow(peer, loans, requestedAt, now)
}

// Lend answers a peer's demands with a part of the rates that this node doesn't need itself.
func (g *Gate) Lend(peer api.Incarnation, demands []limit.Demand, now time.Time) []limit.Loan {
	nodes := g.opts.Nodes()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rates.Lend(peer, demands, func(team api.Team) limit.RateOptions {
		return limit.RateOptions{Team: team, FleetRate: g.opts.FleetRate(team), Nodes: nodes}
	}, now)
}
