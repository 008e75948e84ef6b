package router

import (
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// minPatience keeps quick answers from being probed for a short pause.
	minPatience = 250 * time.Millisecond
	// startFactor is the patience after the first answer of a kind, in times to its first token.
	startFactor = 4
	// patienceGrowth and patienceDecay move the patience with each answer that was later or earlier than it; they are in balance
	// where 1 of 50 is later.
	patienceGrowth = 1.25
	patienceDecay  = 0.99546
)

// patienceKey names the requests whose times to the first token are alike.
type patienceKey struct {
	version api.VersionID
	class   api.Class
}

// patience learns how long the first token of each kind of request takes, as the 98th percentile of those of late. After
// that long a new connection is tried. The zero value is ready; many goroutines may use it.
type patience struct {
	mu    sync.Mutex
	usual map[patienceKey]time.Duration
}

// longestPatience is how long the first token of a prompt is waited for at most before a new connection is tried.
func longestPatience(prompt api.Tokens) time.Duration {
	return firstTokenPatience + time.Duration(prompt)*promptTokenPatience
}

// of returns how long to wait for the first token of a request with a prompt.
func (p *patience) of(key patienceKey, prompt api.Tokens) time.Duration {
	longest := longestPatience(prompt)
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, ok := p.usual[key]
	if !ok {
		return longest
	}
	return min(max(usual, minPatience), longest)
}

// observe takes in the time to a first token.
func (p *patience) observe(key patienceKey, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usual == nil {
		p.usual = make(map[patienceKey]time.Duration)
	}
	p.usual[key] = min(follow(p.usual[key], took), firstTokenPatience)
}

// follow moves an estimate of the 98th percentile of times by the newest of them; 0 stands for no estimate.
func follow(usual, took time.Duration) time.Duration {
	switch {
	case usual == 0:
		return startFactor * took
	case took > usual:
		return time.Duration(float64(usual) * patienceGrowth)
	default:
		return time.Duration(float64(usual) * patienceDecay)
	}
}
