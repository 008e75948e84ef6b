// Package limit implements the admission policies: weighted fair sharing between teams, deadlines, priorities, bounded queues, retry
// budgets and fleet-wide rate limits. It does no I/O and doesn't read the clock; callers pass the time.
package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Request is a queued request that waits to be dispatched.
type Request struct {
	ID   api.RequestID
	Team api.Team
	// Weight is the team's relative share of the capacity, above 0.
	Weight float64
	// Cost is the expected time for which the request occupies a slot of a server, above 0.
	Cost     time.Duration
	Priority api.Priority
	// Deadline is the time by which the answer must be complete; zero means none.
	Deadline time.Time
	// ServiceTime is the expected time from dispatch to the complete answer on a server that is slower than average.
	ServiceTime time.Duration
	// Boosted is set by Next if no more requests of the team wait while other teams have some waiting. Such a request is to be sent
	// to the server at PriorityHigh, so that it isn't delayed by the other teams' requests that the server has already accepted.
	Boosted bool
}

// canFinish reports whether the answer is expected to be complete by the deadline if the request is dispatched at start.
func (r *Request) canFinish(start time.Time) bool {
	return r.Deadline.IsZero() || !start.Add(r.ServiceTime).After(r.Deadline)
}

// Rejection is the final answer to a request that is not dispatched.
type Rejection struct {
	ID api.RequestID
	// Reason is ReasonDeadline or ReasonOverloaded.
	Reason api.Reason
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// QueueOptions holds the limits of a queue.
type QueueOptions struct {
	// MaxRequests bounds the number of waiting requests.
	MaxRequests int
	// MaxWait bounds the expected wait of a request; with 0 only deadlines bound it.
	MaxWait time.Duration
}

// Queue is a bounded queue of requests that wait for a server, with weighted fair sharing between teams.
// It is not safe for concurrent use.
//
// Next returns a request of the team with the least recent usage of the fleet in proportion to its weight. A team with
// enough requests therefore gets its share, and a team with fewer gets all of them served. A full queue rejects the newest
// request of the lowest priority of the team with the largest backlog in proportion to its weight.
type Queue struct {
	opts  QueueOptions
	teams map[api.Team]*teamQueue
	usage *Usage
	// length is the number of waiting requests of all teams.
	length int
	// drain measures the recent rate at which requests leave the queue for a server.
	drain drainRate
	// inFlight counts the dispatched requests that have not ended. Each uses one second of a slot per second.
	inFlight int
}

type teamQueue struct {
	team   api.Team
	weight float64
	// waiting is ordered by priority, highest first, then by arrival.
	waiting []Request
	// backlog is the sum of the waiting requests' costs.
	backlog time.Duration
}

// NewQueue returns an empty queue that chooses between teams by their recent usage of the fleet.
func NewQueue(opts QueueOptions, usage *Usage) *Queue {
	return &Queue{opts: opts, teams: map[api.Team]*teamQueue{}, usage: usage}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Enqueue adds a request to the queue or rejects one. The result holds at most one rejection, either of the request itself
// or of a queued request that is evicted to make room for it.
func (q *Queue) Enqueue(r Request, now time.Time) []Rejection {
	wait := q.EstimateWait(r.Team, r.Weight, r.Priority, now)
	if !r.canFinish(now.Add(wait)) {
		return []Rejection{{ID: r.ID, Reason: api.ReasonDeadline, RetryAfter: q.retryAfter(wait)}}
	}
	if q.opts.MaxWait > 0 && wait > q.opts.MaxWait {
		return []Rejection{{ID: r.ID, Reason: api.ReasonOverloaded, RetryAfter: q.retryAfter(wait)}}
	}
	q.push(r)
	if q.length <= q.opts.MaxRequests {
		return nil
	}
	evicted := q.evict()
	return []Rejection{{ID: evicted.ID, Reason: api.ReasonOverloaded, RetryAfter: q.retryAfter(wait)}}
}

func (q *Queue) push(r Request) {
	tq, ok := q.teams[r.Team]
	if !ok {
		tq = &teamQueue{team: r.Team}
		q.teams[r.Team] = tq
	}
	tq.weight = r.Weight
	i, _ := slices.BinarySearchFunc(tq.waiting, r.Priority, func(w Request, p api.Priority) int {
		return cmp.Or(cmp.Compare(p, w.Priority), -1)
	})
	tq.waiting = slices.Insert(tq.waiting, i, r)
	tq.backlog += r.Cost
	q.length++
}

// evict removes the newest request of the lowest priority of the team with the largest backlog in proportion to its weight.
func (q *Queue) evict() Request {
	var most *teamQueue
	for _, tq := range q.teams {
		if len(tq.waiting) > 0 && (most == nil || tq.hasMoreBacklogThan(most)) {
			most = tq
		}
	}
	return q.remove(most, len(most.waiting)-1)
}

func (t *teamQueue) hasMoreBacklogThan(other *teamQueue) bool {
	own, others := float64(t.backlog)/t.weight, float64(other.backlog)/other.weight
	return own > others || own == others && t.team > other.team
}

func (q *Queue) remove(tq *teamQueue, i int) Request {
	r := tq.waiting[i]
	tq.waiting = slices.Delete(tq.waiting, i, i+1)
	tq.backlog -= r.Cost
	q.length--
	if len(tq.waiting) == 0 {
		delete(q.teams, tq.team)
	}
	return r
}

// Cancel removes a request whose caller no longer waits. It returns false if the request is not in the queue.
func (q *Queue) Cancel(team api.Team, id api.RequestID) bool {
	tq, ok := q.teams[team]
	if !ok {
		return false
	}
	i := slices.IndexFunc(tq.waiting, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	q.remove(tq, i)
	return true
}

// Next removes and returns the request to dispatch, and rejects the waiting requests that can no longer meet their
// deadlines. It returns false if no request remains.
func (q *Queue) Next(now time.Time) (Request, []Rejection, bool) {
	rejections := q.rejectExpired(now)
	tq := q.leastServed(now)
	if tq == nil {
		return Request{}, rejections, false
	}
	r := q.remove(tq, 0)
	r.Boosted = len(tq.waiting) == 0 && q.length > 0
	q.usage.Add(r.Team, r.Cost, now)
	q.drain.add(r.Cost, now)
	return r, rejections, true
}

// Expire rejects the requests that can no longer meet their deadlines. It must be called regularly, also while no server is free.
func (q *Queue) Expire(now time.Time) []Rejection { return q.rejectExpired(now) }

func (q *Queue) rejectExpired(now time.Time) []Rejection {
	var rejections []Rejection
	for _, team := range q.sortedTeams() {
		tq := q.teams[team]
		for i := len(tq.waiting) - 1; i >= 0; i-- {
			if tq.waiting[i].canFinish(now) {
				continue
			}
			r := q.remove(tq, i)
			rejections = append(rejections, Rejection{ID: r.ID, Reason: api.ReasonDeadline, RetryAfter: q.retryAfter(0)})
		}
	}
	return rejections
}

func (q *Queue) sortedTeams() []api.Team {
	teams := make([]api.Team, 0, len(q.teams))
	for team := range q.teams {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	return teams
}

// leastServed returns the team with waiting requests and the least recent usage in proportion to its weight; nil if none waits.
func (q *Queue) leastServed(now time.Time) *teamQueue {
	var found *teamQueue
	var leastUsage float64
	for _, tq := range q.teams {
		usage := q.usage.Of(tq.team, now) / tq.weight
		if found == nil || usage < leastUsage || usage == leastUsage && tq.team < found.team {
			found, leastUsage = tq, usage
		}
	}
	return found
}

// SetInFlight sets the number of dispatched requests that have not ended. After an idle period this number indicates the capacity
// before the drain rate does.
func (q *Queue) SetInFlight(inFlight int) { q.inFlight = inFlight }

// EstimateWait returns the expected wait of a new request: the team's backlog of the same or a higher priority, divided by
// the team's share of the drain rate among the teams that wait. It is 0 while nothing waits or no rate is known.
func (q *Queue) EstimateWait(team api.Team, weight float64, priority api.Priority, now time.Time) time.Duration {
	rate := max(q.drain.rate(now), float64(q.inFlight))
	if rate == 0 || q.length == 0 {
		return 0
	}
	ahead := time.Duration(0)
	weights := weight
	for _, tq := range q.teams {
		if tq.team != team {
			weights += tq.weight
			continue
		}
		for i := range tq.waiting {
			if tq.waiting[i].Priority >= priority {
				ahead += tq.waiting[i].Cost
			}
		}
	}
	share := rate * weight / weights
	return time.Duration(float64(ahead) / share)
}

// Bounds of the time after which a rejected caller may retry.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Second)
}

// drainRate measures the cost of the requests that left the queue for a server within the last usageWindow.
type drainRate struct{ recent decayed }

func (d *drainRate) add(cost time.Duration, now time.Time) { d.recent.add(cost.Seconds(), now) }

// rate returns the dispatched cost per second, which is the number of slots in use; 0 before the first dispatch.
func (d *drainRate) rate(now time.Time) float64 { return d.recent.at(now) / usageWindow.Seconds() }
