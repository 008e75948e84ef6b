package router

import (
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// minFirstTokenTimeout keeps fast answers from being probed because of a short pause.
	minFirstTokenTimeout = 250 * time.Millisecond
	// p98InitialFactor is the first estimate as a multiple of the first time observed.
	p98InitialFactor = 4
	// p98Growth and p98Decay move the estimate with each time above or below it; they balance where 1 of 50 times is above it.
	p98Growth = 1.25
	p98Decay  = 0.99546
)

// firstTokenKey identifies requests with similar times to the first token.
type firstTokenKey struct {
	version api.VersionID
	class   api.Class
}

// firstTokenTimes estimates the 98th percentile of the recent times to the first token for each kind of request. After that
// time a new connection is tried. The zero value is ready to use; it is safe for concurrent use.
type firstTokenTimes struct {
	mu  sync.Mutex
	p98 map[firstTokenKey]time.Duration
}

// maxFirstTokenTimeout is the longest wait for the first token of a prompt before a new connection is tried.
func maxFirstTokenTimeout(prompt api.Tokens) time.Duration {
	return baseFirstTokenTimeout + time.Duration(prompt)*promptTokenTimeout
}

// timeout returns how long to wait for the first token of a request whose prompt has this many tokens.
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

// observe records a time to the first token.
func (p *firstTokenTimes) observe(key firstTokenKey, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.p98 == nil {
		p.p98 = make(map[firstTokenKey]time.Duration)
	}
	p.p98[key] = min(updateP98(p.p98[key], took), baseFirstTokenTimeout)
}

// updateP98 returns the estimate of a 98th percentile after one more time was observed; 0 stands for no estimate.
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
