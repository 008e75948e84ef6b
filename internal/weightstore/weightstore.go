// Package weightstore holds what the platform's weight store, which is rate-limited, tells of the weights of versions.
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

// ErrRateLimited means that the store is used beyond its rate.
type ErrRateLimited struct {
	// RetryAfter is the wait that the store asked for.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrRateLimited) Error() string {
	return fmt.Sprintf("over the rate, retry after %s", e.RetryAfter)
}

// IsErrRateLimited reports whether err says that the store is used beyond its rate.
func IsErrRateLimited(err error) bool {
	var target *ErrRateLimited
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
