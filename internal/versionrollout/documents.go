package versionrollout

import (
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// Error is the class of every error of the package.
var Error = errs.Class("versionrollout")

// Prefix precedes the service's name in the key of a Start.
const Prefix = "monsoonrail/rollouts/"

// Start says when an order was given, for nodes that start later.
type Start struct {
	// Order is the revision of the order.
	Order route.Revision
	// UnixMilli is the time of day at which the first node saw it.
	UnixMilli int64
}

// StartKey is the key of a service's Start.
func StartKey(service route.Service) string { return Prefix + string(service) }

// DecodeStart reads a Start and the service that it is of.
func DecodeStart(pair kv.Pair) (route.Service, Start, error) {
	var start Start
	err := json.Unmarshal(pair.Value, &start)
	return route.Service(strings.TrimPrefix(pair.Key, Prefix)), start, Error.Wrap(err)
}

// Encode returns the value of a Start.
func (s Start) Encode() ([]byte, error) {
	value, err := json.Marshal(s)
	return value, Error.Wrap(err)
}
