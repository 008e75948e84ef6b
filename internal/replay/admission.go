package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/balance"
	"github.com/monsoonrail/monsoonrail/internal/holdtime"
	"github.com/monsoonrail/monsoonrail/internal/limit"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// admission is a node's queue and the requests in it.
type admission struct {
	queue   *limit.Queue
	usage   *limit.Usage
	waiting map[api.RequestID]*request
	// running counts the requests that were let in and have not ended.
	running   int
	estimates *holdtime.CostEstimator
	holds     *holdtime.SlotTimes
}

// maxQueue is the bound of a node's queue.
const maxQueue = 200

func newAdmission() *admission {
	usage := limit.NewUsage()
	return &admission{
		queue:     limit.NewQueue(limit.QueueOptions{MaxRequests: maxQueue}, usage),
		usage:     usage,
		waiting:   map[api.RequestID]*request{},
		estimates: holdtime.New(),
		holds:     holdtime.NewSlotTimes(),
	}
}

// TeamResult is what a replay with admission measured of one team.
type TeamResult struct {
	Team             api.Team
	Offered, Refused int
	// Late counts answers that came after their deadline.
	Late int
	// Used is the work of the answers that came in time as a part of the servers' capacity, counted as if nothing were
	// cached; FairShare is the team's max-min fair share of all teams' sum.
	Used, FairShare float64
	P99             time.Duration

	latencies    []time.Duration
	demand, work float64
}

// admit offers a request to its node's queue.
func (s *simulation) admit(r *request, version int) {
	r.version = version
	team := s.result.team(r.entry.Team)
	team.Offered++

	team.demand += s.trueWork(r)
	n := r.node.admission
	id := api.RequestID(fmt.Sprint(r.index))
	n.waiting[id] = r
	n.queue.SetInFlight(n.running)
	s.refuse(n, n.queue.Enqueue(limit.Request{
		ID: id, Team: r.entry.Team, Weight: 1, Cost: n.estimates.Cost(r.known()),
		ServiceTime: n.holds.RequiredTime(r.entry.Class, n.running+n.queue.Len(), s.room(r.node)),
		Priority:    r.entry.Priority, Deadline: epoch.Add(r.arrived + r.entry.Deadline),
	}, s.wall()))
	s.pump(r.node)
}

// known is what the admission knows of a request before it runs.
func (r *request) known() holdtime.Request {
	return holdtime.Request{Class: r.entry.Class, Prompt: r.entry.PromptTokens}
}

// release gives a request's place back and counts what it took, as the gate does.
func (s *simulation) release(r *request) {
	n := r.node.admission
	n.running--
	speed := r.node.table.RelativeSpeed(s.truth.Versions[r.version].ID)
	n.holds.Add(r.entry.Class, s.now-r.admitted)
	answer := float64(r.entry.AnswerTokens) / speed
	n.usage.Add(r.entry.Team, n.estimates.CostWithAnswer(r.known(), answer)-r.charged, s.wall())
	n.estimates.Observe(r.known(), answer, s.now-r.admitted)
	s.pump(r.node)
}

// trueWork is the time that the request holds a slot of a server of speed 1.
func (s *simulation) trueWork(r *request) float64 {
	version := &s.truth.Versions[r.version]
	return float64(r.entry.PromptTokens)/promptRate + float64(r.entry.AnswerTokens)/(answerRate*version.Speed)
}

func (s *simulation) refuse(n *admission, refusals []limit.Rejection) {
	for _, refusal := range refusals {
		r := n.waiting[refusal.ID]
		delete(n.waiting, refusal.ID)
		s.result.team(r.entry.Team).Refused++
		s.open--
	}
}

// room is how many requests the node may have on the servers.
func (s *simulation) room(n *node) int {
	slots, own, others := balance.Occupancy(n.table.Servers(), s.wall())
	return limit.MaxInFlight(limit.MaxInFlightInput{Slots: slots, Own: own, Others: others, Nodes: len(s.nodes)})
}

// pump dispatches what the node has room for.
func (s *simulation) pump(n *node) {
	for {
		if s.room(n) <= n.admission.running {
			s.refuse(n.admission, n.admission.queue.Expire(s.wall()))
			return
		}
		next, refusals, ok := n.admission.queue.Next(s.wall())
		s.refuse(n.admission, refusals)
		if !ok {
			return
		}
		r := n.admission.waiting[next.ID]
		delete(n.admission.waiting, next.ID)
		r.boosted = next.Boosted
		r.admitted = s.now
		r.charged = next.Cost
		n.admission.running++
		s.dispatch(r, r.version)
	}
}

// exchangeUsage gives each node the use that the others have seen.
func (s *simulation) exchangeUsage() {
	for _, n := range s.nodes {
		for _, peer := range s.nodes {
			if peer != n {
				n.admission.usage.MergeReport(string(peer.id), peer.admission.usage.OwnReport(s.wall()), s.wall())
			}
		}
	}
	for _, n := range s.nodes {
		s.pump(n)
	}
	if s.open > 0 {
		s.at(s.now+usagePeriod, s.exchangeUsage)
	}
}

const usagePeriod = 500 * time.Millisecond

func (r *Result) team(name api.Team) *TeamResult {
	if r.teams == nil {
		r.teams = map[api.Team]*TeamResult{}
	}
	team, ok := r.teams[name]
	if !ok {
		team = &TeamResult{Team: name}
		r.teams[name] = team
	}
	return team
}

// servedTeam counts an answer for its team.
func (r *Result) servedTeam(s *simulation, req *request, latency time.Duration) {
	team := r.team(req.entry.Team)
	team.latencies = append(team.latencies, latency)
	if latency > req.entry.Deadline {
		team.Late++
		return
	}
	team.work += s.trueWork(req)
	if s.now <= s.lastArrival {
		r.useful += req.done
	}
}

// finishTeams computes shares and goodput over the time in which requests arrived.
func (r *Result) finishTeams(s *simulation) {
	capacity := 0.0
	for _, server := range s.truth.Servers {
		capacity += float64(server.Slots) * server.Speed * s.lastArrival.Seconds()
	}
	total := 0.0
	for _, team := range r.teams {
		team.Used = team.work / capacity
		team.P99 = percentile(team.latencies, 0.99)
		total += team.work
		r.Teams = append(r.Teams, *team)
	}
	slices.SortFunc(r.Teams, func(a, b TeamResult) int { return cmp.Compare(a.Team, b.Team) })
	r.Goodput = r.useful / capacity
	fillShares(r.Teams, total, capacity)
}

// fillShares computes the max-min fair shares, of equal weights, of what was served in all.
func fillShares(teams []TeamResult, total, capacity float64) {
	order := make([]int, len(teams))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(teams[a].demand, teams[b].demand) })
	left := total
	for k, i := range order {
		share := min(teams[i].demand, left/float64(len(order)-k))
		teams[i].FairShare = share / capacity
		left -= share
	}
}
