package session

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Action is what happens to a request of a session.
type Action int

// Actions.
const (
	// ActionKeep runs the request on the session's version and no other.
	ActionKeep Action = iota
	// ActionReject refuses the request with the verdict's reason; no version may run it.
	ActionReject
	// ActionRepin chooses a version anew; the answer carries a new token and names the version left in
	// api.HeaderRepinned.
	ActionRepin
)

// Decision is the decision about a request of a session.
type Decision struct {
	Action Action
	// Version is what the session is pinned to.
	Version api.VersionID
	// Reason is set for ActionRefuse and ActionRepin: ReasonWithdrawn or ReasonNotAllowed.
	Reason api.Reason
}

// States tells the state of a version for a scope; *fleet.Config is one.
type States interface {
	StateOf(scope fleet.Scope, now time.Time) fleet.VersionState
}

// DecideOptions names what Decide looks at besides the token.
type DecideOptions struct {
	States States
	// Policy is the one in force for the request.
	Policy        fleet.Policy
	Class         api.Class
	FailureDomain api.FailureDomain
	Now           time.Time
}

// Decide tells whether a session stays on its version. It does so as long as the version takes any work and the
// team may use it, also while the version drains; else the request is refused, unless the team's policy lets its
// sessions move. It is asked again right before each dispatch, on the newest configuration.
func Decide(c Claims, opts DecideOptions) Decision {
	reason, ok := obstacle(c, opts)
	if ok {
		return Decision{Action: ActionKeep, Version: c.Version}
	}
	action := ActionReject
	if opts.Policy.Repin {
		action = ActionRepin
	}
	return Decision{Action: action, Version: c.Version, Reason: reason}
}

func obstacle(c Claims, opts DecideOptions) (api.Reason, bool) {
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
