package fleet

import (
	"reflect"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Origin is the source of a setting's value: the defaults or an exception.
type Origin struct {
	// Exception is the exception's id; empty for the defaults.
	Exception string    `json:",omitempty"`
	Reason    string    `json:",omitempty"`
	Author    string    `json:",omitempty"`
	Expires   time.Time `json:",omitzero"`
}

// String returns "Defaults", or the exception's id, author, reason and expiry.
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

// Setting is the value in force of one setting, and its origin.
type Setting struct {
	Name  string
	Value string
	Origin
}

// VersionStatus is the status of a version for the requests of a scope.
type VersionStatus struct {
	ID    api.VersionID
	State VersionState
	// Share is the version's configured share, which counts only for a candidate.
	Share float64 `json:",omitempty"`
	// Allowed reports whether the policy allows the version.
	Allowed bool
	// Withdrawal is the exception that withdraws the version; zero if none does.
	Withdrawal Origin `json:",omitzero"`
}

// String returns the state, or "not allowed".
func (v VersionStatus) String() string {
	if !v.Allowed {
		return "not allowed"
	}
	return string(v.State)
}

// Explanation is what is in force for a scope, with the origin of each setting.
type Explanation struct {
	Revision api.Revision
	Scope    Scope
	// ServiceAllowed reports whether the team may call the service.
	ServiceAllowed bool
	Settings       []Setting
	// Versions is empty for a plain service.
	Versions []VersionStatus `json:",omitempty"`
}

// Explain returns what is in force for a scope at a time, and which exception set each value. It fails with ErrInvalid
// for an unknown service or team.
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

// settingText returns a setting's value as written in configuration files.
func settingText(value any) string {
	if list, ok := value.([]string); ok {
		return "[" + strings.Join(list, ", ") + "]"
	}
	fields := make(map[string]string)
	flatten(fields, "", value)
	return fields[""]
}

// originOfSetting returns the origin of a setting: the last of the exceptions that sets it, in the order in which they
// apply.
func originOfSetting(exceptions []Exception, name string) Origin {
	origin := Origin{}
	for _, exc := range exceptions {
		if !reflect.ValueOf(exc.Set).FieldByName(name).IsNil() {
			origin = originOf(exc)
		}
	}
	return origin
}

// explainVersions returns the status of each version of a service.
func (c *Config) explainVersions(scope Scope, service *Service, now time.Time) []VersionStatus {
	var statuses []VersionStatus
	for _, model := range service.Models {
		for _, version := range model.Versions {
			scope.Version = api.VersionID{Model: model.Name, Version: version.Name}
			statuses = append(statuses, VersionStatus{
				ID:         scope.Version,
				State:      c.StateOf(scope, now),
				Share:      version.Share,
				Allowed:    c.PolicyFor(scope, now).IsAllowed(scope.Version),
				Withdrawal: c.withdrawalOf(scope, now),
			})
		}
	}
	return statuses
}

func (c *Config) withdrawalOf(scope Scope, now time.Time) Origin {
	for _, exc := range c.Exceptions {
		if exc.Withdraw && exc.IsActive(now) && exc.Scope.Matches(scope) {
			return originOf(exc)
		}
	}
	return Origin{}
}
