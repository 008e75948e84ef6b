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

// StartKeyPrefix precedes the service's name in the key of a Start.
const StartKeyPrefix = "monsoonrail/rollouts/"

// StartRecord says when an order was given, for nodes that start later.
type StartRecord struct {
	// Order is the revision of the order.
	Order route.Revision
	// UnixMilli is the time of day at which the first node saw it.
	UnixMilli int64
}

// StartKey is the key of a service's Start.
func StartKey(service route.Service) string { return StartKeyPrefix + string(service) }

// DecodeStart reads a Start and the service that it is of.
func DecodeStart(pair kv.Pair) (route.Service, StartRecord, error) {
	var start StartRecord
	err := json.Unmarshal(pair.Value, &start)
	return route.Service(strings.TrimPrefix(pair.Key, StartKeyPrefix)), start, Error.Wrap(err)
}

// Encode returns the value of a Start.
func (s StartRecord) Encode() ([]byte, error) {
	value, err := json.Marshal(s)
	return value, Error.Wrap(err)
}
