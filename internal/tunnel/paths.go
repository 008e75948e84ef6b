// Package tunnel opens connections to servers through other nodes (HTTP CONNECT) where a node's own network paths are lost.
//
// A tunnel carries bytes and knows nothing of requests, so that all decisions about a request stay with the node that has it.
package tunnel

import (
	"maps"
	"sync"
	"time"
)

const (
	// minLostPaths is the number of paths that are lost, without a connection opened in between, from which on all paths count as lost.
	minLostPaths = 2
	// probeInterval is the interval at which a lost path is tried again, if a connection is wanted.
	probeInterval = 500 * time.Millisecond
	// refusedTTL is how long a server that refused connections of several nodes counts as doing so.
	refusedTTL = 500 * time.Millisecond
	// lostTTL is how long a path that isn't tried stays lost.
	lostTTL = time.Minute
)

// Loss is how a network path is lost.
type Loss int

const (
	// Refused means that connections are refused. Those that were open may live on.
	Refused Loss = iota
	// Silent means that nothing arrives, on open connections neither.
	Silent
)

// String returns the loss as used in log fields.
func (l Loss) String() string {
	if l == Silent {
		return "silent"
	}
	return "refused"
}

// Paths holds which network paths from this node to servers are lost. A path is lost only if another node has reached the server meanwhile: a server
// that is down, or silent for a while, is reached by no node. It is safe for concurrent use; the zero value is ready.
type Paths struct {
	mu sync.Mutex
	// lost holds the lost paths by the server's address.
	lost map[string]*lostPath
	// refusedAt holds, by address, when servers refused connections of several nodes, for refusedTTL.
	refusedAt map[string]time.Time
	// lostInARow counts the paths found to be lost since this node last opened a connection to a server, silentInARow the silent ones of them.
	lostInARow, silentInARow int
	// nextProbe is when the next path is tried again while all are lost.
	nextProbe time.Time
}

// lostPath is a network path to a server that is lost.
type lostPath struct {
	loss Loss
	// foundAt is when the path was last found to be lost, nextProbe when it is tried again.
	foundAt, nextProbe time.Time
}

// Plan says how to open a connection.
type Plan struct {
	// IsLost is set if the own path is lost: the connection is opened through another node at once.
	IsLost bool
	// IsProbe is set if the lost path is tried besides.
	IsProbe bool
}

// Plan returns how to open a connection to a server.
func (p *Paths) Plan(address string, now time.Time) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	path, ok := p.lost[address]
	switch {
	case p.areAllLost():
		plan := Plan{IsLost: true, IsProbe: !now.Before(p.nextProbe)}
		if plan.IsProbe {
			p.nextProbe = now.Add(probeInterval)
		}
		return plan
	case !ok || now.Sub(path.foundAt) > lostTTL:
		return Plan{}
	case now.Before(path.nextProbe):
		return Plan{IsLost: true}
	default:
		path.nextProbe = now.Add(probeInterval)
		return Plan{IsLost: true, IsProbe: true}
	}
}

// Opened records that the node has opened a connection of its own, and reports whether its path to the server was lost before.
func (p *Paths) Opened(address string) (wasLost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, wasLost = p.lost[address]
	wasLost = wasLost || p.areAllLost()
	delete(p.lost, address)
	p.lostInARow, p.silentInARow = 0, 0
	return wasLost
}

// Lost records that the node could not open a connection while another node could. It reports whether this is new.
func (p *Paths) Lost(address string, loss Loss, now time.Time) (isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost == nil {
		p.lost = make(map[string]*lostPath)
	}
	maps.DeleteFunc(p.lost, func(_ string, path *lostPath) bool { return now.Sub(path.foundAt) > lostTTL })
	_, isKnown := p.lost[address]
	p.lost[address] = &lostPath{loss: loss, foundAt: now, nextProbe: now.Add(probeInterval)}
	if isKnown {
		return false
	}
	p.lostInARow++
	if loss == Silent {
		p.silentInARow++
	}
	if p.lostInARow == minLostPaths {
		p.nextProbe = now.Add(probeInterval)
	}
	return true
}

// Refused records that a server refuses connections of several nodes.
func (p *Paths) Refused(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusedAt == nil {
		p.refusedAt = make(map[string]time.Time)
	}
	maps.DeleteFunc(p.refusedAt, func(_ string, at time.Time) bool { return now.Sub(at) > refusedTTL })
	p.refusedAt[address] = now
}

// WasRefused reports whether a server has just refused connections of several nodes, so that another refusal needs no other node to confirm it.
func (p *Paths) WasRefused(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.refusedAt[address]
	return ok && now.Sub(at) <= refusedTTL
}

// AreAllLost reports whether the paths to all servers count as lost.
func (p *Paths) AreAllLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.areAllLost()
}

// areAllLost is AreAllLost for callers that hold p.mu.
func (p *Paths) areAllLost() bool { return p.lostInARow >= minLostPaths }

// IsLost reports whether the path to a server is lost.
func (p *Paths) IsLost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.lost[address]
	return ok || p.areAllLost()
}

// IsSilent reports whether open connections over the path to a server are silent.
func (p *Paths) IsSilent(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path, ok := p.lost[address]
	return ok && path.loss == Silent || p.silentInARow >= minLostPaths
}
