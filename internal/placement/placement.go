// Package placement chooses the backend server of a request. Its functions do no input or output.
//
// The load that it answers: many nodes place requests on the same few servers, knowing their own requests at once and the others'
// only from reports that are late, while servers of one service differ in speed and hold different cached parts of prompts.
package placement

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
)

const (
	// reportTrust is how long a server's report counts, less and less: about as long as half of the requests run.
	reportTrust = time.Second
	// failurePenalty multiplies the cost of a server that fails all requests; one that fails none costs what it costs.
	failurePenalty = 20.0
	// avoidedPenalty multiplies the cost of a server that is avoided, so that it is taken only if all others are as bad.
	avoidedPenalty = 1000.0
	// domainPenaltyPerKilobyte is what a kilobyte between failure domains costs, in requests ahead: as much as reading some two
	// hundred prompt tokens.
	domainPenaltyPerKilobyte = 0.16
	bytesPerKilobyte         = 1000
	// leastSlowness bounds how much faster than usual a server is taken for; how much slower, package backend bounds.
	leastSlowness = 0.1
)

// Candidate is a server that may take a request.
type Candidate struct {
	View  backend.View
	Slots int
	// IsSameDomain tells that it is in the failure domain of this node.
	IsSameDomain bool
	// CachedTokens is how many of the request's prompt tokens it has probably cached.
	CachedTokens int
	// IsTried tells that the request was sent there before.
	IsTried bool
}

// Request is what counts of a request.
type Request struct {
	// PromptTokens is the size of the prompt; 0 for requests without a model.
	PromptTokens int
	// Bytes is the size of the request and of its answer, as far as it is known.
	Bytes int
	// TokensPerSlot is how many prompt tokens delay the others as much as one more running request does.
	TokensPerSlot float64
}

// Choose returns the index of the best candidate, or -1 if there are none. Of equal ones the first is taken, so that the order
// of the candidates, which callers derive from the request, spreads the requests.
func Choose(req Request, candidates []Candidate) int {
	usual := MeanPeerInFlight(candidates)
	best, bestCost := -1, math.Inf(1)
	for i, c := range candidates {
		if cost := Cost(req, c, usual); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Cost is what a request would cost at a server, in requests ahead of it, weighed by the server's faults. usualOthers is what
// UsualOthers returns.
func Cost(req Request, c Candidate, usualOthers float64) float64 {
	ahead := EstimateInFlight(c, usualOthers)
	cost := 1 + ahead
	if over := ahead - float64(c.Slots); over > 0 {
		// Beyond its slots a server makes requests wait for whole others.
		cost += over
	}
	if req.TokensPerSlot > 0 {
		read := float64(req.PromptTokens-c.CachedTokens) + float64(c.View.PendingPromptTokens)
		cost += read / req.TokensPerSlot
	}
	cost *= max(c.View.Slowness, leastSlowness)
	if !c.IsSameDomain {
		cost += domainPenaltyPerKilobyte * float64(req.Bytes) / bytesPerKilobyte
	}
	cost *= 1 + failurePenalty*c.View.FailureShare*c.View.FailureShare
	if c.View.IsAvoided || c.IsTried {
		cost *= avoidedPenalty
	}
	return cost
}

// EstimateInFlight estimates how many requests run or wait at a server: this node's own, and those of the other nodes by the server's last
// report. The older the report, the more the usual number of the others' requests counts instead: a server of which nothing is known
// is no emptier than the rest.
func EstimateInFlight(c Candidate, usualOthers float64) float64 {
	trust := trustIn(c)
	return float64(c.View.InFlight) + trust*reportedOthers(c) + (1-trust)*usualOthers
}

// MeanPeerInFlight returns how many requests of other nodes run or wait at a server on average, by the reports that are fresh.
func MeanPeerInFlight(candidates []Candidate) float64 {
	sum, weights := 0.0, 0.0
	for _, c := range candidates {
		trust := trustIn(c)
		sum += trust * reportedOthers(c)
		weights += trust
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// Utilization estimates the part of the servers' slots that are taken, beyond 1 where requests wait.
func Utilization(candidates []Candidate) float64 {
	usual := MeanPeerInFlight(candidates)
	ahead, slots := 0.0, 0
	for _, c := range candidates {
		ahead += EstimateInFlight(c, usual)
		slots += c.Slots
	}
	return ahead / float64(max(slots, 1))
}

// trustIn is the weight of a server's last report, from 1 for one just made to 0.
func trustIn(c Candidate) float64 {
	if !c.View.HasLoad {
		return 0
	}
	return max(0, 1-float64(c.View.LoadAge)/float64(reportTrust))
}

// reportedOthers is how many requests of other nodes a server reported.
func reportedOthers(c Candidate) float64 {
	return max(0, float64(c.View.Load.Running+c.View.Load.Waiting-c.View.InFlightAtReport))
}
