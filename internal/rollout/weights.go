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

// WeightSource answers from the platform's weight store.
type WeightSource interface {
	// FindWeights returns the weights of a version; the error is IsErrVersionNotExist, IsErrOverRate or that of the call.
	FindWeights(ctx context.Context, version api.VersionID) (weightstore.Weights, error)
	// Rate returns how fast the store delivers now.
	Rate(ctx context.Context) (weightstore.Rate, error)
}

// CachedWeights is a WeightStore that asks the platform's weight store seldom: it keeps what a version weighs, and the
// rate for a few seconds. Its methods may be called by many goroutines.
type CachedWeights struct {
	client WeightSource

	mu    sync.Mutex
	bytes map[api.VersionID]int64
	rate  weightstore.Rate
	asked time.Time
}

// NewCachedWeights returns a cache before a source.
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
	if now := time.Now(); now.Sub(c.asked) >= rateAge {
		rate, err := c.client.Rate(ctx)
		if err != nil {
			return Weights{}, Error.Wrap(err)
		}
		c.rate, c.asked = rate, now
	}
	return Weights{Bytes: c.bytes[version], BytesPerSecond: float64(c.rate.BytesPerSecond), Waiting: c.rate.Waiting}, nil
}
