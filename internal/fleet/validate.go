package fleet

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// minDeadline and maxDeadline bound Policy.Deadline.
	minDeadline = 100 * time.Millisecond
	maxDeadline = 24 * time.Hour
	// maxKeepAnswers bounds Policy.KeepAnswers.
	maxKeepAnswers = time.Hour
	// maxExploration bounds Policy.Exploration.
	maxExploration = 0.1
	// maxWeight bounds Team.Weight.
	maxWeight = 1000
	// maxTextBytes bounds the length of reasons and authors.
	maxTextBytes = 1000
	// keyHashBytes is the length of a SHA-256 sum in bytes.
	keyHashBytes = 32
)

const nameRule = "1 to 63 of a-z, 0-9, '.', '_', '-', beginning with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Validate returns an ErrInvalid with all problems of the configuration, or nil.
func (c *Config) Validate() error {
	if problems := c.problems(); len(problems) > 0 {
		return Error.Wrap(&ErrInvalid{Problems: problems})
	}
	return nil
}

func (c *Config) problems() []Problem {
	v := &validator{config: c}
	v.checkName("Fleet", c.Fleet)
	v.checkFailureDomains()
	v.checkServices()
	v.checkTeams()
	v.checkPolicy("Defaults", patchOf(c.Defaults))
	v.checkExceptions()
	return v.problems
}

// validator collects the problems of one configuration.
type validator struct {
	config   *Config
	problems []Problem
}

func (v *validator) check(ok bool, path string, value any, allowed string) {
	if !ok {
		v.problems = append(v.problems, Problem{Path: path, Detail: fmt.Sprintf("bad value %q", fmt.Sprint(value)), Allowed: allowed})
	}
}

func (v *validator) checkName(path, name string) {
	v.check(namePattern.MatchString(name), path, name, nameRule)
}

// checkItem checks the name of a list's item, and that the name isn't in seen, and adds it to seen.
func (v *validator) checkItem(seen map[string]bool, path, name string) {
	v.checkName(path, name)
	v.check(!seen[name], path, name, "each name once")
	seen[name] = true
}

func (v *validator) checkFailureDomains() {
	v.check(len(v.config.FailureDomains) > 0, "FailureDomains", "[]", "at least one")
	seen := make(map[string]bool)
	for _, domain := range v.config.FailureDomains {
		path := indexPath("FailureDomains", string(domain.Name))
		v.checkItem(seen, path+".Name", string(domain.Name))
		v.checkName(path+".Region", string(domain.Region))
	}
}

func (v *validator) checkServices() {
	v.check(len(v.config.Services) > 0, "Services", "[]", "at least one")
	seen := make(map[string]bool)
	for _, service := range v.config.Services {
		path := indexPath("Services", string(service.Name))
		v.checkItem(seen, path+".Name", string(service.Name))
		switch service.Kind {
		case KindEngine:
			v.checkEngine(path, service)
		case KindPlain:
			v.checkPlain(path, service)
		default:
			v.check(false, path+".Kind", service.Kind, "Engine or Plain")
		}
	}
}

func (v *validator) checkEngine(path string, service Service) {
	v.check(len(service.Models) > 0, path+".Models", "[]", "at least one model")
	v.check(len(service.NonRepeatable) == 0, path+".NonRepeatable", "set", "nothing for an engine service")
	v.check(len(service.Classes) > 0, path+".Classes", "[]", "at least one class")
	v.checkClasses(path, service)
	models := make(map[string]bool)
	for _, model := range service.Models {
		modelPath := indexPath(path+".Models", model.Name)
		v.checkItem(models, modelPath+".Name", model.Name)
		v.check(model.Name != api.ModelAuto, modelPath+".Name", model.Name, "any name but "+api.ModelAuto)
		v.check(len(model.Versions) > 0, modelPath+".Versions", "[]", "at least one version")
		versions := make(map[string]bool)
		for _, version := range model.Versions {
			versionPath := indexPath(modelPath+".Versions", version.Name)
			v.checkItem(versions, versionPath+".Name", version.Name)
			v.checkVersion(versionPath, version)
		}
	}
}

func (v *validator) checkClasses(path string, service Service) {
	seen := make(map[string]bool)
	for _, class := range service.Classes {
		v.checkItem(seen, path+".Classes", string(class))
	}
}

func (v *validator) checkVersion(path string, version Version) {
	switch version.State {
	case StateCandidate, StateServing, StateDraining, StateWithdrawn:
	default:
		v.check(false, path+".State", version.State, "Candidate, Serving, Draining or Withdrawn")
	}
	v.check(version.Share >= 0 && version.Share <= 1, path+".Share", version.Share, "0 to 1")
	v.check(version.PromptCost >= 0, path+".PromptCost", version.PromptCost, "0 or more")
	v.check(version.AnswerCost >= 0, path+".AnswerCost", version.AnswerCost, "0 or more")
	v.check(version.PriorQuality >= 0 && version.PriorQuality <= 1, path+".PriorQuality", version.PriorQuality, "0 to 1")
}

func (v *validator) checkPlain(path string, service Service) {
	v.check(len(service.Models) == 0, path+".Models", "set", "nothing for a plain service")
	v.check(!service.ChecksFencing, path+".ChecksFencing", "true", "false for a plain service")
	v.checkClasses(path, service)
	for i, call := range service.NonRepeatable {
		callPath := indexPath(path+".NonRepeatable", fmt.Sprint(i))
		v.check(call.Method == "*" || isMethod(call.Method), callPath+".Method", call.Method, "an HTTP method in upper case, or *")
		v.check(isCallPath(call.Path), callPath+".Path", call.Path, "a path that begins with / and has * only in an ending /*")
	}
}

func isMethod(method string) bool {
	return method != "" && strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

func isCallPath(path string) bool {
	return strings.HasPrefix(path, "/") && !strings.Contains(strings.TrimSuffix(path, "/*"), "*")
}

func (v *validator) checkTeams() {
	v.check(len(v.config.Teams) > 0, "Teams", "[]", "at least one")
	seen := make(map[string]bool)
	owners := make(map[string]api.Team)
	for _, team := range v.config.Teams {
		path := indexPath("Teams", string(team.Name))
		v.checkItem(seen, path+".Name", string(team.Name))
		v.check(team.Weight > 0 && team.Weight <= maxWeight, path+".Weight", team.Weight, fmt.Sprintf("above 0, up to %d", maxWeight))
		v.check(len(team.KeyHashes) > 0, path+".KeyHashes", "[]", "at least one")
		for _, hash := range team.KeyHashes {
			sum, err := hex.DecodeString(hash)
			v.check(err == nil && len(sum) == keyHashBytes && strings.ToLower(hash) == hash, path+".KeyHashes", hash,
				"a SHA-256 sum of 64 lower-case hexadecimal digits")
			owner, exists := owners[hash]
			v.check(!exists, path+".KeyHashes", hash, fmt.Sprintf("each key once; team %q has it", owner))
			owners[hash] = team.Name
		}
		if team.Service != "" {
			v.checkEngineName(path+".Service", team.Service)
		}
	}
}

func (v *validator) checkEngineName(path string, name api.Service) {
	service, ok := v.config.FindService(name)
	v.check(ok && service.Kind == KindEngine, path, name, "a service of kind Engine")
}

// patchOf returns a patch that sets every field to the policy's value.
func patchOf(p Policy) PolicyPatch {
	return PolicyPatch{
		Allowed: &p.Allowed, Services: &p.Services, QualityTarget: &p.QualityTarget, Deadline: &p.Deadline,
		RequestsPerSecond: &p.RequestsPerSecond, Cascade: &p.Cascade, Hedge: &p.Hedge, Repin: &p.Repin,
		Exploration: &p.Exploration, KeepAnswers: &p.KeepAnswers,
	}
}

func (v *validator) checkPolicy(path string, p PolicyPatch) {
	if p.Allowed != nil {
		for _, pattern := range *p.Allowed {
			v.check(pattern == "*" || v.hasVersion(api.ParseVersionID(pattern)), path+".Allowed", pattern, `a model, a "model@version" or "*"`)
		}
	}
	if p.Services != nil {
		for _, name := range *p.Services {
			_, ok := v.config.FindService(api.Service(name))
			v.check(ok || name == "*", path+".Services", name, `a service or "*"`)
		}
	}
	checkRange(v, path+".QualityTarget", p.QualityTarget, 0, 1)
	checkRange(v, path+".Deadline", p.Deadline, minDeadline, maxDeadline)
	checkRange(v, path+".RequestsPerSecond", p.RequestsPerSecond, 0, 1e9)
	checkRange(v, path+".Exploration", p.Exploration, 0, maxExploration)
	checkRange(v, path+".KeepAnswers", p.KeepAnswers, 0, maxKeepAnswers)
}

func checkRange[T ~float64 | ~int64](v *validator, path string, value *T, low, high T) {
	if value != nil {
		v.check(*value >= low && *value <= high, path, *value, fmt.Sprintf("%v to %v", low, high))
	}
}

// hasVersion reports whether any service has the version or, if id names no version, the model.
func (v *validator) hasVersion(id api.VersionID) bool {
	for _, service := range v.config.Services {
		if service.hasVersionOrModel(id) {
			return true
		}
	}
	return false
}

func (s *Service) hasVersionOrModel(id api.VersionID) bool {
	if id.Version != "" {
		_, ok := s.FindVersion(id)
		return ok
	}
	for _, model := range s.Models {
		if model.Name == id.Model {
			return true
		}
	}
	return false
}

func indexPath(path, name string) string { return path + "[" + name + "]" }
