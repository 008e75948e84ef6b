package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
)

// Reasons of rejections, used in log fields and metric labels.
const (
	reasonTooLarge           = "body too large"
	reasonBodyTooSlow        = "body too slow"
	reasonNoMemory           = "no memory for the body"
	reasonNoID               = "no request id"
	reasonNoRoute            = "no route"
	reasonUnknownModel       = "unknown model"
	reasonUnknownKey         = "unknown key"
	reasonNoConfiguration    = "no configuration yet"
	reasonStaleConfiguration = "configuration may be old"
	reasonStaleKeys          = "keys may be old"
	reasonStopping           = "node stops"
	reasonNoServer           = "no server"
	reasonNoOtherServer      = "no other server"
	reasonEvacuated          = "failure domains evacuated"
	reasonRegions            = "no server in an allowed region"
	reasonBudget             = "retry budget used up"
	reasonAttempts           = "attempts used up"
	reasonDeadline           = "deadline passed"
	reasonUnconfirmed        = "end not confirmed"
	reasonServerFailure      = "server's failure"
	reasonCrashes            = "request crashes servers"
)

const (
	// shortRetryAfter is the Retry-After value where another node may admit the request: the interval between two reads of the store.
	shortRetryAfter = 300 * time.Millisecond
	// startRetryAfter is the Retry-After value of a node that knows no configuration yet: when all nodes start at once, none can serve sooner.
	startRetryAfter = 800 * time.Millisecond
	// crashRetryAfter is the Retry-After value of a request that crashes servers: nodes know of it for longer than callers wait.
	crashRetryAfter = 30 * time.Second
	// maxRetryAfterDivisor bounds Retry-After to this fraction of the caller's timeout (1/4); the rest is needed for the answer.
	maxRetryAfterDivisor = 4
)

// rejection is an error answer that the node itself sends.
type rejection struct {
	status int
	reason string
	// retryAfter is the value of the Retry-After header; 0 omits the header.
	retryAfter time.Duration
}

// retryLater returns the rejection, with status 503, of a request that has not run and that the caller may retry soon.
func retryLater(reason string) *rejection {
	return &rejection{status: http.StatusServiceUnavailable, reason: reason, retryAfter: shortRetryAfter}
}

// reject sends a rejection to the caller, logs and counts it. admitted is nil if the request was not admitted.
func (g *Gateway) reject(w http.ResponseWriter, info RequestInfo, admitted *admittedRequest, rejection *rejection) {
	retryAfter := rejection.retryAfter
	if info.HasTimeout && retryAfter > 0 {
		retryAfter = min(retryAfter, info.Timeout/maxRetryAfterDivisor)
	}
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	g.closeIfStopping(w.Header())
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(rejection.status)
	fields := log.Fields{
		"request": string(info.ID), "status": rejection.status, "reason": rejection.reason, "retry_after": retryAfter.String(),
	}
	if admitted != nil {
		fields["route"] = string(admitted.route.Name)
		fields["team"] = string(admitted.teamName())
		fields["took"] = time.Since(admitted.arrived).Round(time.Millisecond).String()
		fields["configuration"] = int64(admitted.revision)
		g.countOutcome(admitted, "request refused")
	}
	g.opts.Log.WithFields(fields).Info("request refused")
	g.countRejection(rejection.reason)
}
