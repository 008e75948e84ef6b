package gateway

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// Names of the gateway's series.
const (
	metricRequests    = "monsoonrail_gateway_requests"
	metricTook        = "monsoonrail_gateway_request"
	metricFirstEvent  = "monsoonrail_gateway_first_event"
	metricTeam        = "monsoonrail_gateway_team_requests"
	metricRefused     = "monsoonrail_gateway_refused"
	metricOffers      = "monsoonrail_gateway_offers"
	metricEscalations = "monsoonrail_gateway_escalations"
)

// Outcomes of offers to servers, as metrics name them.
const (
	offerAnswered = "answered"
	offerFailed   = "server's failure"
	offerLost     = "answer lost"
	offerNotRun   = "not run"
)

// finish logs and counts how a request ended.
func (r *run) finish(outcome, reason string) {
	r.explain(outcome, reason)
	r.g.countEnd(r.work, outcome)
}

// countEnd counts the end of a request that was let in.
func (g *Gateway) countEnd(wk *work, outcome string) {
	byRoute := metric.Label{Name: "route", Value: string(wk.route.Name)}
	byOutcome := metric.Label{Name: "outcome", Value: outcome}
	g.opts.Metrics.Counter(metricRequests, byRoute, byOutcome).Inc(1)
	g.opts.Metrics.ObserveDuration(metricTook, time.Since(wk.arrived), byRoute)
	if team := wk.teamName(); team != "" {
		g.opts.Metrics.Counter(metricTeam, metric.Label{Name: "team", Value: string(team)}, byOutcome).Inc(1)
	}
}

// countRefusal counts a refusal by its reason.
func (g *Gateway) countRefusal(reason string) {
	g.opts.Metrics.Counter(metricRefused, metric.Label{Name: "reason", Value: reason}).Inc(1)
}

// countOffer counts how a server took a request.
func (r *run) countOffer(member *backend.TrackedServer, outcome string) {
	r.g.opts.Metrics.Counter(metricOffers,
		metric.Label{Name: "service", Value: string(r.service.Name)}, metric.Label{Name: "version", Value: string(member.Version)},
		metric.Label{Name: "outcome", Value: outcome}).Inc(1)
}

// countFirstEvent observes the time from a request's arrival to the first event that its caller got.
func (r *run) countFirstEvent() {
	r.g.opts.Metrics.ObserveDuration(metricFirstEvent, time.Since(r.arrived), metric.Label{Name: "route", Value: string(r.route.Name)})
}

// countEscalation counts an answer of one model that a larger one is to replace.
func (r *run) countEscalation(from route.Model) {
	r.g.opts.Metrics.Counter(metricEscalations,
		metric.Label{Name: "route", Value: string(r.route.Name)}, metric.Label{Name: "model", Value: string(from)}).Inc(1)
}
