package node

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/registry"
)

const (
	// queuedEnds is the number of ended connections that wait to be looked into.
	queuedEnds = 256
	// endPause bounds how often a server is probed because it ended connections.
	endPause = 250 * time.Millisecond
	// endConcurrency bounds the servers probed at once.
	endConcurrency = 16
)

// serverEnds looks into connections that backend servers ended, so that a node sees a server's death when it happens, also if it
// runs nothing there.
type serverEnds struct {
	// addresses carries those of servers that ended a connection. What it has no room for is dropped: the next load report
	// that doesn't come shows a death too.
	addresses chan string
	// probed is when each server was probed last. Only the duty uses it.
	probed map[string]time.Time
}

func newServerEnds() *serverEnds {
	return &serverEnds{addresses: make(chan string, queuedEnds), probed: make(map[string]time.Time)}
}

// note takes in that a server ended a connection. It does not block.
func (e *serverEnds) note(address string) {
	select {
	case e.addresses <- address:
	default:
	}
}

// isDue reports whether a server is to be probed now.
func (e *serverEnds) isDue(address string, now time.Time) bool {
	if now.Sub(e.probed[address]) < endPause {
		return false
	}
	for other, at := range e.probed {
		if now.Sub(at) >= endPause {
			delete(e.probed, other)
		}
	}
	e.probed[address] = now
	return true
}

// watchServerEnds probes servers that ended connections.
func (n *Node) watchServerEnds(ctx context.Context) error {
	slots := make(chan struct{}, endConcurrency)
	var probing sync.WaitGroup
	defer probing.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case address := <-n.ends.addresses:
			server := n.serverAt(address)
			if server == nil || !n.ends.isDue(address, time.Now()) {
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

// serverAt returns the server of this node's subset that has an address; nil if there is none.
func (n *Node) serverAt(address string) *registry.Server {
	for _, server := range n.registry.All() {
		if server.Address == address {
			return server
		}
	}
	return nil
}
