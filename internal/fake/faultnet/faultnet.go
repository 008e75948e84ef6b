// Package faultnet is the operating system's TCP with injectable faults between hosts, which are identified by IP address:
// open connections that go silent, and hosts that can't reach each other.
package faultnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// ErrCut is the error of a dial between two hosts that Cut has separated.
type ErrCut struct{ From, To string }

// Error implements error.
func (e *ErrCut) Error() string { return fmt.Sprintf("%s is cut from %s", e.From, e.To) }

// Network holds the faults and the open connections of all hosts.
type Network struct {
	mu sync.Mutex
	// conns holds the dialling end of every open connection.
	conns map[*conn]struct{}
	cuts  map[pair]bool
	down  map[string]bool
}

// pair is an unordered pair of hosts; a is the lesser of the two addresses.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a: a, b: b}
}

// New returns a network without faults.
func New() *Network {
	return &Network{conns: make(map[*conn]struct{}), cuts: make(map[pair]bool), down: make(map[string]bool)}
}

// Host returns the network as seen by the host with an IP address.
func (n *Network) Host(ip string) tcp.Network { return &host{network: n, ip: ip} }

// Silence makes every open connection of a host silent permanently: writes succeed, but no byte arrives any more.
// New connections work. An empty ip means all hosts. It returns the number of connections.
func (n *Network) Silence(ip string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	silenced := 0
	for c := range n.conns {
		if ip == "" || c.ends.a == ip || c.ends.b == ip {
			c.silence()
			silenced++
		}
	}
	return silenced
}

// Cut closes the connections between two hosts and makes new ones fail.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pairOf(a, b)] = true
	for c := range n.conns {
		if c.ends == pairOf(a, b) {
			_ = c.Conn.Close()
		}
	}
}

// SetDown makes new connections to a host fail, as if its process had ended, or makes them work again.
func (n *Network) SetDown(ip string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[ip] = down
}

// Heal undoes Cut for new connections.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, pairOf(a, b))
}

// host is the tcp.Network of one host of a Network.
type host struct {
	network *Network
	ip      string
}

// Listen implements tcp.Network.
func (h *host) Listen(ctx context.Context, address string) (net.Listener, error) {
	return tcp.System{}.Listen(ctx, address)
}

// DialContext implements tcp.Network.
func (h *host) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	ends := pairOf(h.ip, to)
	if h.network.isDown(to) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	if h.network.isCut(ends) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: &ErrCut{From: h.ip, To: to}}
	}
	dialled, err := tcp.System{}.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: dialled, network: h.network, ends: ends, silent: make(chan struct{}), closed: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.conns[c] = struct{}{}
	return c, nil
}

func (n *Network) isDown(ip string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down[ip]
}

func (n *Network) isCut(ends pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[ends]
}

// conn is the dialling end of a connection.
type conn struct {
	net.Conn
	network *Network
	ends    pair
	// silent is closed when the connection goes silent, closed when it is closed.
	silent    chan struct{}
	silencing sync.Once
	closed    chan struct{}
	closing   sync.Once
}

func (c *conn) silence() { c.silencing.Do(func() { close(c.silent) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. On a silent connection it blocks until Close.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. On a silent connection it drops all bytes.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closing.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
		err = c.Conn.Close()
	})
	return err
}
