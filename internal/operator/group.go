package operator

import (
	"slices"
	"strings"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// impactGroup combines impacts that differ only in team and class. It represents each combination of its teams and classes.
type impactGroup struct {
	Impact
	Teams   []string
	Classes []string
}

// groupImpacts combines impacts, so that a change with the same effect on all calls takes one entry on the page. Groups whose calls would
// be rejected come first.
func groupImpacts(impacts []Impact) []impactGroup {
	byClass := groupBy(singleGroups(impacts), func(g impactGroup) Impact {
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

func singleGroups(impacts []Impact) []impactGroup {
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

// groupBy merges the teams and classes of groups with equal keys. The result is in the order in which the keys first occur.
func groupBy(groups []impactGroup, key func(impactGroup) Impact) []impactGroup {
	indexes := map[Impact]int{}
	var merged []impactGroup
	for _, group := range groups {
		i, ok := indexes[key(group)]
		if !ok {
			indexes[key(group)] = len(merged)
			merged = append(merged, group)
			continue
		}
		merged[i].Teams = appendMissing(merged[i].Teams, group.Teams)
		merged[i].Classes = appendMissing(merged[i].Classes, group.Classes)
	}
	return merged
}

func appendMissing(list, more []string) []string {
	for _, item := range more {
		if !slices.Contains(list, item) {
			list = append(list, item)
		}
	}
	return list
}
