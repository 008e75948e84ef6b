// Package configcheck finds what is wrong with a configuration of routes, services and teams before it is sent: entries that can never match, and limits
// that contradict each other. It also tells what differs from the configuration in force. It has no input or output.
package configcheck

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Finding is one fault of a configuration.
type Finding struct {
	// Path names a setting by the fields of route.Config, with the names of entries in brackets: "Routes[chat].Prefix".
	Path string
	// Detail describes the fault, Allowed the values that are none.
	Detail, Allowed string
}

// Deployment is what is known of the nodes and servers for which a configuration is meant; what is unknown is zero and not checked.
type Deployment struct {
	// BodyMemory is the memory in bytes that the smallest node has for requests' bodies, and MaxHeaderBytes the largest head that nodes read.
	BodyMemory     int64
	MaxHeaderBytes int
	// MaxHeadTimeout and MaxIdleTimeout are the longest timeouts of connections that nodes keep to.
	MaxHeadTimeout, MaxIdleTimeout time.Duration
	// Servers holds the number of servers of each service.
	Servers map[route.Service]int
	// Regions holds the regions of the failure domains.
	Regions region.Map
}

// Check returns the faults of a configuration, ordered by path.
func Check(cfg route.Config, on Deployment) []Finding {
	c := &checker{cfg: cfg, table: route.NewTable(cfg), on: on}
	c.checkRoutes()
	c.checkServices()
	c.checkTeams()
	c.checkLimits()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(a.Path, b.Path) })
	return c.findings
}

// checker collects the faults of one configuration.
type checker struct {
	cfg      route.Config
	table    *route.Table
	on       Deployment
	findings []Finding
}

func (c *checker) add(path, allowed, detail string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Detail: fmt.Sprintf(detail, args...), Allowed: allowed})
}

// hostPrefix is what requests of a route begin with.
type hostPrefix struct{ host, prefix string }

func (c *checker) checkRoutes() {
	names := make(map[route.Name]bool)
	first := make(map[hostPrefix]route.Name)
	for i := range c.cfg.Routes {
		r := &c.cfg.Routes[i]
		path := fmt.Sprintf("Routes[%s]", r.Name)
		if names[r.Name] {
			c.add(path+".Name", "each name once", "another route has the name")
		}
		names[r.Name] = true
		place := hostPrefix{strings.ToLower(r.Host), r.Prefix}
		if other, isTaken := first[place]; isTaken {
			c.add(path+".Prefix", "each prefix of a host once", "never matches: route %s comes first for %s%s", other, place.host, r.Prefix)
		} else {
			first[place] = r.Name
		}
		if _, _, err := net.SplitHostPort(r.Host); err == nil || r.Host == "" || strings.ContainsAny(r.Host, "/ ") {
			c.add(path+".Host", "a name without a port", "never matches: %q", r.Host)
		}
		if strings.ContainsAny(r.Prefix, "?#") {
			c.add(path+".Prefix", "a path without ? and #", "never matches: %q", r.Prefix)
		}
		c.checkTargets(path, r)
		c.checkTimes(path, r)
		c.checkRegions(path, r.Regions)
	}
}

// checkTargets checks the services and models of a route.
func (c *checker) checkTargets(path string, r *route.Route) {
	total, known, hasUnknown := 0.0, 0, false
	for _, target := range r.Targets {
		total += target.Weight
		service := c.table.FindService(target.Service)
		if service == nil {
			c.add(path+".Targets", c.serviceNames(), "service %q doesn't exist", target.Service)
			continue
		}
		for _, model := range r.Models {
			if service.Engine == nil {
				c.add(path+".Models", "none for a service without models", "service %s has no model %s", service.Name, model)
			} else if _, ok := service.Engine.Cost[model]; !ok {
				c.add(path+".Models", modelNames(service), "service %s has no model %s", service.Name, model)
			}
		}
		if target.Weight == 0 && len(r.Targets) > 1 {
			c.add(path+".Targets", "above 0", "service %s gets no requests: its weight is 0", target.Service)
		}
		count, ok := c.on.Servers[target.Service]
		hasUnknown = hasUnknown || !ok && target.Weight > 0
		if ok && target.Weight > 0 {
			known = max(known, count)
		}
		if ok && count == 0 {
			c.add(path+".Targets", "a service with servers", "service %s has no servers", target.Service)
		}
	}
	if total <= 0 {
		c.add(path+".Targets", "one above 0 at least", "no requests are served: the weights are 0")
	}
	if known > 0 && !hasUnknown && r.MaxAttempts > known {
		c.add(path+".MaxAttempts", fmt.Sprintf("1 to %d", known), "%d attempts at %d servers", r.MaxAttempts, known)
	}
}

// checkTimes checks that a route's targets can be met within its timeout.
func (c *checker) checkTimes(path string, r *route.Route) {
	if r.Timeout <= 0 {
		return
	}
	for _, limit := range []struct {
		field string
		value time.Duration
	}{{"TargetLatency", r.TargetLatency}, {"MaxPause", r.MaxPause}} {
		if limit.value > r.Timeout {
			c.add(path+"."+limit.field, "up to the timeout, "+r.Timeout.String(), "%v is above the timeout", limit.value)
		}
	}
}

// checkRegions checks that servers may be in the regions of a set.
func (c *checker) checkRegions(path string, regions region.Set) {
	if regions.IsEmpty() {
		c.add(path+".Regions", "a region, or no list", "no requests are served: the list is empty")
	}
	if len(c.on.Regions) == 0 {
		return
	}
	var known []string
	for _, r := range c.on.Regions {
		known = append(known, string(r))
	}
	slices.Sort(known)
	known = slices.Compact(known)
	for _, r := range regions.List() {
		if !slices.Contains(known, string(r)) {
			c.add(path+".Regions", strings.Join(known, ", "), "region %q doesn't exist", r)
		}
	}
}

func (c *checker) checkServices() {
	names := make(map[route.Service]bool)
	for i := range c.cfg.Services {
		service := &c.cfg.Services[i]
		path := fmt.Sprintf("Services[%s]", service.Name)
		if names[service.Name] {
			c.add(path+".Name", "each name once", "another service has the name")
		}
		names[service.Name] = true
		isUsed := slices.ContainsFunc(c.cfg.Routes, func(r route.Route) bool {
			return slices.ContainsFunc(r.Targets, func(target route.Target) bool { return target.Service == service.Name })
		})
		if !isUsed {
			c.add(path, "", "no route sends requests there")
		}
		warmUp := service.WarmUp
		switch {
		case warmUp.RequestsPerSecond > 0 && warmUp.Duration <= 0:
			c.add(path+".WarmUp.RequestsPerSecond", "a warm-up with a duration", "never holds: the servers have no warm-up")
		case warmUp.RequestsPerSecond > 0 && warmUp.RequestsPerSecond*warmUp.Duration.Seconds() < 1:
			c.add(path+".WarmUp.RequestsPerSecond", fmt.Sprintf("%.3g or more", 1/warmUp.Duration.Seconds()),
				"no release can pass: a new server gets no request in its warm-up of %v", warmUp.Duration)
		}
		if service.Engine != nil && service.Engine.Slots < 1 {
			c.add(path+".Engine.Slots", "1 or more", "%d", service.Engine.Slots)
		}
	}
}

func (c *checker) checkTeams() {
	names := make(map[route.Team]bool)
	last := make(map[route.Key]route.Team)
	for _, team := range c.cfg.Teams {
		for _, key := range team.Keys {
			last[key] = team.Name
		}
	}
	needsKey := func(r route.Route) bool { return c.table.NeedsKey(&r) }
	if len(c.cfg.Teams) == 0 && slices.ContainsFunc(c.cfg.Routes, needsKey) {
		c.add("Teams", "a team with a key, or no list", "no request that needs a key is accepted: the list is empty")
	}
	for i := range c.cfg.Teams {
		team := &c.cfg.Teams[i]
		path := fmt.Sprintf("Teams[%s]", team.Name)
		if names[team.Name] {
			c.add(path+".Name", "each name once", "another team has the name")
		}
		names[team.Name] = true
		if len(team.Keys) == 0 {
			c.add(path+".Keys", "at least one", "the team has no keys: none of its requests is accepted")
		}
		for n, key := range team.Keys {
			if last[key] != team.Name {
				c.add(path+".Keys", "each key once", "key %d never matches for the team: team %s has it, too", n+1, last[key])
			}
		}
		c.checkRegions(path, team.Regions)
		for _, r := range c.cfg.Routes {
			// An empty list is a finding of its own.
			isListEmpty := r.Regions.IsEmpty() || team.Regions.IsEmpty()
			if both := r.Regions.Intersect(team.Regions); !r.IsPublic && !isListEmpty && both.IsEmpty() {
				c.add(path+".Regions", joinRegions(r.Regions)+", or all", "none of the team's requests on route %s is served: they have no region in common", r.Name)
			}
		}
	}
}

func (c *checker) checkLimits() {
	limits := c.cfg.Limits
	if c.on.BodyMemory > 0 && limits.MaxBodyBytes > c.on.BodyMemory {
		c.add("Limits.MaxBodyBytes", fmt.Sprintf("up to %d", c.on.BodyMemory), "%d bytes are more than the smallest node holds", limits.MaxBodyBytes)
	}
	if c.on.MaxHeaderBytes > 0 && limits.MaxHeaderBytes > c.on.MaxHeaderBytes {
		c.add("Limits.MaxHeaderBytes", fmt.Sprintf("up to %d", c.on.MaxHeaderBytes), "%d bytes are more than nodes read", limits.MaxHeaderBytes)
	}
	for _, limit := range []struct {
		field       string
		value, most time.Duration
	}{{"HeaderTimeout", limits.HeaderTimeout, c.on.MaxHeadTimeout}, {"IdleTimeout", limits.IdleTimeout, c.on.MaxIdleTimeout}} {
		if limit.most > 0 && limit.value > limit.most {
			c.add("Limits."+limit.field, fmt.Sprintf("up to %v", limit.most), "%v is longer than nodes wait", limit.value)
		}
	}
}

func (c *checker) serviceNames() string {
	var names []string
	for _, service := range c.cfg.Services {
		names = append(names, string(service.Name))
	}
	return strings.Join(names, ", ")
}

func modelNames(service *route.ServiceInfo) string {
	var names []string
	for model := range service.Engine.Cost {
		names = append(names, string(model))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func joinRegions(set region.Set) string {
	return join(set.List(), func(r api.Region) string { return string(r) })
}

// join returns the texts of items, separated by commas.
func join[T any](items []T, text func(T) string) string {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = text(item)
	}
	return strings.Join(texts, ", ")
}
