// Package weightstore defines the data and errors of the platform's weight store, which is rate-limited.
package weightstore

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("weightstore")

// ErrRateLimited means that the store rejected a call because of its rate limit.
type ErrRateLimited struct {
	// RetryAfter is the time to wait that the store asked for.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrRateLimited) Error() string {
	return fmt.Sprintf("over the rate, retry after %s", e.RetryAfter)
}

// IsErrRateLimited reports whether err means that the store rejected a call because of its rate limit.
func IsErrRateLimited(err error) bool {
	var target *ErrRateLimited
	return errors.As(err, &target)
}

// ErrVersionNotExist means that the store has no weights for a version.
type ErrVersionNotExist struct{ Version api.VersionID }

// Error implements error.
func (e *ErrVersionNotExist) Error() string { return fmt.Sprintf("no weights of %s", e.Version) }

// IsErrVersionNotExist reports whether err means that the store has no weights for a version.
func IsErrVersionNotExist(err error) bool {
	var target *ErrVersionNotExist
	return errors.As(err, &target)
}

// Weights describes the weights of a version in the store.
type Weights struct {
	Version api.VersionID
	Bytes   int64
}

// Rate is the present delivery rate of the store.
type Rate struct {
	BytesPerSecond int64
	// Waiting is the number of loads that wait to be delivered.
	Waiting int
}
