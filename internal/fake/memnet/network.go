// Package memnet is an in-memory TCP network for tests, with several hosts and injectable faults.
//
// All waits are on channels and timers, so that it works within testing/synctest bubbles; the network
// must then be created inside the bubble.
package memnet

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout is the timeout of dials, the same as that of tcp.System.
	dialTimeout = 2 * time.Second
	// backlog bounds the connections that wait for Accept; further connections are refused.
	backlog = 1024
	// firstEphemeralPort is the start of the range of ports for dialers and for listeners on port 0.
	firstEphemeralPort = 32768
)

// link is an ordered pair of hosts.
type link struct{ from, to string }

// linkState holds the delay and the faults of a link.
type linkState struct {
	delay time.Duration
	// cut makes dials fail at once.
	cut bool
	// blackhole makes dials time out.
	blackhole bool
	// refused makes dials be refused.
	refused bool
}

// Network connects hosts; the zero value is not usable.
type Network struct {
	mu    sync.Mutex
	hosts map[string]*Host
	links map[link]linkState
	// conns holds both ends of every open connection.
	conns map[*conn]struct{}
	// paused holds the hosts whose connections deliver nothing until Resume.
	paused map[string]bool
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		hosts:  make(map[string]*Host),
		links:  make(map[link]linkState),
		conns:  make(map[*conn]struct{}),
		paused: make(map[string]bool),
	}
}

// Host is one machine of the network and implements tcp.Network.
type Host struct {
	network *Network
	// ip is the host's address as callers of Network.Host write it.
	ip string
	// listeners is keyed by port and guarded by network.mu.
	listeners map[int]*listener
	lastPort  int
	// uplink and downlink are nil if the host's link is not limited; guarded by network.mu.
	uplink, downlink *sharedLink
}

// Host returns the host with an IP address and adds it if it is new; it panics if ip is not an IP address.
func (n *Network) Host(ip string) *Host {
	netip.MustParseAddr(ip)
	n.mu.Lock()
	defer n.mu.Unlock()
	host := n.hosts[ip]
	if host == nil {
		host = &Host{network: n, ip: ip, listeners: make(map[int]*listener), lastPort: firstEphemeralPort}
		n.hosts[ip] = host
	}
	return host
}

// OpenConns returns the number of open connection ends of a host.
func (n *Network) OpenConns(ip string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.local.IP.String() == ip {
			count++
		}
	}
	return count
}

// Listen listens on a port of the host; the address's host is empty, unspecified or the host's own.
func (h *Host) Listen(_ context.Context, address string) (net.Listener, error) {
	ip, port, err := splitAddress(address)
	if err != nil {
		return nil, err
	}
	if ip != "" && ip != h.ip && !netip.MustParseAddr(ip).IsUnspecified() {
		return nil, opError("listen", h.ip, port, syscall.EADDRNOTAVAIL)
	}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if port == 0 {
		port = h.nextPort()
	}
	if h.listeners[port] != nil {
		return nil, opError("listen", h.ip, port, syscall.EADDRINUSE)
	}
	l := &listener{
		host:    h,
		address: tcpAddr(h.ip, port),
		queue:   make(chan *conn, backlog),
		closed:  make(chan struct{}),
	}
	h.listeners[port] = l
	return l, nil
}

// nextPort returns a port that no listener of the host uses; the caller holds network.mu.
func (h *Host) nextPort() int {
	for {
		h.lastPort++
		if h.listeners[h.lastPort] == nil {
			return h.lastPort
		}
	}
}

// DialContext connects to a listener of any host.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	ip, port, err := splitAddress(address)
	if err != nil {
		return nil, err
	}
	state := h.network.state(link{h.ip, ip})
	switch {
	case state.cut:
		return nil, opError("dial", ip, port, syscall.EHOSTUNREACH)
	case state.refused:
		return nil, opError("dial", ip, port, syscall.ECONNREFUSED)
	case state.blackhole:
		return nil, opError("dial", ip, port, wait(ctx, dialTimeout, os.ErrDeadlineExceeded))
	}
	if err := wait(ctx, 2*state.delay, nil); err != nil {
		return nil, opError("dial", ip, port, err)
	}
	return h.connect(ip, port)
}

func (h *Host) connect(ip string, port int) (net.Conn, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	peer := h.network.hosts[ip]
	if peer == nil || peer.listeners[port] == nil {
		return nil, opError("dial", ip, port, syscall.ECONNREFUSED)
	}
	toServer := newHalfConn(h.network.links[link{h.ip, ip}].delay, h.uplink, peer.downlink)
	toClient := newHalfConn(h.network.links[link{ip, h.ip}].delay, peer.uplink, h.downlink)
	toServer.paused = h.network.paused[h.ip] || h.network.paused[ip]
	toClient.paused = toServer.paused
	local, remote := tcpAddr(h.ip, h.nextPort()), tcpAddr(ip, port)
	client := &conn{network: h.network, local: local, remote: remote, in: toClient, out: toServer}
	server := &conn{network: h.network, local: remote, remote: local, in: toServer, out: toClient}
	select {
	case peer.listeners[port].queue <- server:
	default:
		return nil, opError("dial", ip, port, syscall.ECONNREFUSED)
	}
	h.network.conns[client] = struct{}{}
	h.network.conns[server] = struct{}{}
	return client, nil
}

func (n *Network) state(l link) linkState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[l]
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// wait returns err after d, or the context's error if the context ends first.
func wait(ctx context.Context, d time.Duration, err error) error {
	if ctx.Err() != nil || d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return err
	}
}

func splitAddress(address string) (string, int, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	if host != "" {
		if _, err := netip.ParseAddr(host); err != nil {
			return "", 0, &net.AddrError{Err: "host is not an IP number", Addr: address}
		}
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return "", 0, &net.AddrError{Err: "bad port", Addr: address}
	}
	return host, int(port), nil
}

func tcpAddr(ip string, port int) *net.TCPAddr {
	return &net.TCPAddr{IP: net.ParseIP(ip), Port: port}
}

func opError(op, ip string, port int, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: tcpAddr(ip, port), Err: err}
}
