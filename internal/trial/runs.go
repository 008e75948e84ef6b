package trial

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// ratingTimeout is the time after an answer in which its rating counts.
	ratingTimeout = 6 * time.Second
	// runTimeout is the time after its dispatch from which a request without a result is no longer tracked.
	runTimeout = 10 * time.Minute
	// reservationTimeout is the time within which a reservation of exposure must be followed by a dispatch.
	reservationTimeout = time.Minute
	// maxRuns bounds the number of tracked requests; further ones are not counted.
	maxRuns = 50_000
)

// runID identifies the run of a request on one version; in a cascade a request may run on two.
type runID struct {
	request api.RequestID
	version api.VersionID
}

// runState is the state of a run from its dispatch until its rating or ratingTimeout.
type runState struct {
	key suspect.Key
	// dispatchedAt is the time of the dispatch, endedAt that of the result; zero while the result is pending.
	dispatchedAt time.Time
	endedAt      time.Time
	// usesExposure means that the run counts against the exposure budget, where it must be completed.
	usesExposure bool
}

// Dispatched records that a request is sent to a server. A run on a candidate uses a reservation of exposure; without one,
// as for a pinned session, it is counted in the exposure budget now. It is completed there once its result and rating are available.
func (n *Node) Dispatched(request api.RequestID, key suspect.Key) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := runID{request: request, version: key.Version}
	if _, exists := n.runs[id]; exists || len(n.runs) >= maxRuns {
		return
	}
	usesExposure := n.isCandidate(key)
	if usesExposure && !n.consumeReservation(key.Service) {
		n.gates[key.Service].CountPinned()
	}
	n.runs[id] = &runState{key: key, dispatchedAt: time.Now(), usesExposure: usesExposure}
}

// consumeReservation removes the oldest reservation of a service. It returns false if there is none.
func (n *Node) consumeReservation(service api.Service) bool {
	reservations := n.reservations[service]
	if len(reservations) == 0 {
		return false
	}
	n.reservations[service] = reservations[1:]
	return true
}

// Answered counts the complete answer of a request, which took d. The run is completed by its rating or after ratingTimeout.
func (n *Node) Answered(request api.RequestID, version api.VersionID, d time.Duration) {
	n.recordResult(request, version, func(t *suspect.Tally) { t.Answer(d) })
}

// Failed counts a failure that the version may have caused. It must not be called for failures of servers that are full, leaving
// or don't have the version.
func (n *Node) Failed(request api.RequestID, version api.VersionID) {
	n.recordResult(request, version, (*suspect.Tally).Fail)
}

func (n *Node) recordResult(request api.RequestID, version api.VersionID, update func(*suspect.Tally)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	run, ok := n.runs[runID{request: request, version: version}]
	if !ok || !run.endedAt.IsZero() {
		return
	}
	run.endedAt = time.Now()
	n.updateTally(run.key, update)
}

// Discarded records that a run ended without evidence for or against its version, for instance because the caller disconnected.
func (n *Node) Discarded(request api.RequestID, version api.VersionID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := runID{request: request, version: version}
	if run, ok := n.runs[id]; ok && run.endedAt.IsZero() {
		n.completeRun(id, run)
	}
}

// Rated counts the rating of a request's answer. Ratings later than ratingTimeout are ignored.
func (n *Node) Rated(request api.RequestID, version api.VersionID, q api.Quality) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := runID{request: request, version: version}
	run, ok := n.runs[id]
	if !ok || run.endedAt.IsZero() {
		return
	}
	n.updateTally(run.key, func(t *suspect.Tally) { t.Rate(q) })
	n.completeRun(id, run)
}

// completeRun stops tracking a run and completes it in the exposure budget.
func (n *Node) completeRun(id runID, run *runState) {
	delete(n.runs, id)
	if run.usesExposure {
		n.completeExposure(run.key.Service)
	}
}

func (n *Node) completeExposure(service api.Service) {
	if gate, ok := n.gates[service]; ok {
		gate.Complete()
	}
}

// expireRuns completes runs whose rating or result is overdue, and reservations that were not followed by a dispatch in time.
func (n *Node) expireRuns(now time.Time) {
	for id, run := range n.runs {
		isRatingOverdue := !run.endedAt.IsZero() && now.Sub(run.endedAt) >= ratingTimeout
		if isRatingOverdue || now.Sub(run.dispatchedAt) >= runTimeout {
			n.completeRun(id, run)
		}
	}
	for service, reservations := range n.reservations {
		for len(reservations) > 0 && now.Sub(reservations[0]) >= reservationTimeout {
			reservations = reservations[1:]
			n.completeExposure(service)
		}
		n.reservations[service] = reservations
	}
}
