package fleet

import (
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Matches reports whether every field that is set in s matches that of other; a scope with only a model matches all of
// its versions.
func (s Scope) Matches(other Scope) bool {
	return (s.Team == "" || s.Team == other.Team) &&
		(s.Service == "" || s.Service == other.Service) &&
		(s.Class == "" || s.Class == other.Class) &&
		(s.FailureDomain == "" || s.FailureDomain == other.FailureDomain) &&
		(s.Version.IsZero() || s.matchesVersion(other.Version))
}

func (s Scope) matchesVersion(v api.VersionID) bool {
	return s.Version == v || s.Version.Version == "" && s.Version.Model == v.Model
}

// specificity returns the number of fields that are set. Exceptions with more specific scopes apply later and so take
// precedence.
func (s Scope) specificity() int {
	n := 0
	for _, named := range []bool{s.Team != "", s.Service != "", s.Class != "", s.FailureDomain != "", !s.Version.IsZero()} {
		if named {
			n++
		}
	}
	return n
}

// IsActive reports whether the exception is in force at a time.
func (e Exception) IsActive(now time.Time) bool {
	return e.Expires.IsZero() || now.Before(e.Expires)
}

// PolicyFor returns the policy in force for a scope: the defaults, overridden by every active exception that matches.
// More specific exceptions apply later and, among equally specific ones, those with a greater id.
func (c *Config) PolicyFor(scope Scope, now time.Time) Policy {
	policy := c.Defaults
	for _, exc := range c.ExceptionsFor(scope, now) {
		policy = exc.Set.apply(policy)
	}
	return policy
}

// ExceptionsFor returns the active exceptions that match a scope, in the order in which they apply.
func (c *Config) ExceptionsFor(scope Scope, now time.Time) []Exception {
	var found []Exception
	for _, exc := range c.Exceptions {
		if exc.IsActive(now) && exc.Scope.Matches(scope) {
			found = append(found, exc)
		}
	}
	if len(found) > 1 {
		// slices.SortStableFunc has so large a stack frame that it would make most requests' stacks grow.
		slices.SortStableFunc(found, func(a, b Exception) int {
			return a.Scope.specificity() - b.Scope.specificity()
		})
	}
	return found
}

func (p PolicyPatch) apply(policy Policy) Policy {
	set(&policy.Allowed, p.Allowed)
	set(&policy.Services, p.Services)
	set(&policy.QualityTarget, p.QualityTarget)
	set(&policy.Deadline, p.Deadline)
	set(&policy.RequestsPerSecond, p.RequestsPerSecond)
	set(&policy.Cascade, p.Cascade)
	set(&policy.Hedge, p.Hedge)
	set(&policy.Repin, p.Repin)
	set(&policy.Exploration, p.Exploration)
	set(&policy.KeepAnswers, p.KeepAnswers)
	return policy
}

func set[T any](field *T, override *T) {
	if override != nil {
		*field = *override
	}
}

// IsAllowed reports whether the policy allows a version.
func (p Policy) IsAllowed(v api.VersionID) bool {
	return slices.ContainsFunc(p.Allowed, func(pattern string) bool {
		return pattern == "*" || pattern == v.Model || pattern == v.String()
	})
}

// IsServiceAllowed reports whether the policy allows a service.
func (p Policy) IsServiceAllowed(s api.Service) bool {
	return slices.Contains(p.Services, "*") || slices.Contains(p.Services, string(s))
}

// FindService returns the service with a name.
func (c *Config) FindService(name api.Service) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// FindTeam returns the team with a name.
func (c *Config) FindTeam(name api.Team) (*Team, bool) {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i], true
		}
	}
	return nil, false
}

// FindVersion returns the version of the service with an id.
func (s *Service) FindVersion(id api.VersionID) (*Version, bool) {
	for i := range s.Models {
		if s.Models[i].Name != id.Model {
			continue
		}
		for j := range s.Models[i].Versions {
			if s.Models[i].Versions[j].Name == id.Version {
				return &s.Models[i].Versions[j], true
			}
		}
	}
	return nil, false
}

// StateOf returns a version's state for a scope: StateWithdrawn if an active exception withdraws the version or if it
// is unknown, else its configured state.
func (c *Config) StateOf(scope Scope, now time.Time) VersionState {
	service, ok := c.FindService(scope.Service)
	if !ok {
		return StateWithdrawn
	}
	version, ok := service.FindVersion(scope.Version)
	if !ok {
		return StateWithdrawn
	}
	for _, exc := range c.Exceptions {
		if exc.Withdraw && exc.IsActive(now) && exc.Scope.Matches(scope) {
			return StateWithdrawn
		}
	}
	return version.State
}

// IsNonRepeatable reports whether a call of a plain service must run at most once.
func (s *Service) IsNonRepeatable(method, path string) bool {
	return slices.ContainsFunc(s.NonRepeatable, func(c Call) bool {
		return (c.Method == "*" || c.Method == method) && c.matchesPath(path)
	})
}

func (c Call) matchesPath(path string) bool {
	if prefix, ok := cutWildcard(c.Path); ok {
		return len(path) >= len(prefix) && path[:len(prefix)] == prefix
	}
	return c.Path == path
}

func cutWildcard(path string) (string, bool) {
	n := len(path)
	if n >= 2 && path[n-2:] == "/*" {
		return path[:n-1], true
	}
	return path, false
}

// tokensPerPrice is the number of tokens that a version's prices are for.
const tokensPerPrice = 1000

// Cost returns the price of a call from its token usage, rounded up.
func (v *Version) Cost(usage api.Usage) api.MicroUSD {
	price := int64(usage.PromptTokens)*int64(v.PromptCost) + int64(usage.CompletionTokens)*int64(v.AnswerCost)
	return api.MicroUSD((price + tokensPerPrice - 1) / tokensPerPrice)
}
