package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// Change is what becomes of one route, service, team, of the list of teams or of the limits.
type Change struct {
	// Path names the entry as in a Finding.
	Path   string
	Action fleet.Action
	// Fields lists what changes, in the order of the entry's fields.
	Fields []fleet.FieldChange
}

// entry is the text of an entry's settings, in the order in which they are shown.
type entry struct {
	path   string
	fields []fleet.FieldChange
}

func (e *entry) set(field, value string) {
	e.fields = append(e.fields, fleet.FieldChange{Path: field, To: value})
}

// Compare returns what differs between two configurations, ordered by path. Keys are never shown, only how many there are.
func Compare(before, after route.Config) []Change {
	var changes []Change
	old := make(map[string]entry)
	for _, e := range entries(before) {
		old[e.path] = e
	}
	for _, e := range entries(after) {
		was, isKnown := old[e.path]
		delete(old, e.path)
		change := Change{Path: e.path, Action: fleet.ActionAdd, Fields: e.fields}
		if isKnown {
			change.Action, change.Fields = fleet.ActionChange, nil
			for i, field := range e.fields {
				if from := was.fields[i].To; from != field.To {
					change.Fields = append(change.Fields, fleet.FieldChange{Path: field.Path, From: from, To: field.To})
				}
			}
		}
		if keys := changedKeys(e.path, before, after); keys != "" {
			change.Fields = append(change.Fields, fleet.FieldChange{Path: "Keys", To: keys})
		}
		if len(change.Fields) > 0 {
			changes = append(changes, change)
		}
	}
	for path := range old {
		changes = append(changes, Change{Path: path, Action: fleet.ActionRemove})
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return changes
}

// entries returns the entries of a configuration; entries of a kind have the same fields.
func entries(cfg route.Config) []entry {
	var all []entry
	for _, r := range cfg.Routes {
		e := entry{path: fmt.Sprintf("Routes[%s]", r.Name)}
		e.set("Host", r.Host)
		e.set("Prefix", r.Prefix)
		e.set("Kind", r.Kind.String())
		e.set("Targets", join(r.Targets, func(t route.Target) string { return fmt.Sprintf("%s %g", t.Service, t.Weight) }))
		e.set("Models", join(r.Models, func(m route.Model) string { return string(m) }))
		e.set("MaxAttempts", strconv.Itoa(r.MaxAttempts))
		e.set("Timeout", textOf(r.Timeout))
		e.set("TargetLatency", textOf(r.TargetLatency))
		e.set("MaxPause", textOf(r.MaxPause))
		e.set("Priority", strconv.Itoa(r.Priority))
		e.set("IsPublic", strconv.FormatBool(r.IsPublic))
		e.set("IsResumable", strconv.FormatBool(r.IsResumable))
		e.set("Regions", regionsOf(r.Regions))
		all = append(all, e)
	}
	for _, s := range cfg.Services {
		e := entry{path: fmt.Sprintf("Services[%s]", s.Name)}
		e.set("HealthPath", s.HealthPath)
		e.set("MaxConnections", countOf(s.MaxConnections))
		e.set("WarmUp.Duration", textOf(s.WarmUp.Duration))
		e.set("WarmUp.RequestsPerSecond", rateOf(s.WarmUp.RequestsPerSecond))
		engine := route.Engine{}
		if s.Engine != nil {
			engine = *s.Engine
		}
		e.set("Engine.Slots", countOf(engine.Slots))
		e.set("Engine.CacheTokens", countOf(engine.CacheTokens))
		e.set("Engine.MaxPin", textOf(engine.MaxPin))
		e.set("Engine.Cost", costsOf(engine))
		all = append(all, e)
	}
	for _, t := range cfg.Teams {
		e := entry{path: fmt.Sprintf("Teams[%s]", t.Name)}
		e.set("Priority", priorityOf(t))
		e.set("Regions", regionsOf(t.Regions))
		all = append(all, e)
	}
	teams := entry{path: "Teams"}
	teams.set("List", presenceOf(cfg.Teams))
	limits := entry{path: "Limits"}
	limits.set("MaxHeaderBytes", strconv.Itoa(cfg.Limits.MaxHeaderBytes))
	limits.set("MaxBodyBytes", strconv.FormatInt(cfg.Limits.MaxBodyBytes, 10))
	limits.set("HeaderTimeout", textOf(cfg.Limits.HeaderTimeout))
	limits.set("IdleTimeout", textOf(cfg.Limits.IdleTimeout))
	return append(all, teams, limits)
}

// presenceOf describes a list of teams, whose absence opens every route.
func presenceOf(teams []route.TeamInfo) string {
	if teams == nil {
		return "absent, requests need no key"
	}
	return "present"
}

func textOf(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func countOf(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func rateOf(perSecond float64) string {
	if perSecond == 0 {
		return ""
	}
	return strconv.FormatFloat(perSecond, 'g', -1, 64)
}

func regionsOf(set region.Set) string {
	if !set.IsRestricted() {
		return "all"
	}
	if set.IsEmpty() {
		return "none"
	}
	return joinRegions(set)
}

func priorityOf(t route.TeamInfo) string {
	if !t.HasPriority {
		return ""
	}
	return strconv.Itoa(t.Priority)
}

func costsOf(engine route.Engine) string {
	var models []route.Model
	for model := range engine.Cost {
		models = append(models, model)
	}
	slices.Sort(models)
	return join(models, func(m route.Model) string { return fmt.Sprintf("%s %g", m, engine.Cost[m]) })
}

// changedKeys returns how many keys the team at a path gains and loses; empty if none, or if the path is that of another entry.
func changedKeys(path string, before, after route.Config) string {
	keysIn := func(cfg route.Config) map[route.Key]bool {
		keys := make(map[route.Key]bool)
		for _, t := range cfg.Teams {
			if path == fmt.Sprintf("Teams[%s]", t.Name) {
				for _, key := range t.Keys {
					keys[key] = true
				}
			}
		}
		return keys
	}
	old, now := keysIn(before), keysIn(after)
	gained, lost := 0, 0
	for key := range now {
		if !old[key] {
			gained++
		}
	}
	for key := range old {
		if !now[key] {
			lost++
		}
	}
	if gained+lost == 0 {
		return ""
	}
	return fmt.Sprintf("gains %d, loses %d, then has %d", gained, lost, len(now))
}
