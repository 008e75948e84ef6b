package operator

import (
	"slices"
	"strings"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// impactGroup holds impacts that are alike but for team and class; each of its teams has each of its classes.
type impactGroup struct {
	Impact
	Teams   []string
	Classes []string
}

// groupImpacts puts impacts together, so that a change which touches all alike takes one entry on the page. Groups that
// refuse calls come first.
func groupImpacts(impacts []Impact) []impactGroup {
	byClass := groupBy(singles(impacts), func(g impactGroup) Impact {
		g.Team = ""
		return g.Impact
	})
	grouped := groupBy(byClass, func(g impactGroup) Impact {
		g.Class = ""
		g.Team = api.Team(strings.Join(g.Teams, "\x00"))
		return g.Impact
	})
	slices.SortStableFunc(grouped, func(a, b impactGroup) int {
		switch {
		case a.Refused == b.Refused:
			return 0
		case a.Refused:
			return -1
		default:
			return 1
		}
	})
	return grouped
}

func singles(impacts []Impact) []impactGroup {
	groups := make([]impactGroup, 0, len(impacts))
	for _, impact := range impacts {
		group := impactGroup{Impact: impact, Teams: []string{string(impact.Team)}}
		if impact.Class != "" {
			group.Classes = []string{string(impact.Class)}
		}
		groups = append(groups, group)
	}
	return groups
}

// groupBy merges the teams and classes of groups with the same key, in the order of their first ones.
func groupBy(groups []impactGroup, key func(impactGroup) Impact) []impactGroup {
	at := map[Impact]int{}
	var merged []impactGroup
	for _, group := range groups {
		i, ok := at[key(group)]
		if !ok {
			at[key(group)] = len(merged)
			merged = append(merged, group)
			continue
		}
		merged[i].Teams = appendNew(merged[i].Teams, group.Teams)
		merged[i].Classes = appendNew(merged[i].Classes, group.Classes)
	}
	return merged
}

func appendNew(list, more []string) []string {
	for _, item := range more {
		if !slices.Contains(list, item) {
			list = append(list, item)
		}
	}
	return list
}
