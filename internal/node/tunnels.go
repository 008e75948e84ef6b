package node

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/tunnel"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// helperInterval is how often the list of nodes that may open connections for this one is brought up to date.
	helperInterval = time.Second
	// serverDialTimeout bounds the time in which a connection to a server is opened.
	serverDialTimeout = 2 * time.Second
)

// tunnels opens connections to servers through other nodes where this node's own paths are lost, and connections for other nodes.
type tunnels struct {
	dialer  *tunnel.Dialer
	handler *tunnel.Handler
	// nodes holds the nodes that may open connections for this one. The list is not modified; a change replaces it.
	nodes atomic.Pointer[[]nodelist.Node]
	// servers holds the addresses of the servers to which other nodes may have connections opened. The map is not modified.
	servers atomic.Pointer[map[string]bool]
}

// makeTunnels makes the dialer of connections to servers, and the handler of those for other nodes.
func (n *Node) makeTunnels() {
	own, paths := n.opts.Settings.Node, new(tunnel.Paths)
	n.tunnels.nodes.Store(&[]nodelist.Node{})
	n.tunnels.servers.Store(&map[string]bool{})
	n.tunnels.dialer = tunnel.NewDialer(tunnel.DialerOptions{
		Network: n.opts.Network, Paths: paths, Timeout: serverDialTimeout, Log: n.log, Sign: n.peerKeys().SignConnect,
		Helpers: tunnel.NewHelpers(own.NodeID(), api.FailureDomain(own.FailureDomain), nil, n.tunnels.nodes.Load),
		CountTunnel: func(outcome tcp.DialOutcome) {
			n.metrics.Counter("server_tunnels", metric.Label{Name: "outcome", Value: string(outcome)}).Inc(1)
		},
		// The idle connections over the silent path would lose requests.
		OnSilent: func() { n.transport.CloseIdleConnections() },
	})
	n.tunnels.handler = tunnel.NewHandler(tunnel.HandlerOptions{
		Network: n.opts.Network, Paths: paths, IsStopping: n.draining.Load,
		TakesRequests: func(address string) bool { return (*n.tunnels.servers.Load())[address] },
	})
	n.parts.onClose = append(n.parts.onClose, n.tunnels.dialer.Close, n.tunnels.handler.Close)
}

// handleTunnels lets CONNECT requests of other nodes open connections to servers, and hands all other requests on.
func (n *Node) handleTunnels(others http.Handler) http.Handler {
	connect := n.peerKeys().RequireSignedConnect(n.tunnels.handler)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodConnect {
			connect.ServeHTTP(w, req)
			return
		}
		others.ServeHTTP(w, req)
	})
}

// updateServers takes over the servers of a new VM list.
func (t *tunnels) updateServers(snapshot *vmlist.Snapshot) {
	servers := make(map[string]bool, len(snapshot.Servers))
	for _, server := range snapshot.Servers {
		if !server.Leaving {
			servers[server.Address] = true
		}
	}
	t.servers.Store(&servers)
}

// followHelpers is a duty that keeps the list of nodes that may open connections for this one.
func (n *Node) followHelpers(ctx context.Context) error {
	return sleep.Every(ctx, helperInterval, func(time.Time) { n.updateHelpers() })
}

func (n *Node) updateHelpers() {
	var nodes []nodelist.Node
	for _, member := range n.cluster.exchange.Members() {
		if member.Node != n.opts.Settings.Node.NodeID() && !member.Draining {
			nodes = append(nodes, nodelist.Node{ID: member.Node, FailureDomain: member.FailureDomain, Peers: member.PeerAddress})
		}
	}
	before := *n.tunnels.nodes.Load()
	if slices.Equal(nodes, before) {
		return
	}
	n.tunnels.nodes.Store(&nodes)
	if slices.ContainsFunc(before, func(node nodelist.Node) bool { return !slices.Contains(nodes, node) }) {
		// Idle connections may lead through the node that leaves.
		n.transport.CloseIdleConnections()
	}
}
