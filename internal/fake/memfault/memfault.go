// Package memfault extends the in-memory network of package memnet with the faults that replayed traces inject.
package memfault

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// Network is an in-memory network whose hosts can be silent or down.
type Network struct {
	*memnet.Network

	mu sync.Mutex
	// downByIP has an entry for every host, which is true while the host is down.
	downByIP map[string]bool
}

// New returns a network without hosts.
func New() *Network { return &Network{Network: memnet.New(), downByIP: make(map[string]bool)} }

// Host returns the network as seen by the host with an IP address.
func (n *Network) Host(ip string) tcp.Network {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, added := n.downByIP[ip]; !added {
		n.downByIP[ip] = false
	}
	return &host{Network: n.Network.Host(ip), owner: n}
}

// Silence makes the open connections between a host and all others silent permanently; "" means those of every host. It returns
// the number of pairs of hosts.
func (n *Network) Silence(ip string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	silenced := 0
	for a := range n.downByIP {
		for b := range n.downByIP {
			if a < b && (ip == "" || a == ip || b == ip) {
				n.Network.Silence(a, b)
				silenced++
			}
		}
	}
	return silenced
}

// SetDown makes new connections to a host fail, as if its process had ended, or makes them work again.
func (n *Network) SetDown(ip string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.downByIP[ip] = down
}

func (n *Network) isDown(address string) bool {
	ip, _, err := net.SplitHostPort(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	return err == nil && n.downByIP[ip]
}

// host is the network as seen by one host.
type host struct {
	tcp.Network
	owner *Network
}

// DialContext implements tcp.Network.
func (h *host) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if h.owner.isDown(address) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	return h.Network.DialContext(ctx, network, address)
}
