package rollout

import (
	"math"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
)

// CandidateState returns the candidate's state in the configuration that the phase requires. The candidate's share in the configuration
// is always 0: its requests are granted to each node, so that a node without a grant, such as one that has just started, sends it none.
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

// Share returns the share of the new requests that the phase gives the candidate.
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

// ServersToLoad returns how many of a number of servers should have the candidate loaded; while the share grows, those for the next step
// are loaded ahead.
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

// Exposure bounds how the candidate is currently used, over all nodes. The zero value keeps all requests from it.
type Exposure struct {
	// Share is the share of the new requests that the candidate receives.
	Share float64
	// Window bounds the requests to the candidate whose result is not yet known, over all nodes.
	Window int
	// CopiesOnly is set if the candidate receives only copies of requests that the control has answered.
	CopiesOnly bool
}

// Exposure returns the candidate's exposure, given the findings. From warnNats on callers' requests are kept from the candidate, and
// copies of answered requests show whether the warning is right; if the nodes can't send copies, a small window of callers' requests
// does.
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

// ServersNeeded returns how many of a number of servers are needed to serve a share of the requests with headroom, at least 1.
func ServersNeeded(share float64, servers int) int {
	return max(1, min(servers, int(math.Ceil(share*headroom*float64(servers)))))
}
