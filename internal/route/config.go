// Package route holds the operators' configuration of routes, services and teams, and finds the route and team of a request.
package route

import (
	"time"
)

// Named values of a configuration.
type (
	// Name is that of a route.
	Name string
	// Service names a group of backend servers that serve the same requests.
	Service string
	// Team is a customer, to whom keys belong.
	Team string
	// Key is the secret with which a caller shows its team.
	Key string
	// Model names a model that the servers of a service hold.
	Model string
	// ServiceVersion is the version of the software of a service's servers.
	ServiceVersion string
	// Revision orders configurations; a later one has a higher revision.
	Revision int64
)

// Kind tells what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	// KindAtMostOnce is of requests that run at most once.
	KindAtMostOnce Kind = iota
	// KindRepeatable is of requests that may run again from the start.
	KindRepeatable
	// KindStream is of requests answered by a stream of events.
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
	// Weight is relative to those of the route's other targets; at least 0.
	Weight float64
}

// Route says where the requests of a host and a path prefix go.
type Route struct {
	Name Name
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// IsResumable tells that a stream may go on at another server after the last event received.
	IsResumable bool
	// IsPublic tells that no key is needed.
	IsPublic bool
	// Targets has at least one entry.
	Targets []Target
	// MaxAttempts is the most servers to which one request is sent; at least 1.
	MaxAttempts int
	// Timeout is the longest time that a caller is kept waiting; 0 means no bound but the caller's.
	Timeout time.Duration
	// TargetLatency is the time to the whole answer, or to a stream's first event, within which it is on time.
	TargetLatency time.Duration
	// MaxPause is the longest pause between a stream's events within which it is on time; 0 on other routes.
	MaxPause time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Models are those among which the router may choose, the smallest first; empty where the caller names one.
	Models []Model
}

// MayRepeat reports whether a request of the route may reach a second server after the first may have begun to run it.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.IsResumable
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is how many requests a server batches.
	Slots int
	// CacheTokens is how many tokens a server's memory holds.
	CacheTokens int
	// MaxPin bounds how long a server keeps a finished request's tokens on request.
	MaxPin time.Duration
	// Cost is each model's price for 1,000 generated tokens.
	Cost map[Model]float64
}

// ServiceInfo describes a service.
type ServiceInfo struct {
	Name Service
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// MaxConnections is how many connections a server takes from all its callers together; 0 if unknown.
	MaxConnections int
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
	// Priority goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Config is a whole configuration.
type Config struct {
	// Revision is that of the change which brought the configuration.
	Revision Revision
	// Version is the operators' own number of it.
	Version  int64
	Routes   []Route
	Services []ServiceInfo
	Limits   Limits
	// Teams is empty where requests need no key.
	Teams []TeamInfo
}
