// Package rolloutrpc sends nodes' reports about a roll-out to the node that collects them.
package rolloutrpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// pathReport is the path of the call.
const pathReport = "/v1/rollouts/report"

const (
	// callTimeout bounds the time to the first byte of a response, and each pause within it: nodes are milliseconds apart, and a report
	// whose call has timed out is sent again.
	callTimeout = 400 * time.Millisecond
	// maxTransfer bounds a call as a whole. A response has the sessions of all nodes.
	maxTransfer = 2 * time.Second
	// maxBytes bounds the bodies of a report and of its response, in bytes.
	maxBytes = 4 << 20
)

// Error is the class of every error of the package.
var Error = errs.Class("rolloutrpc")

// ErrRejected means that the collector rejected a report; Status is the HTTP status.
type ErrRejected struct{ Status int }

// Error implements error.
func (e *ErrRejected) Error() string { return fmt.Sprintf("report rejected with status %d", e.Status) }

// Report is the body of a call: a node's report about a service's roll-out.
type Report struct {
	Service route.Service
	Node    api.NodeID
	Report  versionrollout.NodeReport
}

// ReportResponse is the collector's response to a Report.
type ReportResponse struct {
	// Sessions are hashes of the sessions of all nodes that stay on their version, see versionrollout.SessionsStayPinned.
	Sessions []uint64
}

// Collector merges the reports of nodes; *versionrollout.Tracker implements it.
type Collector interface {
	SetReport(service route.Service, node api.NodeID, report versionrollout.NodeReport) (sessions []uint64)
}

// Handle registers the handler of the call, which passes reports to collector.
func Handle(mux *http.ServeMux, collector Collector) {
	mux.HandleFunc("POST "+pathReport, func(w http.ResponseWriter, req *http.Request) {
		report := Report{Report: versionrollout.NodeReport{Evidence: versionrollout.NewEvidence()}}
		if err := json.NewDecoder(io.LimitReader(req.Body, maxBytes)).Decode(&report); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		sessions := collector.SetReport(report.Service, report.Node, report.Report)
		w.Header().Set("Content-Type", "application/json")
		// If the connection is closed before the response, the node sends its report again.
		_ = json.NewEncoder(w).Encode(ReportResponse{Sessions: sessions})
	})
}

// Send sends a report to the collector at an address and returns its response. A status that is no success is an *ErrRejected.
func Send(ctx context.Context, client *http.Client, address string, report Report) (ReportResponse, error) {
	var collected ReportResponse
	got, err := httpjson.Do(ctx, client, httpjson.Request{
		Method: http.MethodPost, URL: "http://" + address + pathReport, Body: report, MaxResponseBytes: maxBytes,
		Timeout: callTimeout, MaxStall: callTimeout, MaxDuration: maxTransfer,
	}, &collected)
	var status *httpjson.ErrStatus
	switch {
	case errors.As(err, &status):
		err = &ErrRejected{Status: status.Status}
	case err == nil && len(got.Body) == 0:
		err = io.ErrUnexpectedEOF
	}
	return collected, Error.Wrap(err)
}
