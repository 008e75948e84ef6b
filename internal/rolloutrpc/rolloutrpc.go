// Package rolloutrpc carries nodes' reports of a roll-out to the node that collects them.
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
	// callTimeout bounds a call: nodes are milliseconds apart, and a report that is late is sent again.
	callTimeout = 400 * time.Millisecond
	// maxBytes bounds a report and its answer.
	maxBytes = 4 << 20
)

// Error is the class of every error of the package.
var Error = errs.Class("rolloutrpc")

// ErrRejected means that a node did not take a report.
type ErrRejected struct{ Status int }

// Error implements error.
func (e *ErrRejected) Error() string { return fmt.Sprintf("report refused with status %d", e.Status) }

// Report is a node's report of a service's roll-out.
type Report struct {
	Service route.Service
	Node    api.NodeID
	Report  versionrollout.NodeReport
}

// ReportResponse is what a collector answers.
type ReportResponse struct {
	// Sessions are hashes of those of all nodes that keep their version.
	Sessions []uint64
}

// Collector takes reports in.
type Collector interface {
	SetReport(service route.Service, node api.NodeID, report versionrollout.NodeReport) (sessions []uint64)
}

// Handle adds the call to a node's calls.
func Handle(mux *http.ServeMux, collector Collector) {
	mux.HandleFunc("POST "+pathReport, func(w http.ResponseWriter, req *http.Request) {
		report := Report{Report: versionrollout.NodeReport{Evidence: versionrollout.NewEvidence()}}
		if err := json.NewDecoder(io.LimitReader(req.Body, maxBytes)).Decode(&report); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		sessions := collector.SetReport(report.Service, report.Node, report.Report)
		w.Header().Set("Content-Type", "application/json")
		// A node that has left reports again.
		_ = json.NewEncoder(w).Encode(ReportResponse{Sessions: sessions})
	})
}

// Send sends a report to the node at an address.
func Send(ctx context.Context, client *http.Client, address string, report Report) (ReportResponse, error) {
	var collected ReportResponse
	got, err := httpjson.Do(ctx, client, httpjson.Request{
		Method: http.MethodPost, URL: "http://" + address + pathReport, Body: report, Timeout: callTimeout, Limit: maxBytes,
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
