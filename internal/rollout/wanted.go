package rollout

import (
	"math"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
)

// CandidateState returns the state that the phase wants the configuration to give the candidate. Its share in the configuration
// is 0 throughout: what the candidate receives is granted to the nodes one by one, so that a node without a grant, such
// as one that just started, gives it nothing.
func (r RollOut) CandidateState() fleet.VersionState {
	switch r.Phase {
	case PhaseDone:
		return fleet.StateServing
	case PhaseAborting, PhaseAborted:
		return fleet.StateWithdrawn
	default:
		return fleet.StateCandidate
	}
}

// Share returns the part of the new requests that the phase gives the candidate.
func (r RollOut) Share() float64 {
	switch r.Phase {
	case PhaseGrowing:
		return r.Plan.Steps[r.Step].Share
	case PhaseDone:
		return 1
	default:
		return 0
	}
}

// ServersToLoad returns how many servers should hold the candidate; the next step's are loaded ahead.
func (r RollOut) ServersToLoad(servers int) int {
	switch r.Phase {
	case PhaseLoading:
		return ServersNeeded(r.Plan.Steps[0].Share, servers)
	case PhaseGrowing:
		return ServersNeeded(r.Plan.Steps[min(r.Step+1, len(r.Plan.Steps)-1)].Share, servers)
	case PhasePaused:
		return ServersNeeded(r.Plan.Steps[r.Step].Share, servers)
	case PhaseDone:
		return servers
	default:
		return 0
	}
}

// Exposure is how the candidate may be used at present.
type Exposure struct {
	Share float64
	// Window is the number of results that may be unknown at any time, over all nodes.
	Window int
	// CopiesOnly tells that the candidate sees copies alone.
	CopiesOnly bool
}

// Exposure returns how the candidate may be used, given what is found against it. On a warning callers' requests are
// kept from it: copies of answered requests decide whether the warning was right, or a few requests at a time where
// the nodes can't send copies.
func (r RollOut) Exposure(findings []suspect.Finding, canCopy bool) Exposure {
	if r.Phase != PhaseGrowing || r.Applied == 0 {
		return Exposure{}
	}
	step := r.Plan.Steps[r.Step]
	allowed := Exposure{Share: step.Share, Window: step.Window}
	for _, found := range findings {
		if found.Stop {
			return Exposure{}
		}
		if found.Evidence.Total >= warnNats {
			allowed.CopiesOnly = canCopy
		}
		if found.Evidence.Total >= warnNats && !canCopy {
			allowed.Window = min(allowed.Window, warnedWindow)
		}
	}
	return allowed
}

// ServersNeeded returns how many of a number of servers carry a share with headroom, at least 1.
func ServersNeeded(share float64, servers int) int {
	return max(1, min(servers, int(math.Ceil(share*headroom*float64(servers)))))
}
