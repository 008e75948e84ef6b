package replay

import (
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/cascade"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Result is what a replay measured.
type Result struct {
	Fleet    string
	Versions Policy
	Servers  Policy
	Seed     uint64
	Requests int
	// Cost is that of all answers, OracleCost that of the cheapest arm of each class that meets the target.
	Cost, OracleCost, BestCost api.MicroUSD
	// TargetMet tells that the mean quality of every class is at least the target.
	TargetMet bool
	Classes   []ClassResult
	// P50 and P99 are of the times from arrival to the whole answer.
	P50, P99 time.Duration
	// PrefixHits is the part of the prefix tokens that were found cached.
	PrefixHits float64
	// MaxFairLoad is the largest utilization of a server relative to the mean.
	MaxFairLoad float64
	// PeakQueue is the largest number of waiting requests for each slot of a server.
	PeakQueue float64
	// Regret is the sum, over requests, of what the chosen arm costs more than the oracle's, relative to the best
	// version's cost, and of what its true quality lacks to the target; by quarters of the replay.
	Regret [regretParts]float64

	// Exposed counts the requests that were handed to a version while a fault of the trace made it bad.
	Exposed int `json:",omitempty"`
	// Trials counts the requests that went to versions on trial.
	Trials int `json:",omitempty"`
	// Goodput is the part of the servers' capacity, while requests arrived, that went into answers that were in time
	// and whole by then, Teams what each team got;
	// both only with Options.Admission.
	Goodput float64      `json:",omitempty"`
	Teams   []TeamResult `json:",omitempty"`

	teams                map[api.Team]*TeamResult
	latencies            []time.Duration
	classes              map[api.Class]*classSums
	hitTokens, allTokens api.Tokens
	cost, oracleCost     float64
	bestCost, regret     float64
	useful               float64
	chosen               int
}

// regretParts is the number of equal parts of a replay at whose ends the regret is noted.
const regretParts = 16

// ClassResult is what a replay measured of one class.
type ClassResult struct {
	Class    api.Class
	Requests int
	Quality  api.Quality
	P99      time.Duration
	// Escalated is the part of the requests that a cascade's second version answered.
	Escalated float64
}

type classSums struct {
	quality   float64
	escalated int
	latencies []time.Duration
}

func newResult(fleet string, opts Options) *Result {
	return &Result{Fleet: fleet, Versions: opts.Versions, Servers: opts.Servers, Seed: opts.Seed, classes: map[api.Class]*classSums{}}
}

// chose counts a choice of an arm.
func (r *Result) chose(s *simulation, req *request) {
	class := s.oracle[req.entry.Class]
	reference := class.best
	if req.entry.Session != "" {
		reference = class.bestStraight
	}
	arm := class.find(&s.truth, req.decision.Arm)
	finest := class.arms[len(class.arms)-1]
	r.regret += max(arm.cost-reference.cost, 0)/finest.cost + max(float64(s.truth.Target)-arm.quality, 0)
	r.oracleCost += s.truth.expectedPrice(req, reference)
	r.bestCost += s.truth.Versions[len(s.truth.Versions)-1].price(req.entry)
	r.chosen++
	if req.decision.Reason == cascade.ReasonRollOut {
		r.Trials++
	}
	total := len(s.entries)
	if part := r.chosen * regretParts / total; part > 0 {
		r.Regret[part-1] = r.regret
	}
}

// expectedPrice is what the oracle's arm costs for a request.
func (t *Truth) expectedPrice(req *request, arm trueArm) float64 {
	if arm.then == noVersion {
		return t.Versions[arm.first].price(req.entry)
	}
	return arm.cost
}

func (r *Result) queued(s *server) {
	r.PeakQueue = max(r.PeakQueue, float64(len(s.queue))/float64(s.truth.Slots))
}

func (r *Result) started(j *job) {
	r.allTokens += j.request.entry.PrefixTokens
	if j.hit {
		r.hitTokens += j.request.entry.PrefixTokens
	}
}

func (r *Result) served(s *simulation, req *request, quality api.Quality) {
	sums, ok := r.classes[req.entry.Class]
	if !ok {
		sums = &classSums{}
		r.classes[req.entry.Class] = sums
	}
	latency := s.now - req.arrived
	sums.quality += float64(quality)
	sums.latencies = append(sums.latencies, latency)
	if req.escalated {
		sums.escalated++
	}
	if s.opts.Admission {
		r.servedTeam(s, req, latency)
	}
	r.latencies = append(r.latencies, latency)
	r.cost += req.cost
}

func (r *Result) finish(s *simulation) {
	r.Requests = len(r.latencies)
	r.Cost, r.OracleCost, r.BestCost = api.MicroUSD(r.cost), api.MicroUSD(r.oracleCost), api.MicroUSD(r.bestCost)
	r.P50, r.P99 = percentile(r.latencies, 0.5), percentile(r.latencies, 0.99)
	r.PrefixHits = float64(r.hitTokens) / float64(max(r.allTokens, 1))
	r.MaxFairLoad = maxFairLoad(s.servers)
	if s.opts.Admission {
		r.finishTeams(s)
	}
	r.TargetMet = true
	for class, sums := range r.classes {
		n := float64(len(sums.latencies))
		quality := api.Quality(sums.quality / n)
		r.TargetMet = r.TargetMet && quality >= s.truth.Target
		r.Classes = append(r.Classes, ClassResult{
			Class: class, Requests: len(sums.latencies), Quality: quality,
			P99: percentile(sums.latencies, 0.99), Escalated: float64(sums.escalated) / n,
		})
	}
	slices.SortFunc(r.Classes, func(a, b ClassResult) int {
		if a.Class < b.Class {
			return -1
		}
		return 1
	})
}

// percentile returns the value below which a part of the values lie; it sorts them.
func percentile(values []time.Duration, part float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(part*float64(len(values))), len(values)-1)]
}

func maxFairLoad(servers []*server) float64 {
	var busy, slots, most float64
	for _, s := range servers {
		busy += s.busy.Seconds()
		slots += float64(s.truth.Slots)
		most = max(most, s.busy.Seconds()/float64(s.truth.Slots))
	}
	if busy == 0 {
		return 0
	}
	return most / (busy / slots)
}
