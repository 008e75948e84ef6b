package nodelist

import (
	"sync"
	"time"
)

// peakSpan is the minimum time for which a peak is remembered: longer than a node needs to be listed again after its lease was lost.
const peakSpan = 15 * time.Second

// Peak is the largest number of nodes in the last peakSpan to twice that time. It is safe for concurrent use; the zero value is ready.
type Peak struct {
	mu sync.Mutex
	// current is the largest number since begunAt, previous the one in the span before.
	current, previous int
	begunAt           time.Time
}

// Update takes in the current number of nodes and returns the peak.
func (p *Peak) Update(count int, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if passed := now.Sub(p.begunAt); passed >= peakSpan {
		p.previous = p.current
		if passed >= 2*peakSpan {
			p.previous = 0
		}
		p.current, p.begunAt = 0, now
	}
	p.current = max(p.current, count)
	return max(p.current, p.previous)
}
