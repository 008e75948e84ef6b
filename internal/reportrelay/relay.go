// Package reportrelay lets a node tell another one what a server has reported in an answer that came through that other node. The server means the machine from
// which it got the request.
package reportrelay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/selfreport"
)

const (
	// path is the path of the call.
	path = "/v1/servers/report"
	// callTimeout bounds a call: servers expect their reports to be known within half a second.
	callTimeout = 400 * time.Millisecond
	// maxBytes bounds the body of a call.
	maxBytes = 4 << 10
)

// Error is the class of every error of the package.
var Error = errs.Class("reportrelay")

// ErrStatus means that the other node did not take the report.
type ErrStatus struct{ Status string }

// Error implements error.
func (e *ErrStatus) Error() string { return "node answered " + e.Status }

// Handle registers the handler of the call; hear takes a report.
func Handle(mux *http.ServeMux, hear func(report selfreport.Shared)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		report, err := selfreport.DecodeShared(body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		hear(report)
		w.WriteHeader(http.StatusNoContent)
	})
}

// Tell sends a report to the node whose listener for other nodes is at an "IP:port".
func Tell(ctx context.Context, client *http.Client, peers string, report selfreport.Shared) error {
	value, err := report.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peers+path, bytes.NewReader(value))
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	// The body is empty.
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return Error.Wrap(&ErrStatus{Status: resp.Status})
	}
	return nil
}
