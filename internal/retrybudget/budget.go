// Package retrybudget bounds how often requests are sent to a second server, so that failing servers aren't buried under repeats.
//
// The bound holds for the whole fleet: repeats of a service in any window may be at most a share of its requests plus a slack. A node
// keeps to the share of its own requests and to its part of the slack, so that no word between nodes is needed.
package retrybudget

import (
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

const (
	// buckets is into how many parts a window is cut; one more is kept, since the bound holds for any span of a window's length.
	buckets = 10
	// usedShare is the part of the bound that nodes use: repeats are counted where they arrive, a little later than here.
	usedShare = 0.8
)

// Options configures New.
type Options struct {
	// Ratio is how many repeats each request allows; Slack how many all nodes have besides, in any Window.
	Ratio, Slack float64
	Window       time.Duration
	// NodeCount returns how many nodes share the slack, at least 1.
	NodeCount func() int
}

// Budget counts the requests and repeats of each service; it is safe for concurrent use.
type Budget struct {
	opts Options

	mu       sync.Mutex
	services map[route.Service]*counts
}

// counts holds a ring of buckets.
type counts struct {
	// number is that of the newest bucket, counted from the zero time.
	number   int64
	requests [buckets + 1]float64
	repeats  [buckets + 1]float64
}

// New returns a budget without counts.
func New(opts Options) *Budget {
	return &Budget{opts: opts, services: make(map[route.Service]*counts)}
}

// RecordRequest counts a request's first send to a service.
func (b *Budget) RecordRequest(service route.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service, now)
	c.requests[c.number%int64(len(c.requests))]++
}

// AllowRetry reports whether one more repeat is allowed, and counts it if so.
func (b *Budget) AllowRetry(service route.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service, now)
	var requests, repeats float64
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	bound := usedShare * (b.opts.Ratio*requests + b.opts.Slack/float64(max(1, b.opts.NodeCount())))
	if repeats+1 > bound {
		return false
	}
	c.repeats[c.number%int64(len(c.repeats))]++
	return true
}

// at returns a service's counts with the buckets that have passed emptied.
func (b *Budget) at(service route.Service, now time.Time) *counts {
	c, ok := b.services[service]
	if !ok {
		c = &counts{}
		b.services[service] = c
	}
	number := now.UnixNano() / int64(b.opts.Window/buckets)
	for passed := min(number-c.number, int64(len(c.requests))); passed > 0; passed-- {
		i := (number - passed + 1) % int64(len(c.requests))
		c.requests[i], c.repeats[i] = 0, 0
	}
	c.number = max(c.number, number)
	return c
}
