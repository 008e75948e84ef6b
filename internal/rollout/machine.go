package rollout

import (
	"fmt"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Phase is a roll-out's place between its start and its end.
type Phase string

// Phases.
const (
	// PhaseLoading loads the candidate onto the servers of the first step.
	PhaseLoading Phase = "Loading"
	// PhaseGrowing gives the candidate the share of the present step.
	PhaseGrowing Phase = "Growing"
	// PhasePaused gives the candidate no new requests; its sessions stay.
	PhasePaused Phase = "Paused"
	// PhaseAborting withdraws the candidate and unloads it.
	PhaseAborting Phase = "Aborting"
	// PhaseAborted is the end of a roll-out that failed or was given up.
	PhaseAborted Phase = "Aborted"
	// PhaseDone is the end of a roll-out that succeeded: the candidate serves.
	PhaseDone Phase = "Done"
)

// IsFinal reports whether the roll-out has ended.
func (p Phase) IsFinal() bool { return p == PhaseAborted || p == PhaseDone }

// RollOut is the persisted state of a roll-out.
type RollOut struct {
	Plan  Plan
	Phase Phase
	// Step is the index of the present step within the plan.
	Step int
	// Resume is the phase that a paused roll-out returns to.
	Resume Phase `json:",omitempty"`
	// Since is when the phase and step began.
	Since time.Time
	// Reason says why the roll-out is in its phase.
	Reason string
	// By is who moved it there.
	By string
	// Transition counts transitions; with the plan's id it names the change that the transition brings about.
	Transition int64
	// Writer is a random id of the write, by which a writer knows its own after a lost answer.
	Writer string
	// Applied is the revision in which the transition's change was accepted; 0 until then.
	Applied api.Revision
	// Settled is the number of results on the candidate when the step began.
	Settled uint64
}

const (
	// clearNats is the evidence needed that a candidate is not clearly bad before its share grows.
	clearNats = 4.6
	// warnNats is the evidence against a candidate from which on its share does not grow and callers are kept from it.
	warnNats = 2.5
	// warnedWindow is the window while there is a warning and copies can't be sent.
	warnedWindow = 2
	// headroom is the capacity loaded above a step's share.
	headroom = 1.25
	// author is who moves roll-outs without a command.
	author = "rollout"
)

// PoolCounts counts the servers of the service that are of use to the roll-out.
type PoolCounts struct {
	// Servers counts those that are live and not leaving.
	Servers int
	// Loaded counts those that hold the candidate.
	Loaded int
	// Failed counts those that failed to load it.
	Failed int
}

// Snapshot is what the machine looks at.
type Snapshot struct {
	Now    time.Time
	Config *fleet.Config
	Pool   PoolCounts
	// Findings holds the candidate's findings, one a class.
	Findings []suspect.Finding
	// Results is the number of results on the candidate over all nodes, those of its sessions' later requests too.
	Results uint64
	// AwaitsRatings tells that the service's answers are rated.
	AwaitsRatings bool
}

// resultsOf counts the results on a candidate. The budget's settled requests are new sessions and requests without one;
// the later requests of the candidate's sessions are in the findings alone.
func resultsOf(findings []suspect.Finding, settled uint64) uint64 {
	var counted uint64
	for _, found := range findings {
		counted += found.Version.Requests
	}
	return max(counted, settled)
}

// Next returns the roll-out after the transition that is due, or false if none is.
func Next(r RollOut, snap Snapshot) (RollOut, bool) {
	if r.Phase.IsFinal() {
		return r, false
	}
	if r.Phase != PhaseAborting {
		if reason, isBad := stopReason(r, snap); isBad {
			return r.moveTo(PhaseAborting, reason, author, snap), true
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

// stopReason tells whether the candidate is bad, or an operator has withdrawn it.
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
	if reason, ran := r.ranOut(need, snap); ran {
		return r.moveTo(PhasePaused, reason, author, snap), true
	}
	if r.Applied == 0 || snap.Pool.Loaded < need {
		return r.pauseIfImpatient(fmt.Sprintf("%d of %d servers loaded", snap.Pool.Loaded, need), snap)
	}
	return r.moveTo(PhaseGrowing, fmt.Sprintf("%d servers loaded", snap.Pool.Loaded), author, snap), true
}

func (r RollOut) nextGrowing(snap Snapshot) (RollOut, bool) {
	step := r.Plan.Steps[r.Step]
	need := ServersNeeded(step.Share, snap.Pool.Servers)
	if reason, ran := r.ranOut(need, snap); ran {
		return r.moveTo(PhasePaused, reason, author, snap), true
	}
	if reason, changed := r.changedByOther(snap); changed {
		return r.moveTo(PhasePaused, reason, author, snap), true
	}
	if obstacle, isReady := r.obstacle(step, snap); !isReady {
		return r.pauseIfImpatient(obstacle, snap)
	}
	if r.Step == len(r.Plan.Steps)-1 {
		return r.moveTo(PhaseDone, "every step passed", author, snap), true
	}
	next := r.moveTo(PhaseGrowing, fmt.Sprintf("step %d passed with %d results", r.Step+1, snap.Results-min(r.Settled, snap.Results)), author, snap)
	next.Step++
	return next, true
}

func (r RollOut) nextAborting(snap Snapshot) (RollOut, bool) {
	if r.Applied == 0 || snap.Pool.Loaded > 0 {
		return r, false
	}
	return r.moveTo(PhaseAborted, r.Reason, author, snap), true
}

// obstacle says what the step still lacks.
func (r RollOut) obstacle(step Step, snap Snapshot) (string, bool) {
	results := snap.Results - min(r.Settled, snap.Results)
	var clear suspect.HealthEvidence
	for _, found := range snap.Findings {
		if found.Evidence.Total >= warnNats {
			return fmt.Sprintf("class %q has evidence of %.1f nats against the version", found.Key.Class, found.Evidence.Total), false
		}
		c := suspect.HealthEvidenceOf(found.Control, found.Version)
		clear.Errors += c.Errors
		clear.Ratings += c.Ratings
	}
	switch {
	case r.Applied == 0:
		return "the phase is not accepted yet", false
	case snap.Now.Sub(r.Since) < step.Dwell:
		return fmt.Sprintf("the step lasts at least %s", step.Dwell), false
	case results < step.Requests:
		return fmt.Sprintf("%d of %d results", results, step.Requests), false
	case clear.Errors < clearNats:
		return fmt.Sprintf("%.1f of %.1f nats against many errors", clear.Errors, clearNats), false
	case snap.AwaitsRatings && clear.Ratings < clearNats:
		return fmt.Sprintf("%.1f of %.1f nats against low ratings", clear.Ratings, clearNats), false
	}
	if r.Step+1 < len(r.Plan.Steps) {
		need := ServersNeeded(r.Plan.Steps[r.Step+1].Share, snap.Pool.Servers)
		if snap.Pool.Loaded < need {
			return fmt.Sprintf("%d of %d servers loaded for the next step", snap.Pool.Loaded, need), false
		}
	}
	return "", true
}

// ranOut tells whether too few servers are left for a step.
func (r RollOut) ranOut(need int, snap Snapshot) (string, bool) {
	// A node that has not heard of any server yet knows nothing about the pool.
	if snap.Pool.Servers == 0 || snap.Pool.Servers-snap.Pool.Failed >= need {
		return "", false
	}
	return fmt.Sprintf("the pool ran out: %d servers, %d failed to load, %d needed", snap.Pool.Servers, snap.Pool.Failed, need), true
}

// changedByOther tells whether an accepted change by someone else set the version's state or share; it stays.
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

func (r RollOut) pauseIfImpatient(obstacle string, snap Snapshot) (RollOut, bool) {
	if snap.Now.Sub(r.Since) < r.Plan.Patience {
		return r, false
	}
	return r.moveTo(PhasePaused, fmt.Sprintf("no progress for %s: %s", r.Plan.Patience, obstacle), author, snap), true
}

// moveTo returns the roll-out in another phase, as a new transition whose change is not accepted yet.
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
