package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/connguard"
	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/gateway"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	// connMemoryShare is the share of the machine's memory that connections without an admitted request and the heads of requests take, and defaultConnMemory
	// their bound if that memory is unknown.
	connMemoryShare   = 0.25
	defaultConnMemory = defaultMaxConns * 32 << 10
	// reservedFiles of the process's descriptors are for files; listenedShare of the others is for connections that others open, the rest for this node's own.
	reservedFiles = 200
	listenedShare = 0.7
	// minGuardedConns is the least bound of a listener, defaultMaxConns that of all together if the descriptors aren't bounded.
	minGuardedConns = 8
	defaultMaxConns = 10_000
	// CeilingHeadTimeout, CeilingIdleTimeout and CeilingHeaderBytes hold even if operators allow more.
	CeilingHeadTimeout = time.Minute
	CeilingIdleTimeout = 10 * time.Minute
	CeilingHeaderBytes = 1 << 20
	// guardInterval is the interval at which connections that take too long are closed and what was closed is logged.
	guardInterval = 500 * time.Millisecond
)

// callersListener is the name of the listener for callers' requests.
const callersListener = "callers"

// guardShares are the parts of the descriptors and the memory of all listeners that each of them gets, so that a crowd at one leaves the others alone.
var guardShares = map[string]float64{callersListener: 0.4, "peers": 0.3, "addresses": 0.15, "readiness": 0.1, "metrics": 0.05}

// guards bounds the connections of the node's listeners.
type guards struct {
	listeners map[string]*connguard.Listener

	mu sync.Mutex
	// closed counts the connections that were closed or refused since the last log line, by listener and cause.
	closed map[string]map[connguard.Cause]int
}

// guard returns the server of a listener with bounds on its connections.
func (n *Node) guard(name string, listener net.Listener, handler http.Handler) *httpServer {
	resources := n.opts.Settings.Resources
	memory, conns := float64(defaultConnMemory), float64(defaultMaxConns)
	if resources.MemoryBytes > 0 {
		memory = connMemoryShare * float64(resources.MemoryBytes)
	}
	if resources.MaxFiles > reservedFiles {
		conns = listenedShare * float64(resources.MaxFiles-reservedFiles)
	}
	share, limits := guardShares[name], n.headLimits
	if name != callersListener && name != "addresses" {
		// Operators' limits are those of callers.
		limits = defaultHeadLimits
	}
	maxConns := max(minGuardedConns, int(share*conns))
	if resources.MemoryBytes > 0 {
		n.boundQueue(name, listener, min(maxConns, max(minGuardedConns, int(share*memory/connguard.ConnBytes))))
	}
	guarded := connguard.New(connguard.Options{
		Listener: listener, MaxConns: maxConns, MaxBytes: int64(share * memory), Limits: limits,
		Count: func(cause connguard.Cause) { n.countClosed(name, cause) },
	})
	n.guards.listeners[name] = guarded
	return &httpServer{name: name, listener: guarded, server: &http.Server{
		Handler:           connguard.Handler(handler, gateway.CallerConn),
		ReadHeaderTimeout: CeilingHeadTimeout, IdleTimeout: CeilingIdleTimeout, MaxHeaderBytes: CeilingHeaderBytes,
		ErrorLog:    eventlog.StandardLogger(n.log.WithField("server", name), "connection failed"),
		ConnContext: gateway.ConnContext, ConnState: guarded.ConnState,
	}}
}

// boundQueue bounds the connections that a listener hasn't accepted yet, and what is unread on each connection.
func (n *Node) boundQueue(name string, listener net.Listener, maxConns int) {
	if err := tcp.BoundQueue(listener, maxConns, connguard.ConnBytes); err != nil {
		n.log.WithField("listener", name).WithError(err).Warn("could not bound the queue of new connections")
	}
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

// countClosed counts a connection that was closed or refused.
func (n *Node) countClosed(listener string, cause connguard.Cause) {
	n.metrics.Counter("monsoonrail_edge_closed_connections", metric.Label{Name: "listener", Value: listener}, metric.Label{Name: "cause", Value: string(cause)}).Inc(1)
	if cause == connguard.IdleTooLong {
		return
	}
	n.guards.mu.Lock()
	defer n.guards.mu.Unlock()
	if n.guards.closed[listener] == nil {
		n.guards.closed[listener] = make(map[connguard.Cause]int)
	}
	n.guards.closed[listener][cause]++
}

// sweepConnections closes the connections that take too long, and logs what was closed.
func (n *Node) sweepConnections(ctx context.Context) error {
	return sleep.Every(ctx, guardInterval, func(now time.Time) {
		for _, listener := range n.guards.listeners {
			listener.Sweep(now)
		}
		n.logClosed()
	})
}

// logClosed logs the connections that were closed or refused since the last call.
func (n *Node) logClosed() {
	n.guards.mu.Lock()
	closed := n.guards.closed
	n.guards.closed = make(map[string]map[connguard.Cause]int)
	n.guards.mu.Unlock()
	for listener, causes := range closed {
		for cause, count := range causes {
			n.log.WithFields(log.Fields{"listener": listener, "cause": string(cause), "connections": count}).Warn("connections closed")
		}
	}
}

// gaugeConnections updates the gauges of open connections and of their memory.
func (n *Node) gaugeConnections() {
	for name, listener := range n.guards.listeners {
		conns, bytes := listener.Usage()
		label := metric.Label{Name: "listener", Value: name}
		n.metrics.Gauge("monsoonrail_edge_open_connections", label).Update(int64(conns))
		n.metrics.Gauge("monsoonrail_edge_connection_memory_bytes", label).Update(bytes)
	}
}
