package claim

import (
	"maps"
	"time"
)

// maxCachedClaims bounds the claims that a Batcher caches in each of two generations.
const maxCachedClaims = 8 << 10

// claimCache caches the claims that a Batcher made or read most recently. A claim never changes while it is kept, so
// that a repeated key is answered without a transaction, and the claims that a rolled-back key-value service lost can be
// restored.
type claimCache struct {
	newer, older map[string]Record
	// rotateAt is when newer becomes older at the latest, so that no claim is cached for longer than it is kept.
	rotateAt  time.Time
	retention time.Duration
}

func newClaimCache(retention time.Duration) claimCache {
	return claimCache{newer: make(map[string]Record), retention: retention}
}

func (c *claimCache) find(key string, now time.Time) (Record, bool) {
	c.rotate(now)
	if record, ok := c.newer[key]; ok {
		return record, true
	}
	record, ok := c.older[key]
	return record, ok
}

func (c *claimCache) add(key string, record Record, now time.Time) {
	c.rotate(now)
	c.newer[key] = record
}

// all returns all cached claims.
func (c *claimCache) all() map[string]Record {
	all := maps.Clone(c.newer)
	for key, record := range c.older {
		if _, ok := all[key]; !ok {
			all[key] = record
		}
	}
	return all
}

func (c *claimCache) rotate(now time.Time) {
	if len(c.newer) < maxCachedClaims && now.Before(c.rotateAt) {
		return
	}
	c.older = c.newer
	c.newer = make(map[string]Record)
	c.rotateAt = now.Add(c.retention / 3)
}
