package gateway

import (
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

// work is a request that was read and let in.
type work struct {
	RequestInfo
	route   *route.Route
	service *route.ServiceInfo
	team    *route.TeamInfo
	method  string
	target  string
	host    string
	// header is the caller's, free of those that concern one connection.
	header  http.Header
	body    []byte
	hasBody bool
	// arrived is when the head was read; deadline is when the caller or the route gives up, whichever is first.
	arrived  time.Time
	deadline time.Time
	// revision is that of the configuration by which the request was let in.
	revision route.Revision
}

// priority returns the request's rank; 0 is the most urgent.
func (w *work) priority() int {
	if w.team != nil && w.team.HasPriority {
		return w.team.Priority
	}
	return w.route.Priority
}

// teamName returns the team's name, empty for public routes.
func (w *work) teamName() route.Team {
	if w.team == nil {
		return ""
	}
	return w.team.Name
}

// affinity returns what the request has in common with others that a server may have cached: the last part that it shares, else
// its session, else nothing.
func (w *work) affinity() string {
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
