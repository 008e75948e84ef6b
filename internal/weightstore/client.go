// Package weightstore asks the platform's weight store, which is rate-limited, about the weights of versions.
package weightstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("weightstore")

const (
	// callTimeout bounds a call.
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 10
)

// ErrOverRate means that the store is used beyond its rate.
type ErrOverRate struct {
	// RetryAfter is the wait that the store asked for.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrOverRate) Error() string {
	return fmt.Sprintf("over the rate, retry after %s", e.RetryAfter)
}

// IsErrOverRate reports whether err says that the store is used beyond its rate.
func IsErrOverRate(err error) bool {
	var target *ErrOverRate
	return errors.As(err, &target)
}

// ErrVersionNotExist means that the store has no weights of a version.
type ErrVersionNotExist struct{ Version api.VersionID }

// Error implements error.
func (e *ErrVersionNotExist) Error() string { return fmt.Sprintf("no weights of %s", e.Version) }

// IsErrVersionNotExist reports whether err says that the store has no weights of a version.
func IsErrVersionNotExist(err error) bool {
	var target *ErrVersionNotExist
	return errors.As(err, &target)
}

// Weights describes the weights of a version.
type Weights struct {
	Version api.VersionID
	Bytes   int64
}

// Rate is how fast the store delivers.
type Rate struct {
	BytesPerSecond int64
	// Waiting counts the loads that wait for their turn.
	Waiting int
}

// Client speaks with the weight store.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the store below a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// FindWeights returns the weights of a version. The error is IsErrVersionNotExist, IsErrOverRate or that of the call.
func (c *Client) FindWeights(ctx context.Context, version api.VersionID) (Weights, error) {
	var weights Weights
	err := c.get(ctx, "/v1/weights/"+url.PathEscape(version.String()), &weights)
	var status *httpjson.ErrStatus
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return Weights{}, Error.Wrap(&ErrVersionNotExist{Version: version})
	}
	return weights, err
}

// Rate returns how fast the store delivers now.
func (c *Client) Rate(ctx context.Context) (Rate, error) {
	var rate Rate
	return rate, c.get(ctx, "/v1/rate", &rate)
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	_, err := httpjson.Do(ctx, c.http, httpjson.Request{
		Method:  http.MethodGet,
		URL:     c.base + path,
		Timeout: callTimeout,
		Limit:   maxAnswerBytes,
	}, out)
	var status *httpjson.ErrStatus
	if errors.As(err, &status) && status.Status == http.StatusTooManyRequests {
		return Error.Wrap(&ErrOverRate{RetryAfter: status.RetryAfter})
	}
	return Error.Wrap(err)
}
