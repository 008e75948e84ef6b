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

// StartKeyPrefix precedes the service's name in the key of a StartRecord.
const StartKeyPrefix = "monsoonrail/rollouts/"

// StartRecord is the stored time at which an order was given, for nodes that are started after it.
type StartRecord struct {
	// Order is the revision of the order.
	Order route.Revision
	// UnixMilli is the time at which the first node saw the order, by that node's clock.
	UnixMilli int64
}

// StartKey returns the key of a service's StartRecord.
func StartKey(service route.Service) string { return StartKeyPrefix + string(service) }

// DecodeStart decodes a stored StartRecord and returns it with its service.
func DecodeStart(pair kv.Pair) (route.Service, StartRecord, error) {
	var start StartRecord
	err := json.Unmarshal(pair.Value, &start)
	return route.Service(strings.TrimPrefix(pair.Key, StartKeyPrefix)), start, Error.Wrap(err)
}

// Encode returns the record as the value to store.
func (s StartRecord) Encode() ([]byte, error) {
	value, err := json.Marshal(s)
	return value, Error.Wrap(err)
}
