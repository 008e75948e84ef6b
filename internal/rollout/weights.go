package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/weightstore"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// rateCacheTTL is how long the weight store's rate is cached.
const rateCacheTTL = 5 * time.Second

// WeightSource is the platform's weight store.
type WeightSource interface {
	// FindWeights returns the weights of a version. The error is weightstore.IsErrVersionNotExist, weightstore.IsErrRateLimited or that
	// of the call.
	FindWeights(ctx context.Context, version api.VersionID) (weightstore.Weights, error)
	// Rate returns the store's current rate of delivery.
	Rate(ctx context.Context) (weightstore.Rate, error)
}

// CachedWeights is a WeightStore that caches the answers of a WeightSource: the size of a version without limit, the rate for
// rateCacheTTL. It is safe for concurrent use.
type CachedWeights struct {
	client WeightSource

	mu          sync.Mutex
	bytes       map[api.VersionID]int64
	rate        weightstore.Rate
	rateFetched time.Time
}

// NewCachedWeights returns a cache of a source.
func NewCachedWeights(client WeightSource) *CachedWeights {
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
	if now := time.Now(); now.Sub(c.rateFetched) >= rateCacheTTL {
		rate, err := c.client.Rate(ctx)
		if err != nil {
			return Weights{}, Error.Wrap(err)
		}
		c.rate, c.rateFetched = rate, now
	}
	return Weights{Bytes: c.bytes[version], BytesPerSecond: float64(c.rate.BytesPerSecond), Waiting: c.rate.Waiting}, nil
}
