package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// RateLimiter keeps teams within fleet-wide rates without asking anybody for each request.
// It isn't safe for concurrent use.
//
// Each node has an equal share of a team's rate, which is all that it uses while its peers can't be reached.
// A node with more demand than its share borrows from peers with less: the lender gives up a part of its share
// for LoanFor from when it answers, the borrower uses it for LoanFor from when it asked, which was earlier.
// So the nodes together never exceed the rate, whoever is cut from whom.
type RateLimiter struct {
	teams map[api.Team]*teamRate
}

// LoanDuration is how long a loan lasts.
const LoanDuration = 5 * time.Second

const (
	// burstWindow is how much of its rate a team may use at once.
	burstWindow = time.Second
	// lendReserve is the part of its own demand that a lender keeps on top of it.
	lendReserve = 0.5
)

type teamRate struct {
	// fleet is the team's rate over the whole fleet, share that of this node without loans, in requests a second.
	fleet, share float64
	// tokens is at most max(1, the rate over burstWindow), as of asOf.
	tokens float64
	asOf   time.Time
	demand decayed
	lent   []loan
	taken  []loan
}

// loan is a rate that is given up or taken until a time.
type loan struct {
	peer  api.Incarnation
	rate  float64
	until time.Time
}

// Demand tells a peer how many requests a second of a team a node was asked for beyond its share.
type Demand struct {
	Team   api.Team
	Excess float64
}

// Loan is the part of its share that a node gives up for the one that asked.
type Loan struct {
	Team api.Team
	Rate float64
}

// NewRateLimiter returns rates without teams.
func NewRateLimiter() *RateLimiter { return &RateLimiter{teams: map[api.Team]*teamRate{}} }

// RateOptions describes a request that asks to be let in.
type RateOptions struct {
	Team api.Team
	// FleetRate is the team's bound in requests a second over the fleet; 0 means none.
	FleetRate float64
	// Nodes counts the nodes that may be running, those that can't be reached too, at least 1.
	Nodes int
}

// Allow lets a request in, or returns when another try has a chance.
func (r *RateLimiter) Allow(opts RateOptions, now time.Time) (retryAfter time.Duration, ok bool) {
	if opts.FleetRate <= 0 {
		return 0, true
	}
	team := r.team(opts, now)
	team.demand.add(1, now)
	team.refill(now)
	if team.tokens >= 1 {
		team.tokens--
		return 0, true
	}
	missing := (1 - team.tokens) / max(team.rate(now), team.share)
	wait := time.Duration(missing * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Second), false
}

func (r *RateLimiter) team(opts RateOptions, now time.Time) *teamRate {
	team, ok := r.teams[opts.Team]
	if !ok {
		team = &teamRate{asOf: now}
		r.teams[opts.Team] = team
	}
	if team.fleet != opts.FleetRate {
		team.fleet = opts.FleetRate
	}
	share := opts.FleetRate / float64(max(opts.Nodes, 1))
	if team.share != share {
		team.refill(now)
		team.share = share
	}
	if !ok {
		team.tokens = share * burstWindow.Seconds()
	}
	return team
}

// rate is the node's own rate at a time, with the loans that are in force.
func (t *teamRate) rate(now time.Time) float64 {
	return max(t.share-sumOf(t.lent, now)+sumOf(t.taken, now), 0)
}

func sumOf(loans []loan, now time.Time) float64 {
	sum := 0.0
	for _, l := range loans {
		if now.Before(l.until) {
			sum += l.rate
		}
	}
	return sum
}

// refill adds the tokens since the last refill, piece by piece between the ends of loans.
func (t *teamRate) refill(now time.Time) {
	for t.asOf.Before(now) {
		next := t.nextEnd(now)
		t.tokens += t.rate(t.asOf) * next.Sub(t.asOf).Seconds()
		t.asOf = next
		t.tokens = min(t.tokens, max(1, t.rate(t.asOf)*burstWindow.Seconds()))
	}
	t.lent = dropEnded(t.lent, now)
	t.taken = dropEnded(t.taken, now)
}

// nextEnd returns the first end of a loan after asOf, or now if that comes first.
func (t *teamRate) nextEnd(now time.Time) time.Time {
	next := now
	for _, loans := range [][]loan{t.lent, t.taken} {
		for _, l := range loans {
			if l.until.After(t.asOf) && l.until.Before(next) {
				next = l.until
			}
		}
	}
	return next
}

func dropEnded(loans []loan, now time.Time) []loan {
	return slices.DeleteFunc(loans, func(l loan) bool { return !now.Before(l.until) })
}

// Demands returns what this node would borrow, ordered by team; send it to a peer and give the answer to Borrow.
func (r *RateLimiter) Demands(now time.Time) []Demand {
	var demands []Demand
	for name, team := range r.teams {
		beyond := team.demand.at(now)/usageWindow.Seconds() - team.rate(now)
		if beyond > 0 {
			demands = append(demands, Demand{Team: name, Excess: beyond})
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Team, b.Team) })
	return demands
}

// Lend answers a peer's demands with a part of what this node doesn't need itself.
// fleetRates holds the bounds of teams of which the node may not have seen a request.
func (r *RateLimiter) Lend(peer api.Incarnation, demands []Demand, fleetRates func(api.Team) RateOptions, now time.Time) []Loan {
	var loans []Loan
	for _, demand := range demands {
		opts := fleetRates(demand.Team)
		if opts.FleetRate <= 0 || demand.Excess <= 0 {
			continue
		}
		team := r.team(opts, now)
		team.refill(now)
		needed := team.demand.at(now) / usageWindow.Seconds() * (1 + lendReserve)
		spare := team.share - sumOf(team.lent, now) - needed
		if len(team.taken) > 0 || spare <= 0 {
			continue
		}
		rate := min(spare/2, demand.Excess)
		team.lent = append(team.lent, loan{peer: peer, rate: rate, until: now.Add(LoanDuration)})
		loans = append(loans, Loan{Team: demand.Team, Rate: rate})
	}
	return loans
}

// Borrow takes in a peer's answer to demands that were sent at a time.
func (r *RateLimiter) Borrow(peer api.Incarnation, loans []Loan, asked, now time.Time) {
	for _, l := range loans {
		team, ok := r.teams[l.Team]
		if !ok || l.Rate <= 0 || !now.Before(asked.Add(LoanDuration)) {
			continue
		}
		team.refill(now)
		team.taken = append(team.taken, loan{peer: peer, rate: l.Rate, until: asked.Add(LoanDuration)})
	}
}
