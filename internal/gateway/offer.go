package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
)

// offer sends the request to a server and hands its answer on.
func (r *run) offer(ctx context.Context, member *backend.TrackedServer) verdict {
	offered := time.Now()
	header := r.header.Clone()
	r.g.opts.HeaderCodec.SetForward(header, ForwardInfo{
		ID: r.ID, Team: r.teamName(), Server: member.ID, TimeLeft: time.Until(r.deadline),
		Model: r.model, LastEventID: r.lastEvent, Urgency: r.priority(), HasUrgency: r.service.Engine != nil,
	})
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := time.AfterFunc(r.headPatience(), cancel)
	defer patience.Stop()
	endWatch := r.watchFirst(member)
	defer endWatch()
	load := newOffer(member, r.PromptTokens)
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
func (r *run) failed(member *backend.TrackedServer, err error, offered time.Time) verdict {
	member.RecordFailure(time.Now())
	if tcp.IsErrNotSent(err) {
		r.countOffer(member, offerNotRun)
	} else {
		r.countOffer(member, offerLost)
	}
	r.g.opts.Log.WithFields(log.Fields{
		"request": string(r.ID), "server": string(member.ID), "offer": r.sends, "took": time.Since(offered).Round(time.Millisecond).String(),
		"sent": !tcp.IsErrNotSent(err),
	}).WithError(err).Info("offer failed")
	if tcp.IsErrNotSent(err) {
		return verdictNotRun
	}
	// A lost answer is no evidence against the server's version: servers crash and links break at all versions, many requests at once.
	return verdictMayHaveRun
}

// notRun takes in a server's word that it did not run the request.
func (r *run) notRun(member *backend.TrackedServer, answer *upstream.Answer, info AnswerInfo) verdict {
	drain(answer)
	r.countOffer(member, offerNotRun)
	now := time.Now()
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		// The address belongs to another server by now.
		member.MarkLeaving()
	case info.HasLoad && info.Load.Running+info.Load.Waiting < info.Load.Slots:
		// A server that refuses with free slots is leaving or at fault.
		member.RecordFailure(now)
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

// offerLoad counts a request at a server while it is there.
type offerLoad struct {
	member *backend.TrackedServer
	// tokens is how many prompt tokens are still to be read.
	tokens int
}

func newOffer(member *backend.TrackedServer, tokens int) *offerLoad {
	member.Begin(tokens)
	return &offerLoad{member: member, tokens: tokens}
}

func (o *offerLoad) firstByte() {
	o.member.FirstByte(o.tokens)
	o.tokens = 0
}

func (o *offerLoad) end() { o.member.End(o.tokens) }
