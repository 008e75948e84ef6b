package fleet

import (
	"fmt"
	"strings"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func (v *validator) checkExceptions() {
	seen := make(map[string]bool)
	for _, exc := range v.config.Exceptions {
		path := indexPath("Exceptions", exc.ID)
		v.checkItem(seen, path+".ID", exc.ID)
		v.checkText(path+".Reason", exc.Reason)
		v.checkText(path+".Author", exc.Author)
		v.check(exc.Withdraw || exc.Set != PolicyPatch{}, path+".Set", "nothing", "at least one setting, or Withdraw: true")
		v.check(!exc.Withdraw || !exc.Scope.Version.IsZero(), path+".Scope.Version", "", "a version where Withdraw is true")
		v.checkScope(path+".Scope", exc.Scope)
		v.checkPolicy(path+".Set", exc.Set)
	}
}

func (v *validator) checkText(path, text string) {
	ok := strings.TrimSpace(text) != "" && len(text) <= maxTextBytes
	v.check(ok, path, text, fmt.Sprintf("1 to %d bytes of text", maxTextBytes))
}

func (v *validator) checkScope(path string, scope Scope) {
	if scope.Team != "" {
		_, ok := v.config.FindTeam(scope.Team)
		v.check(ok, path+".Team", scope.Team, "a team of the configuration")
	}
	if scope.Service != "" {
		_, ok := v.config.FindService(scope.Service)
		v.check(ok, path+".Service", scope.Service, "a service of the configuration")
	}
	if scope.Class != "" {
		v.check(v.hasClass(scope), path+".Class", scope.Class, "a class of the service")
	}
	if !scope.Version.IsZero() {
		v.check(v.hasScopedVersion(scope), path+".Version", scope.Version, `a model or "model@version" of the service`)
	}
	if scope.FailureDomain != "" {
		v.check(v.hasFailureDomain(scope.FailureDomain), path+".FailureDomain", scope.FailureDomain, "a failure domain of the configuration")
	}
}

func (v *validator) hasClass(scope Scope) bool {
	for _, service := range v.config.Services {
		if scope.Service != "" && scope.Service != service.Name {
			continue
		}
		for _, class := range service.Classes {
			if class == scope.Class {
				return true
			}
		}
	}
	return false
}

func (v *validator) hasScopedVersion(scope Scope) bool {
	if scope.Service == "" {
		return v.hasVersion(scope.Version)
	}
	service, ok := v.config.FindService(scope.Service)
	return ok && service.hasVersionOrModel(scope.Version)
}

func (v *validator) hasFailureDomain(name api.FailureDomain) bool {
	for _, domain := range v.config.FailureDomains {
		if domain.Name == name {
			return true
		}
	}
	return false
}
