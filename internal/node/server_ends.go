package node

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/registry"
)

const (
	// maxQueuedAddresses bounds the closed connections whose servers await a probe.
	maxQueuedAddresses = 256
	// minProbeInterval is the least time between two probes of a server because of closed connections.
	minProbeInterval = 250 * time.Millisecond
	// probeConcurrency bounds the probes in flight.
	probeConcurrency = 16
)

// closedConnections queues backend servers that closed a connection. Probing them detects a crash at once, even if this node
// has no request in flight on the server.
type closedConnections struct {
	// addresses queues the servers' addresses. Addresses that don't fit are dropped: the next load poll that fails detects a
	// crash too.
	addresses chan string
	// probed holds the time of the last probe by address. Only the probing duty uses it.
	probed map[string]time.Time
}

func newClosedConnections() *closedConnections {
	return &closedConnections{addresses: make(chan string, maxQueuedAddresses), probed: make(map[string]time.Time)}
}

// add queues the address of a server that closed a connection. It does not block.
func (e *closedConnections) add(address string) {
	select {
	case e.addresses <- address:
	default:
	}
}

// isProbeDue reports whether to probe a server now, and if so records the probe.
func (e *closedConnections) isProbeDue(address string, now time.Time) bool {
	if now.Sub(e.probed[address]) < minProbeInterval {
		return false
	}
	for other, at := range e.probed {
		if now.Sub(at) >= minProbeInterval {
			delete(e.probed, other)
		}
	}
	e.probed[address] = now
	return true
}

// probeClosedConnections is a duty that probes servers that closed connections.
func (n *Node) probeClosedConnections(ctx context.Context) error {
	slots := make(chan struct{}, probeConcurrency)
	var probing sync.WaitGroup
	defer probing.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case address := <-n.closedConns.addresses:
			server := n.serverAt(address)
			if server == nil || !n.closedConns.isProbeDue(address, time.Now()) {
				continue
			}
			slots <- struct{}{}
			probing.Go(func() {
				defer func() { <-slots }()
				n.router.DetectUnreachable(ctx, server)
			})
		}
	}
}

// serverAt returns the server of this node's registry with an address, or nil if there is none.
func (n *Node) serverAt(address string) *registry.Server {
	for _, server := range n.registry.All() {
		if server.Address == address {
			return server
		}
	}
	return nil
}
