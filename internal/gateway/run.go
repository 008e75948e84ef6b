package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/placement"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
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
	// bytesPerToken is about what a generated token takes on the wire.
	bytesPerToken = 10
	// tokensPerSlot is how many prompt tokens, read in chunks between the others' steps, delay as much as one more request.
	tokensPerSlot = 1500
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
	// isFirstSlow tells that the first event of this offer was counted as slow before it came, isSlow that the whole answer was.
	isFirstSlow atomic.Bool
	isSlow      bool
	// slowPace is that from which on this offer's answer counts as slow, 0 if too little is known.
	slowPace float64
	// isFilling tells that the server was chosen to see the version under load.
	isFilling bool
	// lastFailure is a server's own failure, given to the caller where no other server does better.
	lastFailure *wholeAnswer
}

func newRun(g *Gateway, wk *work, w http.ResponseWriter) *run {
	r := &run{g: g, w: w, work: wk, lastEvent: wk.LastEvent}
	if wk.ChoosesModel && len(wk.route.Models) > 0 {
		r.useModel(g.opts.Models.First(wk.route.Models))
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
	next := r.g.opts.Models.Next(r.route.Models, r.modelIndex, info.Confidence, r.priority())
	if next == r.modelIndex || !r.g.opts.Budget.Repeat(r.service.Name, time.Now()) {
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
	r.g.opts.Budget.Request(r.service.Name, r.arrived)
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
	case isRepeat && !r.g.opts.Budget.Repeat(r.service.Name, time.Now()):
		return notYet(reasonBudget)
	}
	if r.team != nil && !r.g.opts.Configs.MayUseKeys() {
		return notYet(reasonStaleKeys)
	}
	return nil
}

// place chooses a server, or returns nil if there is none.
func (r *run) place() *backend.Member {
	now := time.Now()
	r.isFilling = false
	r.choice = r.g.opts.Versions.Pick(r.service.Name, r.Session, string(r.ID), now)
	members := r.g.opts.Backends.Of(r.service.Name)
	fitting := r.fitting(members, true)
	if len(fitting) == 0 && !r.choice.IsStrict {
		fitting = r.fitting(members, false)
	}
	if len(fitting) == 0 {
		return nil
	}
	fitting = r.onTrial(fitting, now)
	key := r.affinity()
	if key == "" {
		key = string(r.ID)
	}
	fitting = rendezvous.Rank(key, fitting, func(m *backend.Member) string { return string(m.ID) })
	candidates := make([]placement.Candidate, len(fitting))
	parts := r.partKeys()
	for i, m := range fitting {
		candidates[i] = placement.Candidate{
			View: m.View(now), Slots: m.Slots, IsSameDomain: m.FailureDomain == r.g.opts.FailureDomain,
			IsTried: slices.Contains(r.tried, m.ID),
		}
		cached := m.CachedParts(parts, now)
		if i == 0 {
			// The first by rank is where every node sends requests that share these parts.
			cached = len(parts)
		}
		for _, part := range r.Parts[:cached] {
			candidates[i].CachedTokens += part.Tokens
		}
	}
	asked := placement.Request{Tokens: r.TokensIn, Bytes: len(r.body) + bytesPerToken*r.expectedTokens()}
	if r.service.Engine != nil {
		asked.TokensPerSlot = tokensPerSlot
	}
	chosen := fitting[placement.Choose(asked, candidates)]
	chosen.UseParts(parts, now)
	return chosen
}

// expectedTokens is the caller's guess of the answer's size, or half of its bound.
func (r *run) expectedTokens() int {
	if r.TokensHint > 0 {
		return min(r.TokensHint, r.TokensOut)
	}
	return r.TokensOut / 2
}

// partKeys names the parts of the prompt that other requests may share, and the model that reads them.
func (r *run) partKeys() []string {
	var keys []string
	for _, part := range r.Parts[:max(0, len(r.Parts)-1)] {
		keys = append(keys, string(r.model)+"/"+part.ID)
	}
	return keys
}

// fitting returns the servers that may take the request; ofVersion keeps to the chosen version.
func (r *run) fitting(members []*backend.Member, ofVersion bool) []*backend.Member {
	var fitting []*backend.Member
	for _, m := range members {
		if m.HasLeft() {
			continue
		}
		if ofVersion && r.choice.Target != "" && (m.Version == r.choice.Target) != r.choice.UseTarget {
			continue
		}
		fitting = append(fitting, m)
	}
	return fitting
}

// offer sends the request to a server and hands its answer on.
func (r *run) offer(ctx context.Context, member *backend.Member) verdict {
	offered := time.Now()
	header := r.header.Clone()
	r.g.opts.Wire.SetForward(header, Forward{
		ID: r.ID, Team: r.teamName(), Server: member.ID, TimeLeft: time.Until(r.deadline),
		Model: r.model, LastEvent: r.lastEvent, Urgency: r.priority(), HasUrgency: r.service.Engine != nil,
	})
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := time.AfterFunc(r.headPatience(), cancel)
	defer patience.Stop()
	endWatch := r.watchFirst(member)
	defer endWatch()
	load := newOffer(member, r.TokensIn)
	defer load.end()
	defer r.g.opts.Versions.Begin(r.service.Name, member.Version)()
	answer, err := r.g.opts.Pool.Send(sendCtx, member.Address, &upstream.Request{
		ID: string(r.ID), Method: r.method, Target: r.target, Host: r.host, Header: header, Body: r.body, HasBody: r.hasBody,
	})
	if err != nil {
		if errors.Is(ctx.Err(), context.Canceled) {
			// The caller left; the server is not to blame.
			return verdictMayHaveRun
		}
		return r.failed(member, err, offered)
	}
	defer answer.Close()
	patience.Stop()
	endWatch()
	load.firstByte()
	return r.take(ctx, member, answer, offered)
}

// headPatience is how long a server may take for the head of its answer.
func (r *run) headPatience() time.Duration {
	left := time.Until(r.deadline)
	if !r.route.MayRepeat() || r.runs+1 >= r.route.MaxAttempts {
		return left
	}
	patience := left / 2
	if r.route.TargetLatency > 0 {
		patience = max(min(patience, firstPatience*r.route.TargetLatency), minPatience)
	}
	return min(patience, left)
}

const (
	// firstPatience is how often the target latency passes before a request that may be repeated is sent to another server.
	firstPatience = 2
	// minPatience bounds the wait from below, so that short targets don't double the load of busy servers.
	minPatience = 250 * time.Millisecond
)

// failed takes in an offer without an answer.
func (r *run) failed(member *backend.Member, err error, offered time.Time) verdict {
	member.Fail(time.Now())
	if upstream.IsErrNotSent(err) {
		r.countOffer(member, offerNotRun)
	} else {
		r.countOffer(member, offerLost)
	}
	r.g.opts.Log.WithFields(log.Fields{
		"request": string(r.ID), "server": string(member.ID), "offer": r.sends, "took": time.Since(offered).Round(time.Millisecond).String(),
		"sent": !upstream.IsErrNotSent(err),
	}).WithError(err).Info("offer failed")
	if upstream.IsErrNotSent(err) {
		return verdictNotRun
	}
	// A lost answer is no evidence against the server's version: servers crash and links break at all versions, many requests at once.
	return verdictMayHaveRun
}

// take decides by the head of an answer.
func (r *run) take(ctx context.Context, member *backend.Member, answer *upstream.Answer, offered time.Time) verdict {
	info := r.g.opts.Wire.ReadAnswer(answer.Header)
	now := time.Now()
	if info.HasLoad {
		member.Report(backend.Load(info.Load), now)
	}
	if info.IsNotRun || answer.Status == http.StatusMisdirectedRequest {
		return r.notRun(member, answer, info)
	}
	if answer.Status < http.StatusMultipleChoices {
		if !info.IsSigned {
			member.Fail(now)
			return verdictMayHaveRun
		}
		r.observeFirst(member, time.Since(offered))
		if r.escalates(info) {
			member.Succeed()
			r.explain("model escalated", strconv.Itoa(info.Confidence))
			return verdictEscalated
		}
		if r.route.Kind == route.KindStream {
			return r.relay(ctx, member, answer, offered)
		}
		return r.whole(member, answer, offered)
	}
	return r.serverFailed(member, answer, info, offered)
}

// notRun takes in a server's word that it did not run the request.
func (r *run) notRun(member *backend.Member, answer *upstream.Answer, info AnswerInfo) verdict {
	drain(answer)
	r.countOffer(member, offerNotRun)
	now := time.Now()
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		// The address belongs to another server by now.
		member.Leave()
	case info.HasLoad && info.Load.Running+info.Load.Waiting < info.Load.Slots:
		// A server that refuses with free slots is leaving or at fault.
		member.Fail(now)
	default:
		member.Avoid(now.Add(fullAvoidance))
	}
	r.g.opts.Log.WithFields(log.Fields{
		"request": string(r.ID), "server": string(member.ID), "offer": r.sends, "status": answer.Status,
		"running": info.Load.Running, "waiting": info.Load.Waiting, "slots": info.Load.Slots,
	}).Info("server refused")
	return verdictNotRun
}

// fullAvoidance is how long a full server is passed over: a few requests' time.
const fullAvoidance = 50 * time.Millisecond

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

// offerLoad counts a request at a server while it is there.
type offerLoad struct {
	member *backend.Member
	// tokens is how many prompt tokens are still to be read.
	tokens int
}

func newOffer(member *backend.Member, tokens int) *offerLoad {
	member.Begin(tokens)
	return &offerLoad{member: member, tokens: tokens}
}

func (o *offerLoad) firstByte() {
	o.member.FirstByte(o.tokens)
	o.tokens = 0
}

func (o *offerLoad) end() { o.member.End(o.tokens) }
