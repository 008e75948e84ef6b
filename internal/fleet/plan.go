package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Action is what a plan does with an entity.
type Action string

// Actions of a plan.
const (
	ActionAdd    Action = "Add"
	ActionChange Action = "Change"
	ActionRemove Action = "Remove"
)

// FieldChange is a changed setting; an empty From or To means that the setting is not set.
type FieldChange struct {
	Path string
	From string
	To   string
}

// EntityChange is the change of one entity in a plan.
type EntityChange struct {
	EntityID
	Action Action
	// Fields is ordered by path.
	Fields []FieldChange
}

// AffectedScope is a scope whose requests a plan treats differently.
type AffectedScope struct {
	Team    api.Team
	Service api.Service
	// Class is empty if the service has no classes.
	Class api.Class `json:",omitempty"`
	// FailureDomain is empty if the effects don't depend on the failure domain.
	FailureDomain api.FailureDomain `json:",omitempty"`
	// Effects lists the changed settings, and the versions whose state changes.
	Effects []FieldChange
}

// Plan is the difference between two configurations, with the scopes that it affects.
type Plan struct {
	// Base is the revision that the plan is based on.
	Base    api.Revision
	Changes []EntityChange
	Touches []AffectedScope
	// Ops are the ops that carry out the plan.
	Ops []Op `json:"-"`
}

// MakePlan compares a state with a new configuration, with the exceptions that are active at now.
func MakePlan(state *State, next *Config, now time.Time) Plan {
	plan := Plan{Base: state.Revision(), Ops: state.Ops(next)}
	before := state.Config.entities()
	after := next.entities()
	for _, op := range plan.Ops {
		change := EntityChange{EntityID: op.EntityID, Action: ActionChange}
		if len(op.Value) == 0 {
			change.Action = ActionRemove
		} else if _, ok := state.entities[op.EntityID]; !ok {
			change.Action = ActionAdd
		}
		change.Fields = compareFields(fieldsOf(op.EntityID, before), fieldsOf(op.EntityID, after))
		plan.Changes = append(plan.Changes, change)
	}
	plan.Touches = affectedScopes(state.Config, next, now)
	return plan
}

// fieldsOf returns the settings of an entity by path, as written in configuration files; none if the entity doesn't
// exist or can't be decoded.
func fieldsOf(id EntityID, entities map[EntityID]json.RawMessage) map[string]string {
	fields := make(map[string]string)
	var config Config
	value, ok := entities[id]
	if !ok || config.apply(Op{EntityID: id, Value: value}) != nil {
		return fields
	}
	switch id.Kind {
	case KindFleet:
		flatten(fields, "Fleet", config.Fleet)
	case KindDefaults:
		flatten(fields, "Defaults", config.Defaults)
	case KindFailureDomain:
		flatten(fields, "", config.FailureDomains[0])
	case KindService:
		flatten(fields, "", config.Services[0])
	case KindTeam:
		flatten(fields, "", config.Teams[0])
	case KindException:
		flatten(fields, "", config.Exceptions[0])
	}
	return fields
}

// flatten adds the settings of a value to fields by path.
func flatten(fields map[string]string, path string, value any) {
	var node yaml.Node
	// Values of the package's own types never fail to encode.
	if err := node.Encode(value); err != nil {
		panic(err)
	}
	flattenNode(fields, path, &node)
}

func flattenNode(fields map[string]string, path string, node *yaml.Node) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			flattenNode(fields, joinPath(path, node.Content[i].Value), node.Content[i+1])
		}
	case yaml.SequenceNode:
		for i, child := range node.Content {
			flattenNode(fields, indexPath(path, itemName(child, i)), child)
		}
	default:
		fields[path] = node.Value
	}
}

func compareFields(before, after map[string]string) []FieldChange {
	var changes []FieldChange
	for path, from := range before {
		if to, ok := after[path]; !ok || to != from {
			changes = append(changes, FieldChange{Path: path, From: from, To: to})
		}
	}
	for path, to := range after {
		if _, ok := before[path]; !ok {
			changes = append(changes, FieldChange{Path: path, To: to})
		}
	}
	slices.SortFunc(changes, func(a, b FieldChange) int { return cmp.Compare(a.Path, b.Path) })
	return changes
}

// affectedScopes compares what is in force for every team, service and class in two configurations. A failure domain is
// listed separately only if its effects differ from those without one.
func affectedScopes(before, after *Config, now time.Time) []AffectedScope {
	domains := []api.FailureDomain{""}
	if before.hasDomainScopes() || after.hasDomainScopes() {
		for _, domain := range after.FailureDomains {
			domains = append(domains, domain.Name)
		}
	}
	var affected []AffectedScope
	for _, scope := range unionScopes(before, after) {
		var anyDomain []FieldChange
		for _, domain := range domains {
			scope.FailureDomain = domain
			effects := compareFields(before.effects(scope, now), after.effects(scope, now))
			if domain == "" {
				anyDomain = effects
			} else if reflect.DeepEqual(effects, anyDomain) {
				continue
			}
			if len(effects) > 0 {
				affected = append(affected, AffectedScope{
					Team: scope.Team, Service: scope.Service, Class: scope.Class, FailureDomain: domain, Effects: effects,
				})
			}
		}
	}
	return affected
}

func (c *Config) hasDomainScopes() bool {
	return slices.ContainsFunc(c.Exceptions, func(e Exception) bool { return e.Scope.FailureDomain != "" })
}

// unionScopes returns the scopes of every team, service and class of either configuration, sorted.
func unionScopes(before, after *Config) []Scope {
	all := make(map[Scope]bool)
	for _, config := range []*Config{before, after} {
		for _, team := range config.Teams {
			for _, service := range config.Services {
				for _, class := range service.classes() {
					all[Scope{Team: team.Name, Service: service.Name, Class: class}] = true
				}
			}
		}
	}
	return slices.SortedFunc(maps.Keys(all), func(a, b Scope) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
}

// classes returns the service's classes, or one empty class if it has none.
func (s *Service) classes() []api.Class {
	if len(s.Classes) == 0 {
		return []api.Class{""}
	}
	return s.Classes
}

// effects returns the settings in force for a scope's requests by name: whether the team may call the service, the
// policy, and the state of each version.
func (c *Config) effects(scope Scope, now time.Time) map[string]string {
	fields := make(map[string]string)
	service, ok := c.FindService(scope.Service)
	_, hasTeam := c.FindTeam(scope.Team)
	if !ok || !hasTeam {
		return fields
	}
	policy := c.PolicyFor(scope, now)
	if !policy.IsServiceAllowed(scope.Service) {
		fields["Service"] = "refused"
		return fields
	}
	fields["Service"] = "allowed"
	if service.Kind == KindPlain {
		flatten(fields, "NonRepeatable", service.NonRepeatable)
		fields["Deadline"] = policy.Deadline.String()
		fields["RequestsPerSecond"] = fmt.Sprint(policy.RequestsPerSecond)
		return fields
	}
	policy.Allowed = nil
	policy.Services = nil
	flatten(fields, "", policy)
	delete(fields, "Allowed")
	delete(fields, "Services")
	for _, version := range c.explainVersions(scope, service, now) {
		fields["Version "+version.ID.String()] = version.String()
	}
	return fields
}
