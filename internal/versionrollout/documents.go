package versionrollout

import (
	"encoding/json"
	"strings"
	"time"

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
	// Target and Duration are the order's, by which it is recognized after a restore of the store from an older copy; a record of an earlier
	// release has none.
	Target   route.ServiceVersion `json:",omitempty"`
	Duration time.Duration        `json:",omitempty"`
	// UnixMilli is the time at which the first node saw the order, by that node's clock.
	UnixMilli int64
}

// NewStartRecord returns the record of an order that was given at begin.
func NewStartRecord(order Order, begin time.Time) StartRecord {
	return StartRecord{Order: order.Revision, Target: order.Target, Duration: order.Duration, UnixMilli: begin.UnixMilli()}
}

// isOf reports whether the record is of an order, or of one that was written again as this order after a restore of the store.
func (s StartRecord) isOf(order Order) bool {
	return s.Order == order.Revision || order.isRewrittenFrom(Order{Target: s.Target, Duration: s.Duration, Revision: s.Order})
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
