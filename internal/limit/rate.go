package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// RateLimiter enforces fleet-wide rates of teams without communication on each request.
// It is not safe for concurrent use.
//
// Each node has an equal share of a team's rate and uses no more than that while its peers are unreachable.
// A node with more demand than its share borrows from peers with less. The lender gives up a part of its share for
// LoanDuration from its answer; the borrower uses that part for LoanDuration from its request, which is earlier.
// The nodes together therefore never exceed the rate in any network partition.
type RateLimiter struct {
	teams map[api.Team]*teamRate
}

// LoanDuration is the duration of a loan.
const LoanDuration = 5 * time.Second

const (
	// burstWindow sets the size of a burst: the requests that the rate allows within this time.
	burstWindow = time.Second
	// lendReserve is the reserve that a lender keeps above its own demand, as a fraction of that demand.
	lendReserve = 0.5
)

type teamRate struct {
	// fleetRate is the team's rate for the whole fleet, share that of this node without loans, in requests per second.
	fleetRate, share float64
	// tokens is the number of requests that are allowed as of asOf, at most max(1, rate × burstWindow).
	tokens   float64
	asOf     time.Time
	demand   decayed
	lent     []loan
	borrowed []loan
}

// loan is a rate, in requests per second, that is lent to or borrowed from a peer until a time.
type loan struct {
	peer  api.Incarnation
	rate  float64
	until time.Time
}

// Demand asks a peer for a loan. Excess is the rate of requests of a team that exceeds the node's own rate, in requests per second.
type Demand struct {
	Team   api.Team
	Excess float64
}

// Loan is the part of its share, in requests per second, that a node lends to the peer that asked for it.
type Loan struct {
	Team api.Team
	Rate float64
}

// NewRateLimiter returns a limiter without any state of teams.
func NewRateLimiter() *RateLimiter { return &RateLimiter{teams: map[api.Team]*teamRate{}} }

// RateOptions holds the limit that applies to a team's requests.
type RateOptions struct {
	Team api.Team
	// FleetRate is the team's limit for the whole fleet in requests per second; 0 means none.
	FleetRate float64
	// Nodes is the number of nodes that may be running, including unreachable ones, at least 1.
	Nodes int
}

// Allow admits a request, or returns false and the time after which a retry may succeed.
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
	deficit := (1 - team.tokens) / max(team.rate(now), team.share)
	wait := time.Duration(deficit * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Second), false
}

func (r *RateLimiter) team(opts RateOptions, now time.Time) *teamRate {
	team, ok := r.teams[opts.Team]
	if !ok {
		team = &teamRate{asOf: now}
		r.teams[opts.Team] = team
	}
	if team.fleetRate != opts.FleetRate {
		team.fleetRate = opts.FleetRate
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

// rate returns the node's rate at a time, including the loans in effect.
func (t *teamRate) rate(now time.Time) float64 {
	return max(t.share-activeRate(t.lent, now)+activeRate(t.borrowed, now), 0)
}

func activeRate(loans []loan, now time.Time) float64 {
	sum := 0.0
	for _, l := range loans {
		if now.Before(l.until) {
			sum += l.rate
		}
	}
	return sum
}

// refill adds the tokens since the last refill. The rate changes when a loan expires, so it goes from one expiry to the next.
func (t *teamRate) refill(now time.Time) {
	for t.asOf.Before(now) {
		next := t.nextExpiry(now)
		t.tokens += t.rate(t.asOf) * next.Sub(t.asOf).Seconds()
		t.asOf = next
		t.tokens = min(t.tokens, max(1, t.rate(t.asOf)*burstWindow.Seconds()))
	}
	t.lent = dropExpired(t.lent, now)
	t.borrowed = dropExpired(t.borrowed, now)
}

// nextExpiry returns the first expiry of a loan after asOf, or now if that is earlier.
func (t *teamRate) nextExpiry(now time.Time) time.Time {
	next := now
	for _, loans := range [][]loan{t.lent, t.borrowed} {
		for _, l := range loans {
			if l.until.After(t.asOf) && l.until.Before(next) {
				next = l.until
			}
		}
	}
	return next
}

func dropExpired(loans []loan, now time.Time) []loan {
	return slices.DeleteFunc(loans, func(l loan) bool { return !now.Before(l.until) })
}

// Demands returns the rates that this node wants to borrow, ordered by team. They are sent to a peer, whose answer goes to Borrow.
func (r *RateLimiter) Demands(now time.Time) []Demand {
	var demands []Demand
	for name, team := range r.teams {
		excess := team.demand.at(now)/usageWindow.Seconds() - team.rate(now)
		if excess > 0 {
			demands = append(demands, Demand{Team: name, Excess: excess})
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Team, b.Team) })
	return demands
}

// Lend answers a peer's demands with a part of the rates that this node doesn't need itself. fleetRates returns the
// limits of a team, of which this node may not have seen any request.
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
		spare := team.share - activeRate(team.lent, now) - needed
		if len(team.borrowed) > 0 || spare <= 0 {
			continue
		}
		rate := min(spare/2, demand.Excess)
		team.lent = append(team.lent, loan{peer: peer, rate: rate, until: now.Add(LoanDuration)})
		loans = append(loans, Loan{Team: demand.Team, Rate: rate})
	}
	return loans
}

// Borrow applies a peer's answer to demands that were sent at requestedAt.
func (r *RateLimiter) Borrow(peer api.Incarnation, loans []Loan, requestedAt, now time.Time) {
	for _, l := range loans {
		team, ok := r.teams[l.Team]
		if !ok || l.Rate <= 0 || !now.Before(requestedAt.Add(LoanDuration)) {
			continue
		}
		team.refill(now)
		team.borrowed = append(team.borrowed, loan{peer: peer, rate: l.Rate, until: requestedAt.Add(LoanDuration)})
	}
}
