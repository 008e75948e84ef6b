package session

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Action is how a request of a session is handled.
type Action int

// Actions.
const (
	// ActionKeep runs the request only on the session's version.
	ActionKeep Action = iota
	// ActionReject rejects the request with the decision's reason; no version may run it.
	ActionReject
	// ActionRepin chooses a new version; the answer carries a new token and names the previous version in
	// api.HeaderRepinned.
	ActionRepin
)

// Decision is the decision about a request of a session.
type Decision struct {
	Action Action
	// Version is the version to which the session is pinned.
	Version api.VersionID
	// Reason is set for ActionReject and ActionRepin: api.ReasonWithdrawn or api.ReasonNotAllowed.
	Reason api.Reason
}

// States returns the state of a version for a scope; *fleet.Config implements it.
type States interface {
	StateOf(scope fleet.Scope, now time.Time) fleet.VersionState
}

// DecideOptions holds the inputs of Decide besides the token.
type DecideOptions struct {
	States States
	// Policy is the policy in force for the request.
	Policy        fleet.Policy
	Class         api.Class
	FailureDomain api.FailureDomain
	Now           time.Time
}

// Decide decides whether a session stays on its version. It stays unless the version is withdrawn or the team may not use
// it; a draining version keeps its sessions. Otherwise the request is rejected, or repinned if the team's policy allows
// it. Callers repeat Decide right before each dispatch with the newest configuration.
func Decide(c Claims, opts DecideOptions) Decision {
	reason, ok := rejectionReason(c, opts)
	if ok {
		return Decision{Action: ActionKeep, Version: c.Version}
	}
	action := ActionReject
	if opts.Policy.Repin {
		action = ActionRepin
	}
	return Decision{Action: action, Version: c.Version, Reason: reason}
}

func rejectionReason(c Claims, opts DecideOptions) (api.Reason, bool) {
	state := opts.States.StateOf(fleet.Scope{
		Team:          c.Team,
		Service:       c.Service,
		Class:         opts.Class,
		Version:       c.Version,
		FailureDomain: opts.FailureDomain,
	}, opts.Now)
	if state == fleet.StateWithdrawn {
		return api.ReasonWithdrawn, false
	}
	if !opts.Policy.IsAllowed(c.Version) {
		return api.ReasonNotAllowed, false
	}
	return "", true
}
