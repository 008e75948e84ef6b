package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxSends bounds how often a request is offered to servers, those that did not run it included.
	maxSends = 8
	// refusedPause is the wait before a request goes to another server after one refused it without running it.
	refusedPause = 10 * time.Millisecond
)

// run answers one request, with the answers of one server or of several in turn.
type run struct {
	g *Gateway
	w http.ResponseWriter
	*work
	// sends counts the offers, runs those after which a server may have run the request.
	sends, runs int
	// tried lists the servers to which it was sent.
	tried []api.ServerID
	// model is the one that the router chose, empty where the caller named it, and modelIndex its place among the route's.
	model      route.Model
	modelIndex int
	// lastEvent is the id of the last event that the caller was sent, or with which it came.
	lastEvent string
	// events counts those sent to the caller.
	events int
	// hasHead tells that the caller was sent the head of the answer.
	hasHead bool
	// choice restricts the versions of the servers.
	choice versionrollout.Choice
	// load is the part of the service's slots that were taken when a server was chosen; 0 where the caller named the model.
	load float64
	// isFirstSlow tells that the first event of this offer was counted as slow before it came, isSlow that the whole answer was.
	isFirstSlow *atomic.Bool
	isSlow      bool
	// slowPace is that from which on this offer's answer counts as slow, 0 if too little is known.
	slowPace float64
	// isFilling tells that the server was chosen to see the version under load.
	isFilling bool
	// lastFailure is a server's own failure, given to the caller where no other server does better.
	lastFailure *wholeAnswer
}

func newRun(g *Gateway, wk *work, w http.ResponseWriter) *run {
	r := &run{g: g, w: w, work: wk, lastEvent: wk.LastEventID}
	if wk.AutoModel && len(wk.route.Models) > 0 {
		r.useModel(g.opts.ModelPolicy.First(wk.route.Models))
	}
	return r
}

func (r *run) useModel(index int) {
	r.modelIndex, r.model = index, r.route.Models[index]
}

// escalates reports whether a larger model is to answer instead, and chooses it. Only an answer of which the caller has nothing
// yet can be replaced.
func (r *run) escalates(info AnswerInfo) bool {
	if r.model == "" || !info.HasConfidence || r.hasHead || r.runs+1 >= r.route.MaxAttempts {
		return false
	}
	next := r.g.opts.ModelPolicy.Next(r.route.Models, r.modelIndex, info.Confidence, r.priority(), r.load)
	if next == r.modelIndex || !r.g.opts.RetryBudget.AllowRetry(r.service.Name, time.Now()) {
		return false
	}
	r.countEscalation(r.model)
	r.useModel(next)
	return true
}

// verdict is what follows from one offer.
type verdict int

const (
	// verdictDone means that the caller has its answer, or has left.
	verdictDone verdict = iota
	// verdictNotRun means that the server did not run the request.
	verdictNotRun
	// verdictMayHaveRun means that it may have run and the caller's answer isn't whole.
	verdictMayHaveRun
	// verdictEscalated means that a larger model is to answer.
	verdictEscalated
)

// serve offers the request to servers until the caller has its answer or no more is allowed.
func (r *run) serve(ctx context.Context) {
	r.g.opts.RetryBudget.RecordRequest(r.service.Name, r.arrived)
	isRepeat := false
	for {
		if errors.Is(ctx.Err(), context.Canceled) {
			r.finish("caller left", "")
			panic(http.ErrAbortHandler)
		}
		if refusal := r.mayOffer(ctx, isRepeat); refusal != nil {
			r.giveUp(refusal)
			return
		}
		member := r.place()
		if member == nil {
			r.giveUp(notYet(reasonNoServer))
			return
		}
		r.sends++
		r.tried = append(r.tried, member.ID)
		isRepeat = true
		switch r.offer(ctx, member) {
		case verdictDone:
			return
		case verdictEscalated:
			// The retry budget has counted it.
			r.runs++
			r.tried = nil
			isRepeat = false
		case verdictMayHaveRun:
			r.runs++
			if !r.route.MayRepeat() {
				r.giveUp(&refusal{status: http.StatusBadGateway, reason: "server's answer lost"})
				return
			}
		case verdictNotRun:
			sleep.For(ctx, refusedPause)
		}
	}
}

// mayOffer returns why the request may not be offered to a server, or nil; isRepeat draws on the retry budget.
func (r *run) mayOffer(ctx context.Context, isRepeat bool) *refusal {
	switch {
	case ctx.Err() != nil:
		return &refusal{status: http.StatusGatewayTimeout, reason: reasonDeadline}
	case r.sends == 0:
	case r.sends >= maxSends || r.runs >= r.route.MaxAttempts:
		return &refusal{status: http.StatusBadGateway, reason: reasonAttempts}
	case isRepeat && !r.g.opts.RetryBudget.AllowRetry(r.service.Name, time.Now()):
		return notYet(reasonBudget)
	}
	if r.team != nil && !r.g.opts.Configs.MayUseKeys() {
		return notYet(reasonStaleKeys)
	}
	return nil
}

// take decides by the head of an answer.
func (r *run) take(ctx context.Context, member *backend.TrackedServer, answer *upstream.Answer, offered time.Time) verdict {
	info := r.g.opts.HeaderCodec.ReadAnswer(answer.Header)
	now := time.Now()
	if info.HasLoad {
		member.RecordLoad(backend.Load(info.Load), now)
	}
	if info.IsNotRun || answer.Status == http.StatusMisdirectedRequest {
		return r.notRun(member, answer, info)
	}
	if answer.Status < http.StatusMultipleChoices {
		if !info.IsSigned {
			member.RecordFailure(now)
			return verdictMayHaveRun
		}
		r.observeFirst(member, time.Since(offered))
		if r.escalates(info) {
			member.RecordSuccess()
			r.explain("model escalated", fmt.Sprintf("confidence %d at load %.2f", info.Confidence, r.load))
			return verdictEscalated
		}
		if r.route.Kind == route.KindStream {
			return r.relay(ctx, member, answer, offered)
		}
		return r.whole(member, answer, offered)
	}
	return r.serverFailed(member, answer, info, offered)
}

// giveUp ends the request without a server's whole answer.
func (r *run) giveUp(why *refusal) {
	if r.hasHead {
		r.finish("stream broken off", why.reason)
		panic(http.ErrAbortHandler)
	}
	if r.lastFailure != nil {
		r.send(r.lastFailure)
		r.finish("server's failure handed on", why.reason)
		return
	}
	if why.status == http.StatusServiceUnavailable && r.runs > 0 {
		// It may have run, which a 503 would deny.
		why = &refusal{status: http.StatusBadGateway, reason: why.reason}
	}
	if why.status != http.StatusServiceUnavailable && r.runs == 0 {
		why = &refusal{status: http.StatusServiceUnavailable, reason: why.reason, retryAfter: retrySoon}
	}
	r.g.refuse(r.w, r.RequestInfo, r.work, why)
}

// explain logs how a request ended.
func (r *run) explain(what, reason string) {
	r.g.opts.Log.WithFields(log.Fields{
		"request": string(r.ID), "route": string(r.route.Name), "team": string(r.teamName()), "reason": reason,
		"sends": r.sends, "runs": r.runs, "events": r.events, "model": string(r.model), "configuration": int64(r.revision),
		"took": time.Since(r.arrived).Round(time.Millisecond).String(),
	}).Info(what)
}
