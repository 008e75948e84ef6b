// Package limit decides which requests are let in, in which order, and which are refused early: weighted fair
// shares between teams, deadlines, priorities, bounded queues, retry budgets and fleet-wide rates.
// It does no I/O and holds no clock.
package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Request is a request that waits to be dispatched.
type Request struct {
	ID   api.RequestID
	Team api.Team
	// Weight is the team's part of the capacity, above 0.
	Weight float64
	// Cost is the time that the request is expected to hold a slot of a server, above 0.
	Cost     time.Duration
	Priority api.Priority
	// Deadline is when the whole answer is due; zero means never.
	Deadline time.Time
	// ServiceTime is the expected time from dispatch to the whole answer, on a server slower than the mean.
	ServiceTime time.Duration
	// Boosted is set by Next where the request's team keeps within its share while others wait: hand the request to the
	// server at PriorityHigh, so that the others' work that is already there doesn't hold it up.
	Boosted bool
}

// canFinish reports whether the request would be whole before its deadline if it were dispatched at a time.
func (r *Request) canFinish(start time.Time) bool {
	return r.Deadline.IsZero() || !start.Add(r.ServiceTime).After(r.Deadline)
}

// Rejection is the final answer to a request that won't run.
type Rejection struct {
	ID api.RequestID
	// Reason is ReasonDeadline or ReasonOverloaded.
	Reason api.Reason
	// RetryAfter is when another try has a chance.
	RetryAfter time.Duration
}

// QueueOptions bounds a queue.
type QueueOptions struct {
	// MaxRequests bounds the queue's length.
	MaxRequests int
	// MaxWait bounds how long a request is expected to wait; 0 leaves it to the deadlines.
	MaxWait time.Duration
}

// Queue holds the requests that wait for a server, at most MaxRequests, fairly between teams.
// It isn't safe for concurrent use.
//
// Next takes the request of the team that used the least of the fleet lately, for its weight, so that
// every team with enough work gets its share, and a team with less gets all that it asks for.
// A full queue refuses the newest and least urgent request of the team that fills it most, for its weight.
type Queue struct {
	opts  QueueOptions
	teams map[api.Team]*teamQueue
	usage *Usage
	// length is the number of waiting requests over all teams.
	length int
	// drain is the learnt capacity, in slots, at which the queue is worked off.
	drain drainRate
	// running counts the requests that were dispatched and have not ended; each works off its cost as time goes by.
	running int
}

type teamQueue struct {
	team   api.Team
	weight float64
	// waiting is ordered by priority, highest first, and then by arrival.
	waiting []Request
	// backlog is the sum of the waiting requests' costs.
	backlog time.Duration
}

// NewQueue returns an empty queue that shares the fleet by usage.
func NewQueue(opts QueueOptions, usage *Usage) *Queue {
	return &Queue{opts: opts, teams: map[api.Team]*teamQueue{}, usage: usage}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Enqueue puts a request into the queue or refuses it. The refusal, at most one, names the request itself
// or another that makes room for it, and is that request's final answer.
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

// evict takes out the newest and least urgent request of the team with the largest backlog for its weight.
func (q *Queue) evict() Request {
	var most *teamQueue
	for _, tq := range q.teams {
		if len(tq.waiting) > 0 && (most == nil || tq.isLonger(most)) {
			most = tq
		}
	}
	return q.remove(most, len(most.waiting)-1)
}

func (t *teamQueue) isLonger(other *teamQueue) bool {
	mine, theirs := float64(t.backlog)/t.weight, float64(other.backlog)/other.weight
	return mine > theirs || mine == theirs && t.team > other.team
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

// Cancel takes out a request whose caller has gone; it returns false if the request isn't waiting.
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

// Next takes out the request to dispatch, and refuses those ahead of it that can't finish in time any more.
// It returns false if none is left.
func (q *Queue) Next(now time.Time) (Request, []Rejection, bool) {
	refusals := q.expire(now)
	tq := q.neediest(now)
	if tq == nil {
		return Request{}, refusals, false
	}
	r := q.remove(tq, 0)
	r.Boosted = len(tq.waiting) == 0 && q.length > 0
	q.usage.Add(r.Team, r.Cost, now)
	q.drain.add(r.Cost, now)
	return r, refusals, true
}

// Expire refuses the requests that can't finish in time any more; call it also while no server is free.
func (q *Queue) Expire(now time.Time) []Rejection { return q.expire(now) }

func (q *Queue) expire(now time.Time) []Rejection {
	var refusals []Rejection
	for _, team := range q.order() {
		tq := q.teams[team]
		for i := len(tq.waiting) - 1; i >= 0; i-- {
			if tq.waiting[i].canFinish(now) {
				continue
			}
			r := q.remove(tq, i)
			refusals = append(refusals, Rejection{ID: r.ID, Reason: api.ReasonDeadline, RetryAfter: q.retryAfter(0)})
		}
	}
	return refusals
}

func (q *Queue) order() []api.Team {
	teams := make([]api.Team, 0, len(q.teams))
	for team := range q.teams {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	return teams
}

// neediest returns the waiting team that used the least, for its weight.
func (q *Queue) neediest(now time.Time) *teamQueue {
	var least *teamQueue
	var leastUsage float64
	for _, tq := range q.teams {
		usage := q.usage.Of(tq.team, now) / tq.weight
		if least == nil || usage < leastUsage || usage == leastUsage && tq.team < least.team {
			least, leastUsage = tq, usage
		}
	}
	return least
}

// SetInFlight tells how many requests run. After an idle time they tell the capacity before the learnt one does.
func (q *Queue) SetInFlight(running int) { q.running = running }

// EstimateWait estimates how long a request of a team would wait: its team's own backlog of the same priority or higher
// at the team's share of the drain rate, which other teams that wait share with it.
func (q *Queue) EstimateWait(team api.Team, weight float64, priority api.Priority, now time.Time) time.Duration {
	rate := max(q.drain.rate(now), float64(q.running))
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

// Bounds of the time after which a refused caller is told to come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Second)
}

// drainRate learns how many slots the queue is worked off with.
type drainRate struct{ recent decayed }

func (d *drainRate) add(cost time.Duration, now time.Time) { d.recent.add(cost.Seconds(), now) }

// rate returns the drained cost for each second of time; 0 if nothing was drained yet.
func (d *drainRate) rate(now time.Time) float64 { return d.recent.at(now) / usageWindow.Seconds() }
