package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/weightstore"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// rateAge is how long the weight store's rate is kept.
const rateAge = 5 * time.Second

// CachedWeights is a WeightStore that asks the platform's weight store seldom: it keeps what a version weighs, and the
// rate for a few seconds. Its methods may be called by many goroutines.
type CachedWeights struct {
	client *weightstore.Client

	mu    sync.Mutex
	bytes map[api.VersionID]int64
	rate  weightstore.Rate
	asked time.Time
}

// NewCachedWeights returns a cache before a client.
func NewCachedWeights(client *weightstore.Client) *CachedWeights {
	return &CachedWeights{client: client, bytes: map[api.VersionID]int64{}}
}

// Weights implements WeightStore.
func (c *CachedWeights) Weights(ctx context.Context, version api.VersionID) (Weights, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.bytes[version]; !known {
		found, err := c.client.FindWeights(ctx, version)
		if err != nil {
			return Weights{}, Error.Wrap(err)
		}
		c.bytes[version] = found.Bytes
	}
	if now := time.Now(); now.Sub(c.asked) >= rateAge {
		rate, err := c.client.Rate(ctx)
		if err != nil {
			return Weights{}, Error.Wrap(err)
		}
		c.rate, c.asked = rate, now
	}
	return Weights{Bytes: c.bytes[version], BytesPerSecond: float64(c.rate.BytesPerSecond), Waiting: c.rate.Waiting}, nil
}
