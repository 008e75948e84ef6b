// Package route defines the operators' configuration of routes, services and teams, and finds the route and team of a request.
package route

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/region"
)

// Named types of a configuration.
type (
	// Name names a route.
	Name string
	// Service names a group of backend servers that serve the same requests.
	Service string
	// Team is a customer, to whom keys belong.
	Team string
	// Key is the secret that authenticates a caller as a member of a team.
	Key string
	// Model names a model that the servers of a service run.
	Model string
	// ServiceVersion is the version of the software of a service's servers.
	ServiceVersion string
	// Revision orders configurations; a later one has a higher revision.
	Revision int64
)

// Kind determines whether a route's requests may be repeated and how they are answered.
type Kind int

// Kinds of routes.
const (
	// KindAtMostOnce is for requests that must run at most once.
	KindAtMostOnce Kind = iota
	// KindRepeatable is for requests that may be run again from the start.
	KindRepeatable
	// KindStream is for requests answered by a stream of events.
	KindStream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case KindRepeatable:
		return "repeatable"
	case KindStream:
		return "stream"
	default:
		return "at-most-once"
	}
}

// Target is a service to which a share of a route's requests goes.
type Target struct {
	Service Service
	// Weight is relative to the weights of the route's other targets; at least 0.
	Weight float64
}

// Route maps requests by host and path prefix to services.
type Route struct {
	Name Name
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// IsResumable means that a stream may be resumed at another server after the last event received.
	IsResumable bool
	// IsPublic means that requests need no key, whatever the configuration's teams are.
	IsPublic bool
	// Targets has at least one entry.
	Targets []Target
	// MaxAttempts is the maximum number of attempts of a request that may have run; at least 1.
	MaxAttempts int
	// Timeout bounds the duration of a request; 0 leaves it to the caller's timeout.
	Timeout time.Duration
	// TargetLatency is the target for the time to the complete answer, or to a stream's first event; 0 if there is none.
	TargetLatency time.Duration
	// MaxPause is the target for the longest pause between a stream's events; 0 on routes without streams.
	MaxPause time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Models are the models among which the node may choose, the smallest first; empty if the caller names the model.
	Models []Model
	// Regions holds the regions in which servers may run the route's requests.
	Regions region.Set
}

// MayRepeat reports whether a request of the route may be sent to another server after an attempt that may have run.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.IsResumable
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that a server runs at once in a batch.
	Slots int
	// CacheTokens is the number of tokens that fit in a server's cache.
	CacheTokens int
	// MaxPin is the longest time for which a server keeps the tokens of a finished request in its cache if the request asks for it.
	MaxPin time.Duration
	// Cost is the price of 1,000 generated tokens by model.
	Cost map[Model]float64
}

// WarmUp says how the servers of a service warm up; the zero value is that of servers that are never cold.
type WarmUp struct {
	// Duration is how long a server is cold after its start.
	Duration time.Duration
	// RequestsPerSecond is what a cold server takes from all nodes together; 0 means that it isn't limited.
	RequestsPerSecond float64
}

// ServiceInfo describes a service.
type ServiceInfo struct {
	Name Service
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// MaxConnections is the number of connections that a server accepts from all its clients together; 0 if unknown.
	MaxConnections int
	WarmUp         WarmUp
	// Engine is nil for services without models.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// TeamInfo is a team and its keys.
type TeamInfo struct {
	Name Team
	Keys []Key
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions holds the regions in which servers may run the team's requests.
	Regions region.Set
}

// Config is a complete configuration.
type Config struct {
	// Revision is the revision of the change that introduced the configuration.
	Revision Revision
	// Version is the operators' own version number of the configuration.
	Version  int64
	Routes   []Route
	Services []ServiceInfo
	Limits   Limits
	// Teams is nil if requests need no key. With an empty list they need one, which no team has.
	Teams []TeamInfo
}
