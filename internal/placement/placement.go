// Package placement chooses the backend server of a request. Its functions are pure.
//
// Many nodes place requests on the same few servers. A node counts its own requests exactly but learns of the other nodes' only from the
// servers' delayed load reports, while the servers of a service differ in speed and in the prompt parts that they have cached.
package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/workload"
)

const (
	// maxReportAge is the age at which a load report's weight, which falls linearly, reaches 0. About half of the requests take less time.
	maxReportAge = time.Second
	// maxPeersAge is that of what the other nodes have said, who say it several times a second.
	maxPeersAge = 2 * time.Second
	// keyChoices is the number of first candidates that are always compared, and randomChoices the mean number of others that are if nodes tell
	// each other of their work: all nodes hear of an empty server, and would otherwise all choose it until they hear of each other's choice.
	keyChoices    = 2
	randomChoices = 6
	// failurePenalty is added to the cost factor of a server that fails all requests; it is scaled by the square of the failure share.
	failurePenalty = 20.0
	// avoidedPenalty multiplies the cost of a server that is avoided or was tried, so that it is chosen only if all others are as well.
	avoidedPenalty   = 1000.0
	bytesPerKilobyte = 1000
	// readingWeight multiplies the work that a request itself adds to a server, which delays those that come after it, too.
	readingWeight = 2.0
	// minSlowness is the lower bound of a server's slowness; package backend sets the upper bound.
	minSlowness = 0.1
)

// Candidate is a server that may take a request.
type Candidate struct {
	View  backend.View
	Slots int
	// IsSameDomain means that the server is in this node's failure domain.
	IsSameDomain bool
	// Unread is the work before the request's first event at the server, without what the server has probably cached.
	Unread workload.Work
	// IsTried means that an earlier attempt of the request was sent to the server.
	IsTried bool
}

// Request holds the properties of a request that determine its cost.
type Request struct {
	// Bytes is the size of the request plus the expected size of its answer.
	Bytes int
	// PerRequest is the work that delays other requests as much as one more running request does; above 0.
	PerRequest workload.Work
	// PerKilobyte is the work that is worth as much as a kilobyte that isn't sent between failure domains.
	PerKilobyte workload.Work
	// Seed determines which candidates are compared; it differs between requests.
	Seed uint64
}

// Means are the means, over the servers of a service, of what the other nodes have under way at a server.
type Means struct {
	InFlight float64
	Unread   workload.Work
	// HasPeers is set if they include what other nodes said.
	HasPeers bool
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there are none. Of equal ones it returns the first: callers
// derive the order from the request, which spreads the requests.
func Choose(req Request, candidates []Candidate) int {
	return ChooseWithMeans(req, candidates, MeansOf(candidates))
}

// ChooseWithMeans is Choose for a sample of the servers; means are those of all of them.
func ChooseWithMeans(req Request, candidates []Candidate, means Means) int {
	share := comparedShare(candidates)
	random := rand.New(rand.NewPCG(req.Seed, 0))
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		if share < 1 && i >= keyChoices && random.Float64() >= share {
			continue
		}
		if cost := Cost(req, candidates[i], means); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if share < 1 && (candidates[best].View.IsAvoided || candidates[best].IsTried) {
		for i, c := range candidates {
			if cost := Cost(req, c, means); cost < bestCost {
				best, bestCost = i, cost
			}
		}
	}
	return best
}

// comparedShare returns the fraction of the candidates after the first ones that are compared.
func comparedShare(candidates []Candidate) float64 {
	known := 0
	for i := range candidates {
		if peersWeight(&candidates[i]) > 0 {
			known++
		}
	}
	if 2*known < len(candidates) || len(candidates) <= keyChoices+randomChoices {
		return 1
	}
	return randomChoices / float64(len(candidates)-keyChoices)
}

// Cost returns the expected time of a request at a server, increased by the server's slowness and failures. means is the result of MeansOf.
func Cost(req Request, c Candidate, means Means) float64 {
	inFlight := EstimateInFlight(c, means.InFlight)
	load := 1 + inFlight
	if excess := inFlight - float64(c.Slots); excess > 0 {
		// Without a free slot, requests wait for others to complete.
		load += excess
	}
	perRequest := float64(req.PerRequest)
	cost := perRequest*load + readingWeight*float64(c.Unread) + float64(EstimateUnread(c, means.Unread))
	cost *= max(c.View.Slowness, minSlowness)
	if !c.IsSameDomain {
		cost += float64(req.PerKilobyte) * float64(req.Bytes) / bytesPerKilobyte
	}
	cost *= 1 + failurePenalty*c.View.FailureShare*c.View.FailureShare
	if c.View.IsAvoided || c.IsTried {
		cost *= avoidedPenalty
	}
	return cost
}

// EstimateUnread estimates the work before the first events of the requests at a server: of this node's, and of the other nodes' by what they
// said. The older that is, the more meanPeerUnread counts instead.
func EstimateUnread(c Candidate, meanPeerUnread workload.Work) workload.Work {
	weight := peersWeight(&c)
	return c.View.Unread + workload.Work(weight*float64(c.View.Peers.Load.Unread)+(1-weight)*float64(meanPeerUnread))
}

// EstimateInFlight estimates the number of requests that run or wait at a server: this node's own and those of the other nodes, by what they or
// the server said last. The older that is, the more meanPeerInFlight counts instead, so that a server of which nothing is known isn't taken for
// emptier than the rest.
func EstimateInFlight(c Candidate, meanPeerInFlight float64) float64 {
	peers, weight := peerInFlight(&c)
	return float64(c.View.InFlight) + weight*peers + (1-weight)*meanPeerInFlight
}

// MeansOf returns the means over the candidates, weighted by the freshness of what is known; 0 if nothing is.
func MeansOf(candidates []Candidate) Means {
	inFlight, unread, weightSum, peersWeightSum := 0.0, 0.0, 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		peers, weight := peerInFlight(c)
		inFlight += weight * peers
		weightSum += weight
		weight = peersWeight(c)
		unread += weight * float64(c.View.Peers.Load.Unread)
		peersWeightSum += weight
	}
	var means Means
	if weightSum > 0 {
		means.InFlight = inFlight / weightSum
	}
	if peersWeightSum > 0 {
		means.HasPeers = true
		means.Unread = workload.Work(unread / peersWeightSum)
	}
	return means
}

// Utilization estimates the fraction of the servers' slots in use; it exceeds 1 where requests wait.
func Utilization(candidates []Candidate) float64 {
	meanPeerInFlight := MeansOf(candidates).InFlight
	inFlight, slots := 0.0, 0
	for _, c := range candidates {
		inFlight += EstimateInFlight(c, meanPeerInFlight)
		slots += c.Slots
	}
	return inFlight / float64(max(slots, 1))
}

// peerInFlight returns the number of other nodes' requests at a server by the newer of the server's report and what those nodes said, and its weight.
func peerInFlight(c *Candidate) (requests, weight float64) {
	if peersWeight(c) > 0 && (!c.View.HasLoad || c.View.PeersAge <= c.View.LoadAge) {
		return float64(c.View.Peers.Load.Requests), peersWeight(c)
	}
	return reportedPeerInFlight(c), reportWeight(c)
}

// peersWeight returns the weight of what the other nodes said of a server, from 1 if it is new to 0 at maxPeersAge or if they said nothing.
func peersWeight(c *Candidate) float64 {
	if c.View.Peers.At.IsZero() {
		return 0
	}
	return min(1, max(0, 1-float64(c.View.PeersAge)/float64(maxPeersAge)))
}

// reportWeight returns the weight of a server's last load report, from 1 for a new one to 0 at maxReportAge or without one.
func reportWeight(c *Candidate) float64 {
	if !c.View.HasLoad {
		return 0
	}
	return max(0, 1-float64(c.View.LoadAge)/float64(maxReportAge))
}

// reportedPeerInFlight returns the number of other nodes' requests in a server's last load report.
func reportedPeerInFlight(c *Candidate) float64 {
	return max(0, float64(c.View.Load.Running+c.View.Load.Waiting-c.View.InFlightAtReport))
}
