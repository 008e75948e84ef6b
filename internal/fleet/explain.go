package fleet

import (
	"reflect"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Origin tells what set a value.
type Origin struct {
	// Exception is the exception's id; empty where the defaults hold.
	Exception string    `json:",omitempty"`
	Reason    string    `json:",omitempty"`
	Author    string    `json:",omitempty"`
	Expires   time.Time `json:",omitzero"`
}

// String names the origin.
func (o Origin) String() string {
	if o.Exception == "" {
		return "Defaults"
	}
	text := "exception " + o.Exception + " by " + o.Author + ": " + o.Reason
	if !o.Expires.IsZero() {
		text += " (until " + o.Expires.Format(time.RFC3339) + ")"
	}
	return text
}

func originOf(exc Exception) Origin {
	return Origin{Exception: exc.ID, Reason: exc.Reason, Author: exc.Author, Expires: exc.Expires}
}

// Setting is one setting in force.
type Setting struct {
	Name  string
	Value string
	Origin
}

// VersionStatus tells what a version is to a scope's requests.
type VersionStatus struct {
	ID    api.VersionID
	State VersionState
	// Share is that of a candidate.
	Share float64 `json:",omitempty"`
	// Allowed tells that the policy lists the version.
	Allowed bool
	// Withdrawal is set where an exception withdraws the version.
	Withdrawal Origin `json:",omitzero"`
}

// String returns the state, or "not allowed".
func (v VersionStatus) String() string {
	if !v.Allowed {
		return "not allowed"
	}
	return string(v.State)
}

// Explanation tells what is in force for a scope and why.
type Explanation struct {
	Revision api.Revision
	Scope    Scope
	// ServiceAllowed tells whether the team may call the service.
	ServiceAllowed bool
	Settings       []Setting
	// Versions is empty for a plain service.
	Versions []VersionStatus `json:",omitempty"`
}

// Explain tells what is in force for a scope at a time, and which exception set each value.
func (c *Config) Explain(scope Scope, now time.Time) (Explanation, error) {
	service, ok := c.FindService(scope.Service)
	if !ok {
		return Explanation{}, Error.Wrap(&ErrInvalid{Problems: []Problem{{Path: "Service", Detail: "no service " + string(scope.Service)}}})
	}
	if _, ok := c.FindTeam(scope.Team); !ok && scope.Team != "" {
		return Explanation{}, Error.Wrap(&ErrInvalid{Problems: []Problem{{Path: "Team", Detail: "no team " + string(scope.Team)}}})
	}
	if scope.Class == "" && len(service.Classes) > 0 {
		scope.Class = service.Classes[0]
	}
	policy := c.PolicyFor(scope, now)
	return Explanation{
		Revision:       c.Revision,
		Scope:          scope,
		ServiceAllowed: policy.IsServiceAllowed(scope.Service),
		Settings:       c.explainSettings(scope, policy, now),
		Versions:       c.explainVersions(scope, service, now),
	}, nil
}

// explainSettings returns each setting of a policy with its origin, in the order of Policy's fields.
func (c *Config) explainSettings(scope Scope, policy Policy, now time.Time) []Setting {
	exceptions := c.ExceptionsFor(scope, now)
	value := reflect.ValueOf(policy)
	var settings []Setting
	for i := range value.NumField() {
		name := value.Type().Field(i).Name
		settings = append(settings, Setting{Name: name, Value: settingText(value.Field(i).Interface()), Origin: originOfSetting(exceptions, name)})
	}
	return settings
}

// settingText returns a setting as it stands in files.
func settingText(value any) string {
	if list, ok := value.([]string); ok {
		return "[" + strings.Join(list, ", ") + "]"
	}
	fields := make(map[string]string)
	flatten(fields, "", value)
	return fields[""]
}

// originOfSetting returns the last exception that sets a setting; they are in the order in which they apply.
func originOfSetting(exceptions []Exception, name string) Origin {
	origin := Origin{}
	for _, exc := range exceptions {
		if !reflect.ValueOf(exc.Set).FieldByName(name).IsNil() {
			origin = originOf(exc)
		}
	}
	return origin
}

// explainVersions returns the standing of each version of a service.
func (c *Config) explainVersions(scope Scope, service *Service, now time.Time) []VersionStatus {
	var standings []VersionStatus
	for _, model := range service.Models {
		for _, version := range model.Versions {
			scope.Version = api.VersionID{Model: model.Name, Version: version.Name}
			standings = append(standings, VersionStatus{
				ID:         scope.Version,
				State:      c.StateOf(scope, now),
				Share:      version.Share,
				Allowed:    c.PolicyFor(scope, now).IsAllowed(scope.Version),
				Withdrawal: c.withdrawalOf(scope, now),
			})
		}
	}
	return standings
}

func (c *Config) withdrawalOf(scope Scope, now time.Time) Origin {
	for _, exc := range c.Exceptions {
		if exc.Withdraw && exc.IsActive(now) && exc.Scope.Matches(scope) {
			return originOf(exc)
		}
	}
	return Origin{}
}
