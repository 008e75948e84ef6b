// Package memfault is the network in memory with the faults that a played trace needs.
package memfault

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// Network is a network in memory whose hosts can be silent or down.
type Network struct {
	*memnet.Network

	mu sync.Mutex
	// ips holds every host, and whether it is down.
	ips map[string]bool
}

// New returns a network without hosts.
func New() *Network { return &Network{Network: memnet.New(), ips: make(map[string]bool)} }

// Host returns the network as the host with an IP number sees it.
func (n *Network) Host(ip string) tcp.Network {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.ips[ip]; !known {
		n.ips[ip] = false
	}
	return &host{Network: n.Network.Host(ip), all: n}
}

// Silence makes the open connections between a host, or any for "", and all others silent for good. It returns the
// number of pairs of hosts.
func (n *Network) Silence(ip string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	silenced := 0
	for a := range n.ips {
		for b := range n.ips {
			if a < b && (ip == "" || a == ip || b == ip) {
				n.Network.Silence(a, b)
				silenced++
			}
		}
	}
	return silenced
}

// Down refuses new connections to a host, as one whose process has ended, or takes that back.
func (n *Network) SetDown(ip string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ips[ip] = down
}

func (n *Network) isDown(address string) bool {
	ip, _, err := net.SplitHostPort(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	return err == nil && n.ips[ip]
}

// host is a host's own side of the network.
type host struct {
	tcp.Network
	all *Network
}

// DialContext implements tcp.Network.
func (h *host) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if h.all.isDown(address) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	return h.Network.DialContext(ctx, network, address)
}
