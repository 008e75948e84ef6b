package operator

import (
	"slices"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxImpacts bounds the impacts that are listed.
const maxImpacts = 500

// Impact is one team's calls of one class whose treatment a change alters.
type Impact struct {
	Team    api.Team
	Service api.Service
	// Class is empty for a plain service.
	Class         api.Class
	FailureDomain api.FailureDomain
	// Before and After name what differs.
	Before string
	After  string
	// Refused tells that the change leaves no version or service for the calls.
	Refused bool
}

// Impacts returns whom a change from a state to a configuration touches. More counts those beyond maxImpacts.
func Impacts(state *fleet.State, next *fleet.Config, now time.Time) (impacts []Impact, more int) {
	touches := fleet.MakePlan(state, next, now).Touches
	more = max(0, len(touches)-maxImpacts)
	for _, touch := range touches[:len(touches)-more] {
		scope := fleet.Scope{Team: touch.Team, Service: touch.Service, Class: touch.Class, FailureDomain: touch.FailureDomain}
		impact := Impact{
			Team: touch.Team, Service: touch.Service, Class: touch.Class, FailureDomain: touch.FailureDomain,
			Refused: isRefused(next, scope, now) && !isRefused(state.Config, scope, now),
		}
		var before, after []string
		for _, effect := range touch.Effects {
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

// isRefused reports whether nothing may answer a scope's calls.
func isRefused(config *fleet.Config, scope fleet.Scope, now time.Time) bool {
	explained, err := config.Explain(scope, now)
	if err != nil || !explained.ServiceAllowed {
		return true
	}
	takesWork := func(v fleet.VersionStatus) bool { return v.Allowed && v.State != fleet.StateWithdrawn }
	return len(explained.Versions) > 0 && !slices.ContainsFunc(explained.Versions, takesWork)
}
