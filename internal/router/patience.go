package router

import (
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// minFirstTokenTimeout keeps quick answers from being probed for a short pause.
	minFirstTokenTimeout = 250 * time.Millisecond
	// p98InitialFactor is the patience after the first answer of a kind, in times to its first token.
	p98InitialFactor = 4
	// p98Growth and patienceDecay move the patience with each answer that was later or earlier than it; they are in balance
	// where 1 of 50 is later.
	p98Growth = 1.25
	p98Decay  = 0.99546
)

// firstTokenKey names the requests whose times to the first token are alike.
type firstTokenKey struct {
	version api.VersionID
	class   api.Class
}

// firstTokenTimes learns how long the first token of each kind of request takes, as the 98th percentile of those of late. After
// that long a new connection is tried. The zero value is ready; many goroutines may use it.
type firstTokenTimes struct {
	mu  sync.Mutex
	p98 map[firstTokenKey]time.Duration
}

// maxFirstTokenTimeout is how long the first token of a prompt is waited for at most before a new connection is tried.
func maxFirstTokenTimeout(prompt api.Tokens) time.Duration {
	return baseFirstTokenTimeout + time.Duration(prompt)*promptTokenTimeout
}

// timeout returns how long to wait for the first token timeout a request with a prompt.
func (p *firstTokenTimes) timeout(key firstTokenKey, prompt api.Tokens) time.Duration {
	upper := maxFirstTokenTimeout(prompt)
	p.mu.Lock()
	defer p.mu.Unlock()
	p98, ok := p.p98[key]
	if !ok {
		return upper
	}
	return min(max(p98, minFirstTokenTimeout), upper)
}

// observe takes in the time to a first token.
func (p *firstTokenTimes) observe(key firstTokenKey, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.p98 == nil {
		p.p98 = make(map[firstTokenKey]time.Duration)
	}
	p.p98[key] = min(updateP98(p.p98[key], took), baseFirstTokenTimeout)
}

// updateP98 moves an estimate of the 98th percentile of times by the newest of them; 0 stands for no estimate.
func updateP98(p98, took time.Duration) time.Duration {
	switch {
	case p98 == 0:
		return p98InitialFactor * took
	case took > p98:
		return time.Duration(float64(p98) * p98Growth)
	default:
		return time.Duration(float64(p98) * p98Decay)
	}
}
