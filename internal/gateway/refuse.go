package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
)

// Reasons of refusals, as the log and the metrics name them.
const (
	reasonTooLarge           = "body too large"
	reasonNoID               = "no request id"
	reasonNoRoute            = "no route"
	reasonUnknownKey         = "unknown key"
	reasonNoConfiguration    = "no configuration yet"
	reasonStaleConfiguration = "configuration may be old"
	reasonStaleKeys          = "keys may be old"
	reasonStopping           = "node stops"
	reasonNoServer           = "no server"
	reasonBudget             = "retry budget used up"
	reasonAttempts           = "attempts used up"
	reasonDeadline           = "deadline passed"
)

const (
	// retrySoon is when to come back for a place that another node has: the wait between two looks at the store.
	retrySoon = 300 * time.Millisecond
	// retryShare is the most of its remaining time that a caller is asked to wait; the rest is needed for the answer.
	retryShare = 4
)

// refusal is an answer of the router's own.
type refusal struct {
	status int
	reason string
	// retryAfter is when to come back; 0 leaves the header out.
	retryAfter time.Duration
}

// notYet is the refusal of a request that has not run and may be sent again soon.
func notYet(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retrySoon}
}

// refuse sends an answer of the router's own and logs why.
func (g *Gateway) refuse(w http.ResponseWriter, info RequestInfo, wk *work, r *refusal) {
	retryAfter := r.retryAfter
	if info.HasTimeout && retryAfter > 0 {
		retryAfter = min(retryAfter, info.Timeout/retryShare)
	}
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(r.status)
	fields := log.Fields{
		"request": string(info.ID), "status": r.status, "reason": r.reason, "retry_after": retryAfter.String(),
	}
	if wk != nil {
		fields["route"] = string(wk.route.Name)
		fields["team"] = string(wk.teamName())
		fields["took"] = time.Since(wk.arrived).Round(time.Millisecond).String()
		fields["configuration"] = int64(wk.revision)
		g.countEnd(wk, "request refused")
	}
	g.opts.Log.WithFields(fields).Info("request refused")
	g.countRefusal(r.reason)
}
