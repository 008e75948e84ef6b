package operator

import (
	"slices"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxImpacts is the maximum number of impacts returned by Impacts.
const maxImpacts = 500

// Impact describes the effect of a change on a team's calls of one class of a service.
type Impact struct {
	Team    api.Team
	Service api.Service
	// Class is empty for a plain service.
	Class         api.Class
	FailureDomain api.FailureDomain
	// Before and After list the settings that differ, with their values before and after the change.
	Before string
	After  string
	// Refused reports whether the change leaves no version or service for the calls, so that they are rejected.
	Refused bool
}

// Impacts returns the effects of changing the configuration from state to next, at most maxImpacts of them; more is the number of
// further ones.
func Impacts(state *fleet.State, next *fleet.Config, now time.Time) (impacts []Impact, more int) {
	affected := fleet.MakePlan(state, next, now).Touches
	more = max(0, len(affected)-maxImpacts)
	for _, calls := range affected[:len(affected)-more] {
		scope := fleet.Scope{Team: calls.Team, Service: calls.Service, Class: calls.Class, FailureDomain: calls.FailureDomain}
		impact := Impact{
			Team: calls.Team, Service: calls.Service, Class: calls.Class, FailureDomain: calls.FailureDomain,
			Refused: isRefused(next, scope, now) && !isRefused(state.Config, scope, now),
		}
		var before, after []string
		for _, effect := range calls.Effects {
			before = append(before, effect.Path+": "+orUnset(effect.From))
			after = append(after, effect.Path+": "+orUnset(effect.To))
		}
		impact.Before, impact.After = strings.Join(before, "; "), strings.Join(after, "; ")
		impacts = append(impacts, impact)
	}
	return impacts, more
}

func orUnset(value string) string {
	if value == "" {
		return "unset"
	}
	return value
}

// isRefused reports whether calls of the scope are rejected: the scope is invalid, the team may not call the service, or no version of
// the service may answer.
func isRefused(config *fleet.Config, scope fleet.Scope, now time.Time) bool {
	explained, err := config.Explain(scope, now)
	if err != nil || !explained.ServiceAllowed {
		return true
	}
	isAvailable := func(v fleet.VersionStatus) bool { return v.Allowed && v.State != fleet.StateWithdrawn }
	return len(explained.Versions) > 0 && !slices.ContainsFunc(explained.Versions, isAvailable)
}
