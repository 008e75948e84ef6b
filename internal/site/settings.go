// Package site holds what a node learns at its start about itself, its machine and the bounds that its deployment states.
package site

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Listen holds the "IP:port" addresses of a node's listeners; one that is empty isn't served.
type Listen struct {
	// Callers is that of the callers' requests.
	Callers string
	// Readiness is that of the readiness probe.
	Readiness string
	// Addresses is that where callers ask which nodes to use.
	Addresses string
	// Peers is that of other nodes.
	Peers string
	// Metrics is that of the metrics.
	Metrics string
}

// ResourceLimits is the share of a VM that the process may use.
type ResourceLimits struct {
	// CPU is the share of a core.
	CPU float64
	// MemoryBytes is the size over which the process is killed.
	MemoryBytes int64
	// MaxFiles bounds open descriptors.
	MaxFiles int
}

// Bounds are the times and shares that the deployment asks for.
type Bounds struct {
	// MaxDrainDelay is the time after which a leaving server gets no more requests.
	MaxDrainDelay time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// MaxApplyDelay is the time within which an accepted configuration is in force.
	MaxApplyDelay time.Duration
	// MaxRevocationDelay is the time after which a revoked key runs nothing, also on nodes without the store; 0 if not asked for.
	MaxRevocationDelay time.Duration
	// RetryRatio and RetrySlack bound the repeats of a service's requests in RetryWindow, over all nodes:
	// at most ratio x requests + slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ExposureShare and ExposureSlack bound the requests of a bad version: share x requests + slack.
	ExposureShare float64
	ExposureSlack float64
	// MaxRollbackDelay is the time within which a bad version gets no more requests.
	MaxRollbackDelay time.Duration
	// SessionTimeout is the pause after which a session has ended.
	SessionTimeout time.Duration
	// MaxAddressTTL is the longest that callers keep an address answer.
	MaxAddressTTL time.Duration
}

// Store says where the platform's store is and what it takes.
type Store struct {
	Address string
	// MinLease is the shortest lease.
	MinLease time.Duration
	// History is how far back a watch can begin.
	History time.Duration
	// ReadsPerSecond and WritesPerSecond bound the calls of all nodes together.
	ReadsPerSecond, WritesPerSecond float64
}

// Settings is what a node learns at its start.
type Settings struct {
	Node          api.NodeID
	FailureDomain api.FailureDomain
	Region        string
	Listen        Listen
	Resources     ResourceLimits
	Bounds        Bounds
	Store         Store
	// HeartbeatInterval is how often a backend server renews its entry in the store.
	HeartbeatInterval time.Duration
}
