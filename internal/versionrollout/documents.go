package versionrollout

import (
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("versionrollout")

// Keys of what nodes tell each other in the store: Prefix, the service and then keyStart or keyReports and the node.
const (
	// Prefix precedes the service's name.
	Prefix     = "monsoonrail/rollouts/"
	keyStart   = "/start"
	keyReports = "/nodes/"
)

// Start says when an order was given, for nodes that start later.
type Start struct {
	// Order is the revision of the order.
	Order route.Revision
	// UnixMilli is the time of day at which the first node saw it.
	UnixMilli int64
}

// StartKey is the key of a service's Start.
func StartKey(service route.Service) string { return Prefix + string(service) + keyStart }

// ReportKey is the key of a node's report.
func ReportKey(service route.Service, node api.NodeID) string {
	return Prefix + string(service) + keyReports + string(node)
}

// ParseKey returns the service of a key under Prefix and the node whose report it holds, empty for a Start.
func ParseKey(key string) (service route.Service, node api.NodeID, ok bool) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", "", false
	}
	if name, isStart := strings.CutSuffix(rest, keyStart); isStart {
		return route.Service(name), "", true
	}
	name, reporter, ok := strings.Cut(rest, keyReports)
	return route.Service(name), api.NodeID(reporter), ok
}

// DecodeStart reads a Start.
func DecodeStart(pair kv.Pair) (Start, error) {
	var start Start
	err := json.Unmarshal(pair.Value, &start)
	return start, Error.Wrap(err)
}

// DecodeReport reads a NodeReport.
func DecodeReport(pair kv.Pair) (NodeReport, error) {
	report := NodeReport{Evidence: NewEvidence()}
	err := json.Unmarshal(pair.Value, &report)
	return report, Error.Wrap(err)
}

// Encode returns the value of a Start or a NodeReport.
func Encode(document any) ([]byte, error) {
	value, err := json.Marshal(document)
	return value, Error.Wrap(err)
}
