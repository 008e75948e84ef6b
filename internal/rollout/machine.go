package rollout

import (
	"fmt"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Phase is the phase of a roll-out.
type Phase string

// Phases.
const (
	// PhaseLoading loads the candidate onto the servers of the first step.
	PhaseLoading Phase = "Loading"
	// PhaseGrowing gives the candidate the share of the current step.
	PhaseGrowing Phase = "Growing"
	// PhasePaused gives the candidate no new requests; its sessions stay.
	PhasePaused Phase = "Paused"
	// PhaseAborting withdraws the candidate and unloads it.
	PhaseAborting Phase = "Aborting"
	// PhaseAborted is the end of a roll-out that failed or that an operator aborted.
	PhaseAborted Phase = "Aborted"
	// PhaseDone is the end of a roll-out that succeeded: the candidate is in state Serving.
	PhaseDone Phase = "Done"
)

// IsFinal reports whether the roll-out has ended.
func (p Phase) IsFinal() bool { return p == PhaseAborted || p == PhaseDone }

// RollOut is the persisted state of a roll-out.
type RollOut struct {
	Plan  Plan
	Phase Phase
	// Step is the index of the current step within the plan.
	Step int
	// Resume is the phase that a paused roll-out returns to.
	Resume Phase `json:",omitempty"`
	// Since is when the phase and step began.
	Since time.Time
	// Reason is why the roll-out is in its phase.
	Reason string
	// By is who made the last transition: an operator's name or automaticAuthor.
	By string
	// Transition counts transitions; with the plan's id it forms the id of the transition's configuration change.
	Transition int64
	// Writer is a random id of the write, by which a writer recognises its own write after a lost answer.
	Writer string
	// Applied is the revision in which the transition's configuration change was accepted; 0 until then.
	Applied api.Revision
	// Settled is the number of results on the candidate when the step began.
	Settled uint64
}

const (
	// clearNats is the evidence that a candidate is not clearly unhealthy, in nats, that is required before its share grows.
	clearNats = 4.6
	// warnNats is the evidence against a candidate, in nats, from which on its share does not grow and its exposure is reduced.
	warnNats = 2.5
	// warnedWindow bounds the window while the evidence is above warnNats and copies can't be sent.
	warnedWindow = 2
	// headroom is the ratio of the loaded capacity to a step's share.
	headroom = 1.25
	// automaticAuthor is the author of transitions that no operator commanded.
	automaticAuthor = "rollout"
)

// PoolCounts holds the numbers of the service's servers, leaving ones excluded.
type PoolCounts struct {
	// Servers counts those that are live and not leaving.
	Servers int
	// Loaded counts those that have loaded the candidate.
	Loaded int
	// Failed counts those that failed to load it, within the last loadRetryDelay.
	Failed int
}

// Snapshot is the input of Next: the state of the system at one time.
type Snapshot struct {
	Now    time.Time
	Config *fleet.Config
	Pool   PoolCounts
	// Findings holds the evidence on the candidate, one finding for each class.
	Findings []suspect.Finding
	// Results is the number of results on the candidate over all nodes, including later requests of its sessions.
	Results uint64
	// AwaitsRatings is set if the service's answers are rated.
	AwaitsRatings bool
}

// countResults returns the number of results on a candidate. The completed requests of the exposure budget are first requests of
// sessions and requests without a session; later requests of the candidate's sessions are counted in the findings only.
func countResults(findings []suspect.Finding, completed uint64) uint64 {
	var counted uint64
	for _, found := range findings {
		counted += found.Version.Requests
	}
	return max(counted, completed)
}

// Next returns the roll-out after the transition that is due; false if none is.
func Next(r RollOut, snap Snapshot) (RollOut, bool) {
	if r.Phase.IsFinal() {
		return r, false
	}
	if r.Phase != PhaseAborting {
		if reason, isBad := stopReason(r, snap); isBad {
			return r.moveTo(PhaseAborting, reason, automaticAuthor, snap), true
		}
	}
	switch r.Phase {
	case PhaseLoading:
		return r.nextLoading(snap)
	case PhaseGrowing:
		return r.nextGrowing(snap)
	case PhaseAborting:
		return r.nextAborting(snap)
	default:
		return r, false
	}
}

// stopReason returns why the roll-out must be aborted; false if it need not be. It must be aborted if the candidate is unhealthy or was
// withdrawn by an operator.
func stopReason(r RollOut, snap Snapshot) (string, bool) {
	for _, found := range snap.Findings {
		if found.Stop {
			return found.Reason(), true
		}
	}
	scope := fleet.Scope{Service: r.Plan.Service, Version: r.Plan.Version}
	if r.Applied > 0 && snap.Config.Revision >= r.Applied && snap.Config.StateOf(scope, snap.Now) == fleet.StateWithdrawn {
		return "the version was withdrawn", true
	}
	return "", false
}

func (r RollOut) nextLoading(snap Snapshot) (RollOut, bool) {
	need := ServersNeeded(r.Plan.Steps[0].Share, snap.Pool.Servers)
	if reason, isExhausted := r.poolExhausted(need, snap); isExhausted {
		return r.moveTo(PhasePaused, reason, automaticAuthor, snap), true
	}
	if r.Applied == 0 || snap.Pool.Loaded < need {
		return r.pauseIfStalled(fmt.Sprintf("%d of %d servers loaded", snap.Pool.Loaded, need), snap)
	}
	return r.moveTo(PhaseGrowing, fmt.Sprintf("%d servers loaded", snap.Pool.Loaded), automaticAuthor, snap), true
}

func (r RollOut) nextGrowing(snap Snapshot) (RollOut, bool) {
	step := r.Plan.Steps[r.Step]
	need := ServersNeeded(step.Share, snap.Pool.Servers)
	if reason, isExhausted := r.poolExhausted(need, snap); isExhausted {
		return r.moveTo(PhasePaused, reason, automaticAuthor, snap), true
	}
	if reason, changed := r.changedByOther(snap); changed {
		return r.moveTo(PhasePaused, reason, automaticAuthor, snap), true
	}
	if obstacle, isReady := r.obstacle(step, snap); !isReady {
		return r.pauseIfStalled(obstacle, snap)
	}
	if r.Step == len(r.Plan.Steps)-1 {
		return r.moveTo(PhaseDone, "every step passed", automaticAuthor, snap), true
	}
	next := r.moveTo(PhaseGrowing, fmt.Sprintf("step %d passed with %d results", r.Step+1, snap.Results-min(r.Settled, snap.Results)),
		automaticAuthor, snap)
	next.Step++
	return next, true
}

func (r RollOut) nextAborting(snap Snapshot) (RollOut, bool) {
	if r.Applied == 0 || snap.Pool.Loaded > 0 {
		return r, false
	}
	return r.moveTo(PhaseAborted, r.Reason, automaticAuthor, snap), true
}

// obstacle returns what keeps the roll-out from the next step, and whether nothing does.
func (r RollOut) obstacle(step Step, snap Snapshot) (string, bool) {
	results := snap.Results - min(r.Settled, snap.Results)
	var clearance suspect.HealthEvidence
	for _, found := range snap.Findings {
		if found.Evidence.Total >= warnNats {
			return fmt.Sprintf("class %q has evidence of %.1f nats against the version", found.Key.Class, found.Evidence.Total), false
		}
		c := suspect.HealthEvidenceOf(found.Control, found.Version)
		clearance.Errors += c.Errors
		clearance.Ratings += c.Ratings
	}
	switch {
	case r.Applied == 0:
		return "the phase is not accepted yet", false
	case snap.Now.Sub(r.Since) < step.Dwell:
		return fmt.Sprintf("the step lasts at least %s", step.Dwell), false
	case results < step.Requests:
		return fmt.Sprintf("%d of %d results", results, step.Requests), false
	case clearance.Errors < clearNats:
		return fmt.Sprintf("%.1f of %.1f nats against many errors", clearance.Errors, clearNats), false
	case snap.AwaitsRatings && clearance.Ratings < clearNats:
		return fmt.Sprintf("%.1f of %.1f nats against low ratings", clearance.Ratings, clearNats), false
	}
	if r.Step+1 < len(r.Plan.Steps) {
		need := ServersNeeded(r.Plan.Steps[r.Step+1].Share, snap.Pool.Servers)
		if snap.Pool.Loaded < need {
			return fmt.Sprintf("%d of %d servers loaded for the next step", snap.Pool.Loaded, need), false
		}
	}
	return "", true
}

// poolExhausted reports whether too few servers can load the candidate for a step, with a text for the reason of a pause.
func (r RollOut) poolExhausted(need int, snap Snapshot) (string, bool) {
	// A node that has just started may not have received the list of servers yet.
	if snap.Pool.Servers == 0 || snap.Pool.Servers-snap.Pool.Failed >= need {
		return "", false
	}
	return fmt.Sprintf("the pool ran out: %d servers, %d failed to load, %d needed", snap.Pool.Servers, snap.Pool.Failed, need), true
}

// changedByOther reports whether someone else's accepted change set the version's state or share, with a text for the reason of a pause.
// The roll-out does not undo such a change.
func (r RollOut) changedByOther(snap Snapshot) (string, bool) {
	if r.Applied == 0 || snap.Config.Revision < r.Applied {
		return "", false
	}
	service, ok := snap.Config.FindService(r.Plan.Service)
	if !ok {
		return "the service left the configuration", true
	}
	version, ok := service.FindVersion(r.Plan.Version)
	if !ok {
		return "the version left the configuration", true
	}
	if version.State != r.CandidateState() || version.Share != 0 {
		return fmt.Sprintf("an operator set the version to %s with share %g", version.State, version.Share), true
	}
	return "", false
}

func (r RollOut) pauseIfStalled(obstacle string, snap Snapshot) (RollOut, bool) {
	if snap.Now.Sub(r.Since) < r.Plan.Patience {
		return r, false
	}
	return r.moveTo(PhasePaused, fmt.Sprintf("no progress for %s: %s", r.Plan.Patience, obstacle), automaticAuthor, snap), true
}

// moveTo returns the roll-out in another phase, as a new transition whose configuration change is not accepted yet.
func (r RollOut) moveTo(phase Phase, reason, by string, snap Snapshot) RollOut {
	if phase == PhasePaused {
		r.Resume = r.Phase
	}
	r.Phase, r.Reason, r.By = phase, reason, by
	r.Since = snap.Now
	r.Settled = snap.Results
	r.Transition++
	r.Applied = 0
	return r
}
