package trial

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// ratingWait is how long after an answer its rating counts.
	ratingWait = 6 * time.Second
	// runTimeout is how long a request that never ends is waited for.
	runTimeout = 10 * time.Minute
	// takeTimeout is how long after it was taken out of the budget a request must have been handed to a server.
	takeTimeout = time.Minute
	// maxRuns bounds the requests that are followed; those of further ones are counted without their ratings.
	maxRuns = 50_000
)

// runID names one version's run of a request: a cascade may have two.
type runID struct {
	request api.RequestID
	version api.VersionID
}

// runState is a run from its dispatch to the end of the time for its rating.
type runState struct {
	key suspect.Key
	// began is when the run was dispatched, ended when its result was there; zero until then.
	began time.Time
	ended time.Time
	// isTaken tells that the run is to be settled.
	isTaken bool
}

// Dispatched tells that a request is handed to a server. A run on a candidate that was taken out of the budget is bound
// to the request here, and settled once its result is known in full; one of a pinned session is charged to the budget first.
func (n *Node) Dispatched(request api.RequestID, key suspect.Key) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := runID{request: request, version: key.Version}
	if _, known := n.runs[id]; known || len(n.runs) >= maxRuns {
		return
	}
	isTaken := n.isCandidate(key)
	if isTaken && !n.untake(key.Service) {
		n.gates[key.Service].CountPinned()
	}
	n.runs[id] = &runState{key: key, began: time.Now(), isTaken: isTaken}
}

// untake removes the oldest request that was taken out of the budget and not handed to a server yet.
func (n *Node) untake(service api.Service) bool {
	waiting := n.taken[service]
	if len(waiting) == 0 {
		return false
	}
	n.taken[service] = waiting[1:]
	return true
}

// Answered counts the whole answer of a request, which took d. The run is settled with its rating, or after the time
// for ratings.
func (n *Node) Answered(request api.RequestID, version api.VersionID, d time.Duration) {
	n.end(request, version, func(t *suspect.Tally) { t.Answer(d) })
}

// Failed counts a failure that the version may be to blame for, which is not that of a server that is full, leaving or
// without the version.
func (n *Node) Failed(request api.RequestID, version api.VersionID) {
	n.end(request, version, (*suspect.Tally).Fail)
}

func (n *Node) end(request api.RequestID, version api.VersionID, add func(*suspect.Tally)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	run, ok := n.runs[runID{request: request, version: version}]
	if !ok || !run.ended.IsZero() {
		return
	}
	run.ended = time.Now()
	n.count(run.key, add)
}

// Dropped tells that a run ended in a way that says nothing about its version, such as its caller's leaving.
func (n *Node) Dropped(request api.RequestID, version api.VersionID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := runID{request: request, version: version}
	if run, ok := n.runs[id]; ok && run.ended.IsZero() {
		n.forget(id, run)
	}
}

// Rated counts the rating of a request's answer; one that comes too late is not counted.
func (n *Node) Rated(request api.RequestID, version api.VersionID, q api.Quality) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := runID{request: request, version: version}
	run, ok := n.runs[id]
	if !ok || run.ended.IsZero() {
		return
	}
	n.count(run.key, func(t *suspect.Tally) { t.Rate(q) })
	n.forget(id, run)
}

// forget ends the following of a run.
func (n *Node) forget(id runID, run *runState) {
	delete(n.runs, id)
	if run.isTaken {
		n.settle(run.key.Service)
	}
}

func (n *Node) settle(service api.Service) {
	if gate, ok := n.gates[service]; ok {
		gate.Complete()
	}
}

// sweep settles runs past the time for their rating, and requests that were taken and never handed to a server.
func (n *Node) sweep(now time.Time) {
	for id, run := range n.runs {
		isOver := !run.ended.IsZero() && now.Sub(run.ended) >= ratingWait
		if isOver || now.Sub(run.began) >= runTimeout {
			n.forget(id, run)
		}
	}
	for service, waiting := range n.taken {
		for len(waiting) > 0 && now.Sub(waiting[0]) >= takeTimeout {
			waiting = waiting[1:]
			n.settle(service)
		}
		n.taken[service] = waiting
	}
}
