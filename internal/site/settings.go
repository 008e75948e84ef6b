// Package site defines the settings that a node gets from its deployment: its identity and addresses, the resources of its machine and the
// bounds that it must keep.
package site

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Listen holds the "IP:port" addresses of a node's listeners; an empty address disables the listener.
type Listen struct {
	// Callers is the address for callers' requests.
	Callers string
	// Readiness is the address for the platform's readiness probe.
	Readiness string
	// Addresses is the address where callers resolve the nodes to use.
	Addresses string
	// Peers is the address for other nodes.
	Peers string
	// Metrics is the address of the metrics endpoint.
	Metrics string
}

// ResourceLimits holds the resources of a VM that the process may use.
type ResourceLimits struct {
	// CPU is the share of a CPU core.
	CPU float64
	// MemoryBytes is the memory size above which the process is killed.
	MemoryBytes int64
	// MaxFiles is the maximum number of open file descriptors.
	MaxFiles int
	// Bandwidth is the bandwidth of the machine's link, in bits per second; 0 if unknown.
	Bandwidth float64
}

// Bounds holds the bounds that the deployment requires.
type Bounds struct {
	// MaxDrainDelay is the time after which a draining server must get no more requests.
	MaxDrainDelay time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// MaxApplyDelay is the time within which an accepted configuration must be in force on all nodes.
	MaxApplyDelay time.Duration
	// MaxRevocationDelay is the time after which no request with a revoked key may run, even on nodes that can't reach the store; 0 means
	// no bound.
	MaxRevocationDelay time.Duration
	// RetryRatio and RetrySlack bound the retries of a service's requests within RetryWindow, over all nodes, to
	// RetryRatio x requests + RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ExposureShare and ExposureSlack bound the requests that an unhealthy version gets to ExposureShare x requests + ExposureSlack.
	ExposureShare float64
	ExposureSlack float64
	// MaxRollbackDelay is the time after which an unhealthy version must get no more requests.
	MaxRollbackDelay time.Duration
	// WarmUpOvershoot and WarmUpSlack bound the requests that a cold server gets in any second, from all nodes together, to
	// WarmUpOvershoot x the requests a second that its service says it takes + WarmUpSlack; both are 0 if there is no bound.
	WarmUpOvershoot, WarmUpSlack float64
	// SessionTimeout is the time without requests after which a session ends.
	SessionTimeout time.Duration
	// MaxAddressTTL is the maximum time for which callers use resolved addresses.
	MaxAddressTTL time.Duration
}

// Store holds the address and the limits of the platform's store.
type Store struct {
	Address string
	// MinLease is the shortest TTL of a lease that the store accepts.
	MinLease time.Duration
	// History is how far back a watch can start.
	History time.Duration
	// ReadsPerSecond and WritesPerSecond limit the calls of all nodes together.
	ReadsPerSecond, WritesPerSecond float64
}

// Settings holds all settings that a node gets from its deployment.
type Settings struct {
	Node          api.NodeID
	FailureDomain api.FailureDomain
	// Regions holds the region of each failure domain that the deployment names, that of this node included.
	Regions   region.Map
	Listen    Listen
	Resources ResourceLimits
	Bounds    Bounds
	Store     Store
	// HeartbeatInterval is the interval at which a backend server renews its entry in the store.
	HeartbeatInterval time.Duration
}
