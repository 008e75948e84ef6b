package fleet

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// findings returns what a valid configuration says in vain: entries that can never match, and settings that contradict each other.
func (c *Config) findings(now time.Time) []Problem {
	f := &finder{config: c, now: now}
	f.findServices()
	f.findTeams()
	f.findExceptions()
	return f.problems
}

// finder collects the findings in one configuration.
type finder struct {
	config   *Config
	now      time.Time
	problems []Problem
}

func (f *finder) add(path, allowed, detail string, args ...any) {
	f.problems = append(f.problems, Problem{Path: path, Detail: fmt.Sprintf(detail, args...), Allowed: allowed})
}

func (f *finder) findServices() {
	for _, service := range f.config.Services {
		path := indexPath("Services", string(service.Name))
		for i, call := range service.NonRepeatable {
			wider := slices.IndexFunc(service.NonRepeatable, func(other Call) bool { return other != call && other.covers(call) })
			first := slices.Index(service.NonRepeatable, call)
			switch callPath := indexPath(path+".NonRepeatable", fmt.Sprint(i)); {
			case first < i:
				f.add(callPath, "each call once", "never matters: the same call is listed before")
			case wider >= 0:
				f.add(callPath, "", "never matters: %s %s covers it", service.NonRepeatable[wider].Method, service.NonRepeatable[wider].Path)
			}
		}
		takesRequests := service.Kind == KindPlain
		for _, model := range service.Models {
			for _, version := range model.Versions {
				takesRequests = takesRequests || version.State == StateServing
			}
		}
		if !takesRequests {
			f.add(path+".Models", "a version with State Serving", "no version takes new sessions")
		}
	}
}

// covers reports whether all calls that other selects are selected by the call, too.
func (c Call) covers(other Call) bool {
	if c.Method != "*" && c.Method != other.Method {
		return false
	}
	prefix, isPrefix := cutWildcard(c.Path)
	if !isPrefix {
		return c.Path == other.Path
	}
	return strings.HasPrefix(strings.TrimSuffix(other.Path, "*"), prefix)
}

func (f *finder) findTeams() {
	for _, team := range f.config.Teams {
		path := indexPath("Teams", string(team.Name))
		if !slices.ContainsFunc(f.config.Services, func(s Service) bool { return f.mayCall(team.Name, &s) }) {
			f.add(path, "a service with an allowed version that serves", "none of the team's requests is accepted")
			continue
		}
		if own, ok := f.config.FindService(team.Service); ok && !f.mayCall(team.Name, own) {
			f.add(path+".Service", "a service that the team may call", "none of the team's requests there is accepted")
		}
	}
}

// mayCall reports whether a team's requests of some class are accepted by a service.
func (f *finder) mayCall(team api.Team, service *Service) bool {
	classes := service.Classes
	if len(classes) == 0 {
		classes = []api.Class{""}
	}
	return slices.ContainsFunc(classes, func(class api.Class) bool {
		scope := Scope{Team: team, Service: service.Name, Class: class}
		policy := f.config.PolicyFor(scope, f.now)
		if !policy.IsServiceAllowed(service.Name) || service.Kind == KindPlain {
			return policy.IsServiceAllowed(service.Name)
		}
		return slices.ContainsFunc(service.Models, func(m Model) bool {
			return slices.ContainsFunc(m.Versions, func(v Version) bool {
				id := api.VersionID{Model: m.Name, Version: v.Name}
				scope.Version = id
				return policy.IsAllowed(id) && f.config.StateOf(scope, f.now) != StateWithdrawn
			})
		})
	})
}

func (f *finder) findExceptions() {
	for i, exc := range f.config.Exceptions {
		path := indexPath("Exceptions", exc.ID)
		if !exc.IsActive(f.now) {
			f.add(path+".Expires", "a time to come, or no exception", "never matches: it has expired at %s", exc.Expires.Format(time.RFC3339))
			continue
		}
		for _, later := range f.config.Exceptions[i+1:] {
			outlasts := later.Expires.IsZero() || !exc.Expires.IsZero() && !later.Expires.Before(exc.Expires)
			if later.Scope == exc.Scope && outlasts && later.IsActive(f.now) && !exc.Withdraw && later.Set.overrides(exc.Set) {
				f.add(path+".Set", "", "never holds: exception %s sets the same for the same requests", later.ID)
			}
		}
	}
}

// overrides reports whether the patch sets all that an earlier one does.
func (p PolicyPatch) overrides(earlier PolicyPatch) bool {
	before, after := reflect.ValueOf(earlier), reflect.ValueOf(p)
	for i := range before.NumField() {
		if !before.Field(i).IsNil() && after.Field(i).IsNil() {
			return false
		}
	}
	return true
}
