package standalone

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/internal/weightstore"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// weightCallTimeout bounds a call.
	weightCallTimeout = 2 * time.Second
	// maxWeightBytes bounds an answer.
	maxWeightBytes = 64 << 10
)

// WeightStore is a client of the weight store.
type WeightStore struct {
	base string
	http *http.Client
}

// NewWeightStore returns a client of the weight store at a base URL.
func NewWeightStore(base string, client *http.Client) *WeightStore {
	return &WeightStore{base: base, http: client}
}

// FindWeights returns the weights of a version. The error is weightstore.ErrVersionNotExist, weightstore.ErrRateLimited or that of
// the call.
func (w *WeightStore) FindWeights(ctx context.Context, version api.VersionID) (weightstore.Weights, error) {
	var weights weightstore.Weights
	err := w.get(ctx, "/v1/weights/"+url.PathEscape(version.String()), &weights)
	var status *httpjson.ErrStatus
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return weightstore.Weights{}, weightstore.Error.Wrap(&weightstore.ErrVersionNotExist{Version: version})
	}
	return weights, err
}

// Rate returns the store's current delivery rate.
func (w *WeightStore) Rate(ctx context.Context) (weightstore.Rate, error) {
	var rate weightstore.Rate
	return rate, w.get(ctx, "/v1/rate", &rate)
}

func (w *WeightStore) get(ctx context.Context, path string, out any) error {
	_, err := httpjson.Do(ctx, w.http, httpjson.Request{
		Method:           http.MethodGet,
		URL:              w.base + path,
		Timeout:          weightCallTimeout,
		MaxResponseBytes: maxWeightBytes,
	}, out)
	var status *httpjson.ErrStatus
	if errors.As(err, &status) && status.Status == http.StatusTooManyRequests {
		return weightstore.Error.Wrap(&weightstore.ErrRateLimited{RetryAfter: status.RetryAfter})
	}
	return weightstore.Error.Wrap(err)
}
