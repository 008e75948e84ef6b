package gateway

import (
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// admittedRequest is a request that was read and passed admit.
type admittedRequest struct {
	RequestInfo
	route   *route.Route
	service *route.ServiceInfo
	team    *route.TeamInfo
	method  string
	target  string
	host    string
	// header is the caller's header without hop-by-hop fields.
	header  http.Header
	body    []byte
	hasBody bool
	// arrived is when the head was read; deadline is when the caller's or the route's timeout ends, whichever is first.
	arrived  time.Time
	deadline time.Time
	// revision is the revision of the configuration by which the request was admitted.
	revision route.Revision
}

// priority returns the request's priority, the team's if it has one and the route's otherwise; 0 is the most urgent.
func (w *admittedRequest) priority() int {
	if w.team != nil && w.team.HasPriority {
		return w.team.Priority
	}
	return w.route.Priority
}

// regions returns the regions in which servers may run the request: those of the route that are also allowed to the team.
func (w *admittedRequest) regions() region.Set {
	if w.team == nil {
		return w.route.Regions
	}
	return w.route.Regions.Intersect(w.team.Regions)
}

// teamName returns the name of the team; empty if the route needs no key.
func (w *admittedRequest) teamName() route.Team {
	if w.team == nil {
		return ""
	}
	return w.team.Name
}

// affinityKey returns the key that the request shares with others whose prompts a server may have cached: the last shared part of the
// prompt, else the session, else the only part; empty if it has none of them.
func (w *admittedRequest) affinityKey() string {
	if n := len(w.Parts); n >= 2 {
		return w.Parts[n-2].ID
	}
	if w.Session != "" {
		return w.Session
	}
	if len(w.Parts) > 0 {
		return w.Parts[0].ID
	}
	return ""
}
