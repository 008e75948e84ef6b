// Package rolloutrpc sends nodes' reports about a roll-out to the node that collects them.
package rolloutrpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/internal/membudget"
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
	// maxHeldBytes bounds the bodies of reports that a node holds; small ones don't count.
	maxHeldBytes = 2 * maxBytes
	// maxElements and maxObjects bound what a report consists of, which takes many times its text when it is decoded: a session's hash has up to twenty digits.
	maxElements = maxBytes / 16
	maxObjects  = 1 << 14
)

// Error is the class of every error of the package.
var Error = errs.Class("rolloutrpc")

// ErrRejected means that the collector rejected a report; Status is the HTTP status.
type ErrRejected struct{ Status int }

// Error implements error.
func (e *ErrRejected) Error() string { return fmt.Sprintf("report rejected with status %d", e.Status) }

// ErrTooMany means that a report consists of more parts than a node's.
type ErrTooMany struct{}

// Error implements error.
func (e *ErrTooMany) Error() string { return "report has too many parts" }

// Report is the body of a call: a node's report about a service's roll-out.
type Report struct {
	Service route.Service
	Node    api.NodeID
	Report  versionrollout.NodeReport
}

// ReportResponse is the collector's response to a Report, see versionrollout.Collected.
type ReportResponse struct {
	Sessions []uint64
	// IsUnwatched and IsStopped are missing in the responses of earlier releases, whose nodes don't tell.
	IsUnwatched bool `json:",omitempty"`
	IsStopped   bool `json:",omitempty"`
}

// Collector merges the reports of nodes; *versionrollout.Tracker implements it.
type Collector interface {
	SetReport(service route.Service, node api.NodeID, report versionrollout.NodeReport) versionrollout.Collected
}

// Handle registers the handler of the call, which passes reports to collector. A report for which there is no memory left gets status 503.
func Handle(mux *http.ServeMux, collector Collector) {
	held, decoding := membudget.New(maxHeldBytes), new(sync.Mutex)
	mux.HandleFunc("POST "+pathReport, func(w http.ResponseWriter, req *http.Request) {
		memory := held.Reserve(req.RemoteAddr)
		defer memory.Release()
		// The server of net/http lifts the deadline at the body's end.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(maxTransfer))
		text, err := memory.ReadSized(http.MaxBytesReader(w, req.Body, maxBytes), min(req.ContentLength, maxBytes))
		if membudget.IsErrExceeded(err) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		report := Report{Report: versionrollout.NodeReport{Evidence: versionrollout.NewEvidence()}}
		if err == nil {
			decoding.Lock()
			err = decode(text, &report)
			decoding.Unlock()
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		collected := collector.SetReport(report.Service, report.Node, report.Report)
		w.Header().Set("Content-Type", "application/json")
		// If the connection is closed before the response, the node sends its report again.
		_ = json.NewEncoder(w).Encode(ReportResponse(collected))
	})
}

// decode decodes a report.
func decode(text []byte, report *Report) error {
	if bytes.Count(text, []byte{','}) > maxElements || bytes.Count(text, []byte{'{'}) > maxObjects {
		return Error.Wrap(&ErrTooMany{})
	}
	return Error.Wrap(json.Unmarshal(text, report))
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
