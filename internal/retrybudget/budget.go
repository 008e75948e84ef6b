// Package retrybudget limits the retries of requests, so that failing servers aren't overloaded by retries.
//
// The limit holds for the whole fleet: in any window, the retries of a service may be at most a ratio of its requests plus a slack. Each
// node keeps to the ratio of its own requests and to an equal part of the slack, so that nodes need no communication.
package retrybudget

import (
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

const (
	// bucketCount is the number of buckets of a window; one more is kept, since the limit holds for any span of a window's length.
	bucketCount = 10
	// usedFraction is the fraction of the limit that nodes use. The limit applies to retries counted on arrival at the servers, a
	// little later than they are counted here.
	usedFraction = 0.8
	// optionalFraction is the fraction of the used limit that optional retries may take, so that they leave the rest to requests that fail
	// without a retry.
	optionalFraction = 0.1
)

// Options configures New.
type Options struct {
	// Ratio is the number of retries that each request allows; Slack the number that all nodes together may make besides, in any Window.
	Ratio, Slack float64
	Window       time.Duration
	// NodeCount returns the number of nodes that share the slack, at least 1.
	NodeCount func() int
}

// Budget counts the requests and retries of each service; it is safe for concurrent use.
type Budget struct {
	opts Options

	mu       sync.Mutex
	services map[route.Service]*counts
}

// counts is a ring of buckets.
type counts struct {
	// newestBucket is the number of the newest bucket, counted from the Unix epoch.
	newestBucket int64
	requests     [bucketCount + 1]float64
	// retries counts all retries, optional those among them that are optional.
	retries, optional [bucketCount + 1]float64
}

// New returns a budget without counts.
func New(opts Options) *Budget {
	return &Budget{opts: opts, services: make(map[route.Service]*counts)}
}

// RecordRequest counts a request to a service; its retries are counted by AllowRetry.
func (b *Budget) RecordRequest(service route.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounts(service, now)
	c.requests[c.newestBucket%int64(len(c.requests))]++
}

// AllowRetry reports whether one more retry is allowed, and counts it if so.
func (b *Budget) AllowRetry(service route.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounts(service, now)
	return c.add(b.limit(c))
}

// AllowOptionalRetry is like AllowRetry for a retry without which the request doesn't fail.
func (b *Budget) AllowOptionalRetry(service route.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounts(service, now)
	limit := b.limit(c)
	if sum(c.optional)+1 > optionalFraction*limit || !c.add(limit) {
		return false
	}
	c.optional[c.newestBucket%int64(len(c.optional))]++
	return true
}

// ReturnRetry gives back a retry that was counted at a time, because it did not reach a server.
func (b *Budget) ReturnRetry(service route.Service, countedAt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounts(service, now)
	bucket, size := b.bucketAt(countedAt), int64(len(c.retries))
	if bucket > c.newestBucket-size && c.retries[bucket%size] > 0 {
		c.retries[bucket%size]--
	}
}

// limit returns the number of retries allowed in the current window.
func (b *Budget) limit(c *counts) float64 {
	return usedFraction * (b.opts.Ratio*sum(c.requests) + b.opts.Slack/float64(max(1, b.opts.NodeCount())))
}

// add counts a retry and returns true if the limit allows it.
func (c *counts) add(limit float64) bool {
	if sum(c.retries)+1 > limit {
		return false
	}
	c.retries[c.newestBucket%int64(len(c.retries))]++
	return true
}

func sum(buckets [bucketCount + 1]float64) (total float64) {
	for _, n := range buckets {
		total += n
	}
	return total
}

// currentCounts returns a service's counts after clearing the buckets that have left the window; the caller holds b.mu.
func (b *Budget) currentCounts(service route.Service, now time.Time) *counts {
	c, ok := b.services[service]
	if !ok {
		c = &counts{}
		b.services[service] = c
	}
	currentBucket := b.bucketAt(now)
	for passed := min(currentBucket-c.newestBucket, int64(len(c.requests))); passed > 0; passed-- {
		i := (currentBucket - passed + 1) % int64(len(c.requests))
		c.requests[i], c.retries[i], c.optional[i] = 0, 0, 0
	}
	c.newestBucket = max(c.newestBucket, currentBucket)
	return c
}

// bucketAt returns the number of the bucket of a time.
func (b *Budget) bucketAt(at time.Time) int64 {
	return at.UnixNano() / int64(b.opts.Window/bucketCount)
}
