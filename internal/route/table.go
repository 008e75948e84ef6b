package route

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/monsoonrail/monsoonrail/internal/region"
)

// Table indexes the routes, services and teams of one configuration. It is read-only and safe for concurrent use.
type Table struct {
	Config Config
	// routes holds the routes of each host, those with the longest prefix first.
	routes   map[string][]*Route
	services map[Service]*ServiceInfo
	teams    map[Key]*TeamInfo
	// regions holds, of the hosts that have restricted routes, the regions that all of these routes share; routes without any allowed region don't count.
	regions map[string]region.Set
}

// NewTable indexes a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{
		Config:   cfg,
		routes:   make(map[string][]*Route),
		services: make(map[Service]*ServiceInfo, len(cfg.Services)),
		teams:    make(map[Key]*TeamInfo),
		regions:  make(map[string]region.Set),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
		// Nothing is served on a route without an allowed region, so that it doesn't matter where its callers connect.
		if r.Regions.IsRestricted() && !r.Regions.IsEmpty() {
			t.regions[host] = t.regions[host].Intersect(r.Regions)
		}
	}
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Teams {
		for _, key := range cfg.Teams[i].Keys {
			// A request without a key has the empty one.
			if key != "" {
				t.teams[key] = &cfg.Teams[i]
			}
		}
	}
	return t
}

// FindRoute returns the host's route with the longest matching path prefix, or nil. host may include a port.
func (t *Table) FindRoute(host, path string) *Route {
	for _, r := range t.routes[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HostRegions returns the regions that all restricted routes of a host share, but for routes without any allowed region; every region if none is restricted. host may include a port.
func (t *Table) HostRegions(host string) region.Set { return t.regions[hostName(host)] }

// hostName returns a Host header's value in lower case and without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// FindTeam returns the team to which a key belongs, or nil.
func (t *Table) FindTeam(key Key) *TeamInfo { return t.teams[key] }

// FindService returns the service with the given name, or nil.
func (t *Table) FindService(name Service) *ServiceInfo { return t.services[name] }

// NeedsKey reports whether requests of a route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return t.Config.Teams != nil && !r.IsPublic }
