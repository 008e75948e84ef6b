package edge

import (
	"net"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/connguard"
	"github.com/monsoonrail/monsoonrail/internal/eventlog"
)

const (
	// defaultMaxConns bounds the connections that others open if the descriptors aren't bounded, and defaultConnMemory their memory if that of the machine is unknown.
	defaultMaxConns   = 10_000
	defaultConnMemory = defaultMaxConns * 32 << 10
	// CeilingHeadTimeout, CeilingIdleTimeout and CeilingHeaderBytes hold even if operators allow more.
	CeilingHeadTimeout = time.Minute
	CeilingIdleTimeout = 10 * time.Minute
	CeilingHeaderBytes = 1 << 20
)

// callersListener is the name of the listener for callers' requests.
const callersListener = "callers"

// guardShares are the parts of the descriptors and the memory of all listeners that each of them gets, so that a crowd at one leaves the others alone.
var guardShares = map[string]float64{callersListener: 0.4, "peers": 0.3, "addresses": 0.15, "readiness": 0.1, "metrics": 0.05}

// newGuards returns the bounds of the node's listeners.
func (n *Node) newGuards() *connguard.Group {
	return connguard.NewGroup(connguard.GroupOptions{
		Resources: n.resources(), DefaultConns: defaultMaxConns, DefaultBytes: defaultConnMemory, Shares: guardShares,
		Metrics: n.metrics, MetricPrefix: "monsoonrail_edge_", Log: n.log,
	})
}

// resources returns what the node may use of its machine.
func (n *Node) resources() connguard.Resources {
	limits := n.opts.Settings.Resources
	return connguard.Resources{MemoryBytes: limits.MemoryBytes, MaxFiles: limits.MaxFiles}
}

// guard returns the server of a listener with bounds on its connections.
func (n *Node) guard(name string, listener net.Listener, handler http.Handler) *httpServer {
	limits := n.headLimits
	if name != callersListener && name != "addresses" {
		// Operators' limits are those of callers.
		limits = defaultHeadLimits
	}
	guarded := n.guards.Guard(name, listener, connguard.Options{Limits: limits})
	return &httpServer{name: name, listener: guarded, server: &http.Server{
		Handler:           connguard.Handler(handler),
		ReadHeaderTimeout: CeilingHeadTimeout, IdleTimeout: CeilingIdleTimeout, MaxHeaderBytes: CeilingHeaderBytes,
		ErrorLog:    eventlog.StandardLogger(n.log.WithField("server", name), "connection failed"),
		ConnContext: connguard.ConnContext, ConnState: guarded.ConnState,
	}}
}

// defaultHeadLimits returns the limits of a request's head that operators don't set.
func defaultHeadLimits() connguard.Limits {
	return connguard.Limits{MaxHeadBytes: MaxHeaderBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// headLimits returns the limits of a request's head in the configuration in force.
func (n *Node) headLimits() connguard.Limits {
	limits := defaultHeadLimits()
	table := n.activeConfig.Current()
	if table == nil {
		return limits
	}
	inForce := table.Config.Limits
	if inForce.MaxHeaderBytes > 0 {
		limits.MaxHeadBytes = inForce.MaxHeaderBytes
	}
	if inForce.HeaderTimeout > 0 {
		limits.HeadTimeout = inForce.HeaderTimeout
	}
	if inForce.IdleTimeout > 0 {
		limits.IdleTimeout = inForce.IdleTimeout
	}
	return limits
}
