package gateway

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/framing"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/internal/workload"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxTotalAttempts bounds the attempts of a request whose answer has not begun, including those that the server certainly did not run.
	maxTotalAttempts = 8
	// notRunDelay is the wait before the next attempt after one that was certainly not run.
	notRunDelay = 10 * time.Millisecond
	// minBegunStreamDelay is that wait for a begun stream that has made maxTotalAttempts, or for which no attempt is allowed. It doubles up to maxBegunStreamDelay,
	// since each attempt that a server rejects draws on the retry budget of all requests.
	minBegunStreamDelay = 250 * time.Millisecond
	maxBegunStreamDelay = 2 * time.Second
)

// dispatcher serves one admitted request by attempts at one server after the other.
type dispatcher struct {
	g *Gateway
	*admittedRequest
	answer *callerAnswer
	// attempts counts all attempts, possibleRuns those after which a server may have run the request.
	attempts, possibleRuns int
	// retryCountedAt is when the last retry was counted in the retry budget.
	retryCountedAt time.Time
	// triedServers lists the servers of the attempts so far; an escalation to a larger model empties it.
	triedServers []api.ServerID
	// usedConns lists the connections over which earlier attempts were answered.
	usedConns []upstream.ConnID
	// model is the model that the node chose, empty if the caller named the model; modelIndex is its index in the route's models.
	model      route.Model
	modelIndex int
	// lastEventID is the id of the last event sent to the caller, initially the one from which the caller resumes a stream.
	lastEventID string
	// hasSentDataWithoutID is set while the last data sent to the caller has no id, so that no server can go on after it.
	hasSentDataWithoutID bool
	// streamType is the media type in the head that was sent to the caller.
	streamType string
	// eventsSent counts the events sent to the caller.
	eventsSent int
	// isUnconfirmed is set while the events sent may be all of the stream, which another server is asked to confirm.
	isUnconfirmed bool
	// versionChoice restricts the servers of the current attempt by version.
	versionChoice versionrollout.Choice
	// utilization is the fraction of the service's slots in use when the server was chosen; 0 if the caller named the model.
	utilization float64
	// isFirstEventSlow is set if the first event of the current attempt was counted as slow before it arrived, isAnswerSlow if the
	// whole answer was.
	isFirstEventSlow *atomic.Bool
	isAnswerSlow     bool
	// slowPace is the pace above which the current attempt's answer counts as slow; 0 if it isn't known yet.
	slowPace float64
	// unreadTokens is the number of prompt tokens that the server of the current attempt has probably not cached, unread the work to read them, and
	// ahead the other work before the attempt's first event that was known when the server was chosen.
	unreadTokens  int
	unread, ahead workload.Work
	// slowness is that of the server of the current attempt when it was chosen.
	slowness float64
	// firstEventAt is when the answer of the current attempt began; zero before.
	firstEventAt time.Time
	// isFillAttempt is set if the server was chosen to observe the candidate version under load.
	isFillAttempt bool
	// serverLoad is the part of its slots that the server reported to run with its answer; valid if hasServerLoad.
	serverLoad    float64
	hasServerLoad bool
	// crashes counts the servers that crashed while they ran the request, crashesBeforeAnswer those of them before its answer had begun.
	crashes, crashesBeforeAnswer int
	// hasBegun is set once the answer has begun, isAnswered once it is complete.
	hasBegun, isAnswered bool
	// isProbe is set if the request may crash one server at most.
	isProbe bool
	// hasGivenUpServer is set once a server was given up for its silence.
	hasGivenUpServer bool
	// loggedWait is the number of the attempt during or after which the request was last logged to wait.
	loggedWait int
	// begunStreamDelay is the last wait of a begun stream; 0 before the first one.
	begunStreamDelay time.Duration
	// isReserved is set once the next attempt was reserved while the current one went on: it has passed checkAttempt, and its retry is drawn from the budget.
	// checkAttempt uses the reservation up, returnReservation gives back one that is left.
	isReserved bool
	// lastErrorAnswer is the last error answer of a server, forwarded to the caller if no other attempt succeeds.
	lastErrorAnswer *wholeAnswer
}

func newDispatcher(g *Gateway, admitted *admittedRequest, answer *callerAnswer) *dispatcher {
	d := &dispatcher{g: g, admittedRequest: admitted, answer: answer, lastEventID: admitted.LastEventID}
	if admitted.AutoModel && len(admitted.route.Models) > 0 {
		d.useModel(g.opts.ModelPolicy.First(admitted.route.Models))
	}
	return d
}

func (d *dispatcher) useModel(index int) {
	d.modelIndex, d.model = index, d.route.Models[index]
}

// escalate decides by an answer's confidence whether a larger model is to answer instead; it then selects that model and reports true.
// An answer can only be replaced before any part of it was sent to the caller, and if another attempt is allowed.
func (d *dispatcher) escalate(ctx context.Context, info AnswerInfo) bool {
	if d.model == "" || !info.HasConfidence || d.answer.isHeadSent.Load() {
		return false
	}
	next := d.g.opts.ModelPolicy.Next(d.route.Models, d.modelIndex, info.Confidence, d.priority(), d.utilization)
	if next == d.modelIndex || d.reserveAttempt(ctx) != "" {
		return false
	}
	d.countEscalation(d.model)
	d.useModel(next)
	return true
}

// attemptResult is the result of one attempt.
type attemptResult int

const (
	// resultDone means that the request is finished.
	resultDone attemptResult = iota
	// resultNotSent means that no byte of the request was sent to the server.
	resultNotSent
	// resultNotRun means that the server did not run the request.
	resultNotRun
	// resultMayHaveRun means that the server may have run the request and that the caller has no complete answer.
	resultMayHaveRun
	// resultUnconfirmed means that the caller has the server's whole answer, of which nothing shows that it is complete.
	resultUnconfirmed
	// resultEscalated means that the answer was discarded and a larger model is to answer.
	resultEscalated
)

// serve makes attempts until the caller has its answer or no further attempt is allowed.
func (d *dispatcher) serve(ctx context.Context) {
	d.g.opts.RetryBudget.RecordRequest(d.service.Name, d.arrived)
	d.g.prompts.record(d.route.Name, d.PromptTokens, d.expectedAnswerTokens())
	defer d.reportCrashes()
	defer d.releaseErrorAnswer()
	defer d.returnReservation()
	isRetry := false
	for {
		if hasLeft(ctx) {
			d.abandon()
		}
		refused := d.checkAttempt(ctx, isRetry)
		var server *backend.TrackedServer
		if refused == nil {
			if server, refused = d.chooseServer(); server == nil && isRetry {
				d.g.opts.RetryBudget.ReturnRetry(d.service.Name, d.retryCountedAt, time.Now())
			}
		}
		if refused != nil {
			if d.mayWait(refused) {
				d.logWait("stream waits", refused.reason)
				sleep.For(ctx, d.nextBegunStreamDelay())
				continue
			}
			d.failRequest(refused)
			return
		}
		d.attempts++
		d.triedServers = append(d.triedServers, server.ID)
		result := d.attempt(ctx, server)
		if result == resultNotSent {
			if isRetry {
				d.g.opts.RetryBudget.ReturnRetry(d.service.Name, d.retryCountedAt, time.Now())
			} else {
				// The next attempt is no retry either.
				d.returnReservation()
			}
			sleep.For(ctx, d.notRunDelay())
			continue
		}
		isRetry = true
		switch result {
		case resultDone:
			return
		case resultEscalated:
			// escalate has already reserved the next attempt.
			d.possibleRuns++
			d.triedServers = nil
			isRetry = false
		case resultUnconfirmed:
			d.possibleRuns++
		case resultMayHaveRun:
			d.possibleRuns++
			if !d.mayRepeat() && !isEndedByStop(ctx) {
				d.failRequest(&rejection{status: http.StatusBadGateway, reason: "server's answer lost"})
				return
			}
			if d.hasCrashedEnough() {
				d.failRequest(&rejection{status: http.StatusBadGateway, reason: reasonCrashes})
				return
			}
		case resultNotRun:
			sleep.For(ctx, d.notRunDelay())
		}
	}
}

// checkAttempt returns nil if another attempt is allowed, and the rejection otherwise. isRetry is set if the request has reached a server before: the attempt then
// draws on the retry budget. A reserved attempt has passed before and is used up.
func (d *dispatcher) checkAttempt(ctx context.Context, isRetry bool) *rejection {
	switch {
	case isEndedByStop(ctx):
		return retryLater(reasonStopping)
	case ctx.Err() != nil:
		return &rejection{status: http.StatusGatewayTimeout, reason: reasonDeadline}
	case d.isReserved:
		d.isReserved = false
		return nil
	case d.attempts > 0 && (d.hasMadeAllAttempts() || d.possibleRuns >= d.route.MaxAttempts):
		return &rejection{status: http.StatusBadGateway, reason: reasonAttempts}
	case d.team != nil && !d.g.opts.Configs.MayUseKeys():
		return retryLater(reasonStaleKeys)
	}
	drawsOnBudget := d.attempts > 0 && isRetry
	if drawsOnBudget && !d.allowRetry() {
		return retryLater(reasonBudget)
	}
	rejection := d.checkCrashes()
	if rejection != nil && drawsOnBudget {
		d.g.opts.RetryBudget.ReturnRetry(d.service.Name, d.retryCountedAt, time.Now())
	}
	return rejection
}

// hasMadeAllAttempts reports whether the request has made as many attempts as one may whose answer has not begun.
func (d *dispatcher) hasMadeAllAttempts() bool {
	return d.attempts >= maxTotalAttempts && !d.answer.isHeadSent.Load()
}

// notRunDelay returns the wait before the next attempt after one that was certainly not run.
func (d *dispatcher) notRunDelay() time.Duration {
	if d.attempts >= maxTotalAttempts {
		return d.nextBegunStreamDelay()
	}
	return notRunDelay
}

// nextBegunStreamDelay returns the next wait of a begun stream.
func (d *dispatcher) nextBegunStreamDelay() time.Duration {
	d.begunStreamDelay = min(max(2*d.begunStreamDelay, minBegunStreamDelay), maxBegunStreamDelay)
	return d.begunStreamDelay
}

// mayWait reports whether a begun stream waits until it may go on, instead of ending for a rejection. Where the rejection is this node's alone, its caller is better
// off at another node, unless the server that this node has given up might have sent the rest.
func (d *dispatcher) mayWait(refused *rejection) bool {
	if !d.answer.isHeadSent.Load() || d.isUnconfirmed && d.mayEndUnconfirmed() {
		return false
	}
	switch refused.reason {
	case reasonNoServer, reasonEvacuated, reasonRegions:
		return true
	case reasonBudget, reasonStaleKeys:
		return d.hasGivenUpServer
	default:
		return false
	}
}

// mayRepeat reports whether the request may be sent to another server after one may have run it.
func (d *dispatcher) mayRepeat() bool { return d.route.MayRepeat() && !d.hasSentDataWithoutID }

// allowRetry draws on the retry budget. A further attempt at a stream that may be complete is optional if the stream may end without it.
func (d *dispatcher) allowRetry() bool {
	d.retryCountedAt = time.Now()
	if d.isUnconfirmed && d.mayEndUnconfirmed() {
		return d.g.opts.RetryBudget.AllowOptionalRetry(d.service.Name, d.retryCountedAt)
	}
	return d.g.opts.RetryBudget.AllowRetry(d.service.Name, d.retryCountedAt)
}

// handleAnswer decides by the head of an answer whether to forward it or to make another attempt.
func (d *dispatcher) handleAnswer(ctx context.Context, server *backend.TrackedServer, answer *upstream.Answer, startedAt time.Time) attemptResult {
	info := d.g.opts.HeaderCodec.ReadAnswer(answer.Status, answer.Header)
	now := time.Now()
	if len(info.Invalid) > 0 {
		d.g.opts.Log.WithFields(log.Fields{
			"request": string(d.ID), "server": string(server.ID), "fields": info.Invalid,
		}).Warn("ignored invalid report of a server")
	}
	d.serverLoad, d.hasServerLoad = info.Report.LoadPart()
	d.isFillAttempt = d.isFillAttempt && !d.isLightLoad()
	if answer.Status != http.StatusMisdirectedRequest {
		// By this status, another server at the address answers for itself.
		d.recordReport(server, answer, info.Report, startedAt, now)
	}
	if info.IsNotRun || answer.Status == http.StatusMisdirectedRequest {
		return d.attemptNotRun(server, answer, info)
	}
	if answer.Status < http.StatusMultipleChoices {
		if !info.IsSigned {
			server.RecordFailure(now)
			d.countAttempt(server, outcomeLost)
			d.g.opts.Log.WithFields(log.Fields{
				"request": string(d.ID), "server": string(server.ID), "offer": d.attempts, "status": answer.Status,
			}).Info("unsigned answer discarded")
			return resultMayHaveRun
		}
		d.observeFill(server)
		d.observeFirstEvent(server, time.Since(startedAt))
		if d.escalate(ctx, info) {
			server.RecordSuccess()
			d.logEvent("model escalated", fmt.Sprintf("confidence %d at load %.2f", info.Confidence, d.utilization))
			return resultEscalated
		}
		if d.route.Kind == route.KindStream {
			if err := d.checkResumed(answer.Header); err != nil {
				return d.attemptFailed(ctx, server, upstream.Error.Wrap(&upstream.ErrNoAnswer{Cause: err}), startedAt)
			}
			return d.relay(ctx, server, answer, startedAt)
		}
		return d.forwardWhole(ctx, server, answer, startedAt)
	}
	return d.handleErrorAnswer(ctx, server, answer, info, startedAt)
}

// abandon ends a request whose caller has left. It aborts the connection, over which the caller may still read: returning would end the
// answer properly.
func (d *dispatcher) abandon() {
	d.finish("caller left", "")
	d.answer.abort()
}

// failRequest ends a request for which there is no complete answer. It ends an answer that may be complete as such, aborts any other that has
// begun, forwards the last error answer, or sends the rejection.
func (d *dispatcher) failRequest(failure *rejection) {
	if d.answer.isHeadSent.Load() && d.isUnconfirmed {
		d.endStream(framing.Unconfirmed, failure.reason)
		return
	}
	if d.answer.isHeadSent.Load() {
		d.finish("stream broken off", failure.reason)
		d.answer.abort()
	}
	if d.lastErrorAnswer != nil {
		d.sendWhole(d.lastErrorAnswer)
		d.finish("server's failure handed on", failure.reason)
		return
	}
	if failure.status == http.StatusServiceUnavailable && d.possibleRuns > 0 {
		// A 503 would claim that the request has not run.
		failure = &rejection{status: http.StatusBadGateway, reason: failure.reason}
	}
	if failure.status != http.StatusServiceUnavailable && d.possibleRuns == 0 {
		failure = &rejection{status: http.StatusServiceUnavailable, reason: failure.reason, retryAfter: shortRetryAfter}
	}
	d.g.reject(d.answer.w, d.RequestInfo, d.admittedRequest, failure)
}

// logEvent logs an event of the request, such as its end.
func (d *dispatcher) logEvent(message, reason string) {
	d.g.opts.Log.WithFields(log.Fields{
		"request": string(d.ID), "route": string(d.route.Name), "team": string(d.teamName()), "reason": reason,
		"sends": d.attempts, "runs": d.possibleRuns, "events": d.eventsSent, "model": string(d.model), "configuration": int64(d.revision),
		"took": time.Since(d.arrived).Round(time.Millisecond).String(), "unread": time.Duration(d.unread).Round(time.Millisecond).String(),
		"ahead": time.Duration(d.ahead).Round(time.Millisecond).String(), "slowness": math.Round(100*d.slowness) / 100,
	}).Info(message)
}
