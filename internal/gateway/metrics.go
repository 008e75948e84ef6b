package gateway

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
)

// Names of the gateway's metrics.
const (
	metricRequests     = "monsoonrail_gateway_requests"
	metricDuration     = "monsoonrail_gateway_request"
	metricFirstEvent   = "monsoonrail_gateway_first_event"
	metricTeamRequests = "monsoonrail_gateway_team_requests"
	metricRejected     = "monsoonrail_gateway_refused"
	metricAttempts     = "monsoonrail_gateway_offers"
	metricAnswerEnds   = "monsoonrail_gateway_answer_ends"
	metricEscalations  = "monsoonrail_gateway_escalations"
	metricReports      = "monsoonrail_gateway_server_reports"
	metricAhead        = "monsoonrail_gateway_work_ahead"
	metricSlowness     = "monsoonrail_gateway_server_slowness_percent"
)

// Values of the outcome label of metricAttempts.
const (
	outcomeAnswered    = "answered"
	outcomeUnconfirmed = "end not confirmed"
	outcomeFailed      = "server's failure"
	outcomeLost        = "answer lost"
	outcomeNotRun      = "not run"
)

// finish logs and counts the outcome of a request.
func (d *dispatcher) finish(outcome, reason string) {
	d.logEvent(outcome, reason)
	d.g.countOutcome(d.admittedRequest, outcome)
}

// countOutcome counts the outcome of an admitted request and observes its duration.
func (g *Gateway) countOutcome(admitted *admittedRequest, outcome string) {
	byRoute := metric.Label{Name: "route", Value: string(admitted.route.Name)}
	byOutcome := metric.Label{Name: "outcome", Value: outcome}
	g.opts.Metrics.Counter(metricRequests, byRoute, byOutcome).Inc(1)
	g.opts.Metrics.ObserveDuration(metricDuration, time.Since(admitted.arrived), byRoute)
	if team := admitted.teamName(); team != "" {
		g.opts.Metrics.Counter(metricTeamRequests, metric.Label{Name: "team", Value: string(team)}, byOutcome).Inc(1)
	}
}

// countRejection counts a rejected request by reason.
func (g *Gateway) countRejection(reason string) {
	g.opts.Metrics.Counter(metricRejected, metric.Label{Name: "reason", Value: reason}).Inc(1)
}

// countAttempt counts an attempt by the server's service and version and by its outcome.
func (d *dispatcher) countAttempt(server *backend.TrackedServer, outcome string) {
	d.g.opts.Metrics.Counter(metricAttempts,
		metric.Label{Name: "service", Value: string(d.service.Name)}, metric.Label{Name: "version", Value: string(server.Version)},
		metric.Label{Name: "outcome", Value: outcome}).Inc(1)
}

// countReport counts a server's report that changes which requests it takes; verdict is the one from then on.
func (d *dispatcher) countReport(verdict selfreport.Verdict) {
	d.g.opts.Metrics.Counter(metricReports,
		metric.Label{Name: "service", Value: string(d.service.Name)}, metric.Label{Name: "verdict", Value: verdict.String()}).Inc(1)
}

// countPlacement observes what was known of the server that was chosen.
func (d *dispatcher) countPlacement() {
	byService := metric.Label{Name: "service", Value: string(d.service.Name)}
	d.g.opts.Metrics.ObserveDuration(metricAhead, time.Duration(d.ahead), byService)
	d.g.opts.Metrics.Histogram(metricSlowness, byService).Update(int64(100 * d.slowness))
}

// countFirstEvent observes the time from a request's arrival to the first event sent to the caller.
func (d *dispatcher) countFirstEvent() {
	d.g.opts.Metrics.ObserveDuration(metricFirstEvent, time.Since(d.arrived), metric.Label{Name: "route", Value: string(d.route.Name)})
}

// countEscalation counts an answer that is discarded in favour of a larger model's. from is the model that gave it.
func (d *dispatcher) countEscalation(from route.Model) {
	d.g.opts.Metrics.Counter(metricEscalations,
		metric.Label{Name: "route", Value: string(d.route.Name)}, metric.Label{Name: "model", Value: string(from)}).Inc(1)
}
