package node

import (
	"net"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/connguard"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	// defaultMaxConns bounds the connections that others open if the descriptors aren't bounded, connsPerAnswer those for each answer that the node may hold, and
	// defaultConnBytes the memory of each connection if that of the machine is unknown.
	defaultMaxConns  = 50_000
	connsPerAnswer   = 2
	defaultConnBytes = 80 << 10
	// ceilingHeadTimeout bounds the time of a head that the guard doesn't bound; it is longer than the guard's, which refuses with 408.
	ceilingHeadTimeout = time.Minute
	// maxPeerHeadBytes and maxMetricsHeadBytes bound the head of a request at the listeners for peers and metrics.
	maxPeerHeadBytes    = 4 << 10
	maxMetricsHeadBytes = 16 << 10
	// maxFrameBytes bounds a frame of HTTP/2, maxUnreadBytes the data on a connection that has arrived and is not read.
	maxFrameBytes  = 16 << 10
	maxUnreadBytes = 64 << 10
	// peerPingInterval is the time without received data after which a peer's connection of HTTP/2 is checked by a ping, peerPingTimeout the wait for the reply.
	peerPingInterval = 30 * time.Second
	peerPingTimeout  = 15 * time.Second
)

// Names of the listeners.
const (
	callerAPI  = "caller-api"
	peerAPI    = "peer-api"
	metricsAPI = "metrics-api"
)

// guardShares are the parts of the descriptors and the memory of all listeners that each of them gets, so that a crowd at one leaves the others alone.
var guardShares = map[string]float64{callerAPI: 0.6, peerAPI: 0.3, metricsAPI: 0.1}

// newGuards returns the bounds of the node's listeners.
func (n *Node) newGuards() *connguard.Group {
	resources := n.opts.Settings.Resources
	conns := max(defaultMaxConns, connsPerAnswer*n.opts.Settings.Caller.MaxAnswers)
	return connguard.NewGroup(connguard.GroupOptions{
		Resources:    connguard.Resources{MemoryBytes: resources.MemoryBytes, MaxFiles: resources.MaxFiles},
		DefaultConns: conns, DefaultBytes: int64(conns) * defaultConnBytes,
		Shares: guardShares, Metrics: n.metrics, Log: n.log,
	})
}

// guardListener returns the listener with bounds on its connections, and the server for it.
func (n *Node) guardListener(name string, listener net.Listener, handler http.Handler) (net.Listener, *http.Server) {
	maxHead := n.opts.Settings.Caller.MaxHeaderBytes
	switch name {
	case peerAPI:
		maxHead = maxPeerHeadBytes
	case metricsAPI:
		maxHead = maxMetricsHeadBytes
	}
	limits := connguard.Limits{MaxHeadBytes: maxHead, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	guarded := n.guards.Guard(name, listener, connguard.Options{
		Limits: func() connguard.Limits { return limits }, CountsBodies: true, IsForPeers: name == peerAPI,
	})
	server := &http.Server{
		Handler: connguard.Handler(handler), ConnContext: connguard.ConnContext, ConnState: guarded.ConnState,
		ReadHeaderTimeout: ceilingHeadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
	}
	if name == peerAPI {
		// A connection of HTTP/2 that ends with open streams stays in memory until its idle timeout, since net/http starts the timer anew as it closes them.
		server.IdleTimeout = 0
		server.Protocols, server.HTTP2 = tcp.UnencryptedProtocols(), &http.HTTP2Config{
			MaxReadFrameSize: maxFrameBytes, MaxReceiveBufferPerConnection: maxUnreadBytes, MaxReceiveBufferPerStream: maxUnreadBytes,
			SendPingTimeout: peerPingInterval, PingTimeout: peerPingTimeout,
		}
	}
	return guarded, server
}

// noteAuthenticated lets the connection of a peer's request stay open whatever other clients do.
func noteAuthenticated(req *http.Request) { connguard.Authenticated(connguard.ConnOf(req)) }

// handleAuthenticated returns a handler for the requests of peers that have been authenticated.
func handleAuthenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		noteAuthenticated(req)
		next.ServeHTTP(w, req)
	})
}
