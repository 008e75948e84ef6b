package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
	"github.com/monsoonrail/monsoonrail/internal/workload"
)

// attempt sends the request to a server and forwards the answer to the caller.
func (d *dispatcher) attempt(ctx context.Context, server *backend.TrackedServer) attemptResult {
	startedAt := time.Now()
	header := d.header.Clone()
	d.g.opts.HeaderCodec.SetForward(header, ForwardInfo{
		ID: d.ID, Team: d.teamName(), Server: server.ID, TimeLeft: time.Until(d.deadline),
		Model: d.model, LastEventID: d.lastEventID, Urgency: d.priority(), HasUrgency: d.service.Engine != nil,
	})
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	headWatch := d.watchHead(ctx, cancel)
	endWatch := d.watchFirstEvent(server)
	defer endWatch()
	load := newAttemptLoad(server, d.unread)
	defer load.end()
	endAttempt := d.g.opts.Versions.BeginAttempt(d.service.Name, server.Version)
	defer func() { endAttempt(d.isAnswered) }()
	req := &upstream.Request{
		ID: string(d.ID), UsedConns: d.usedConns,
		Method: d.method, Target: d.target, Host: d.host, Header: header, Body: d.body, HasBody: d.hasBody,
		QuietTimeout: d.quietTimeout(),
	}
	if !d.isLastAttempt() {
		req.MayAbandon = headWatch.mayAbandon
	}
	answer, err := d.g.opts.Pool.Send(sendCtx, server.Address, req)
	headWatch.end()
	if err != nil {
		if errors.Is(ctx.Err(), context.Canceled) {
			// The caller disconnected; this is no failure of the server.
			return resultMayHaveRun
		}
		return d.attemptFailed(ctx, server, err, startedAt)
	}
	defer answer.Close()
	d.usedConns = append(d.usedConns, answer.ConnID())
	endWatch()
	load.firstByte()
	return d.handleAnswer(ctx, server, answer, startedAt)
}

// recordReport records what a server reported about itself in the answer to an attempt made at sentAt.
func (d *dispatcher) recordReport(server *backend.TrackedServer, answer *upstream.Answer, report selfreport.Report, sentAt, now time.Time) {
	share := selfreport.NewShare(d.g.opts.Node, server.ID, d.g.opts.RecentNodeCount())
	change := server.RecordReport(report, share, sentAt, now)
	if !change.IsNews() {
		return
	}
	if change.ConcernsAllNodes() && server.Start != 0 {
		d.g.opts.Reports.Put(server.SharedReport())
	}
	if relay := answer.RelayedBy(); relay != "" && server.Start != 0 {
		told := server.SharedReport()
		told.Pause = report.Pause
		d.g.opts.RelayReport(relay, told)
	}
	decision := server.Admission(share.Nodes, now)
	fields := log.Fields{
		"request": string(d.ID), "server": string(server.ID), "service": string(d.service.Name), "verdict": decision.Verdict.String(),
	}
	if report.HasLimit {
		fields["limit"], fields["nodes"] = float64(report.Limit), share.Nodes
	}
	if !decision.Until.IsZero() {
		fields["for"] = decision.Until.Sub(now).Round(time.Millisecond).String()
	}
	d.g.opts.Log.WithFields(fields).Info("server reported about itself")
	d.countReport(decision.Verdict)
}

// isLastAttempt reports whether no further attempt may follow if the server runs the current one.
func (d *dispatcher) isLastAttempt() bool {
	return !d.mayRepeat() || d.possibleRuns+1 >= d.route.MaxAttempts || d.hasMadeAllAttempts()
}

// answerTimeout returns how long to wait for the head of a server's answer, and then for the body of one that isn't streamed. If no further
// attempt may follow, it returns the time until the deadline.
func (d *dispatcher) answerTimeout() time.Duration {
	remaining := time.Until(d.deadline)
	if d.isLastAttempt() {
		return remaining
	}
	timeout := remaining / 2
	if d.route.TargetLatency > 0 {
		timeout = max(min(timeout, answerTimeoutFactor*d.route.TargetLatency), minAnswerTimeout)
	}
	return min(timeout, remaining)
}

// quietTimeout returns the time after which it is unusual that the answer to a call has not begun; 0 for streams, whose servers read the prompt first.
func (d *dispatcher) quietTimeout() time.Duration {
	if d.route.Kind == route.KindStream {
		return 0
	}
	return answerTimeoutFactor * d.route.TargetLatency
}

const (
	// answerTimeoutFactor times the route's target latency is the wait before a repeatable request is sent to another server.
	answerTimeoutFactor = 2
	// minAnswerTimeout is the minimum of that wait, so that short target latencies don't double the load of busy servers.
	minAnswerTimeout = 250 * time.Millisecond
)

// attemptFailed records an attempt that got no answer, and returns whether the request may have run.
func (d *dispatcher) attemptFailed(ctx context.Context, server *backend.TrackedServer, err error, startedAt time.Time) attemptResult {
	if !upstream.IsErrPathSilent(err) {
		server.RecordFailure(time.Now())
		d.countCrash(ctx, server, err, startedAt)
	}
	if tcp.IsErrNotSent(err) {
		d.countAttempt(server, outcomeNotRun)
	} else {
		d.countAttempt(server, outcomeLost)
	}
	d.g.opts.Log.WithFields(log.Fields{
		"request": string(d.ID), "server": string(server.ID), "offer": d.attempts, "took": time.Since(startedAt).Round(time.Millisecond).String(),
		"sent": !tcp.IsErrNotSent(err),
	}).WithError(err).Info("offer failed")
	if tcp.IsErrNotSent(err) {
		return resultNotSent
	}
	// A lost answer is not counted against the server's version: crashes and broken links occur at all versions and hit many requests
	// at once.
	return resultMayHaveRun
}

// attemptNotRun records an answer by which a server rejects the request without having run it.
func (d *dispatcher) attemptNotRun(server *backend.TrackedServer, answer *upstream.Answer, info AnswerInfo) attemptResult {
	drain(answer)
	d.countAttempt(server, outcomeNotRun)
	if answer.Status == http.StatusMisdirectedRequest && d.possibleRuns == 0 && d.namesUnknownModel() {
		// The server's answer is about the caller's model, which no other server has either.
		d.g.reject(d.answer.w, d.RequestInfo, d.admittedRequest, &rejection{status: http.StatusMisdirectedRequest, reason: reasonUnknownModel})
		return resultDone
	}
	now, report := time.Now(), info.Report
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		// The address now belongs to another server.
		server.MarkLeaving()
	case report.HasLoad && report.Load.Running+report.Load.Waiting < report.Load.Slots:
		// A server that rejects requests while it has free slots is draining or faulty.
		server.RecordFailure(now)
	default:
		server.Avoid(now.Add(fullServerAvoidance))
		if server.RecordNoRoom(now) {
			d.countReport(selfreport.Full)
		}
	}
	d.g.opts.Log.WithFields(log.Fields{
		"request": string(d.ID), "server": string(server.ID), "offer": d.attempts, "status": answer.Status,
		"running": report.Load.Running, "waiting": report.Load.Waiting, "slots": report.Load.Slots, "brittle": report.HasBrittle,
	}).Info("server refused")
	return resultNotRun
}

// namesUnknownModel reports whether the caller has named a model that the service's engines are not known to have.
func (d *dispatcher) namesUnknownModel() bool {
	if d.model != "" || d.Model == "" || d.service.Engine == nil || len(d.service.Engine.Cost) == 0 {
		return false
	}
	_, isKnown := d.service.Engine.Cost[d.Model]
	return !isKnown
}

// fullServerAvoidance is how long a full server is avoided: about the duration of a few requests.
const fullServerAvoidance = 50 * time.Millisecond

// attemptLoad counts an attempt in its server's load from newAttemptLoad until end.
type attemptLoad struct {
	server *backend.TrackedServer
	// unread is the work that the server has yet to do before the first event.
	unread workload.Work
}

func newAttemptLoad(server *backend.TrackedServer, unread workload.Work) *attemptLoad {
	server.Begin(unread)
	return &attemptLoad{server: server, unread: unread}
}

func (l *attemptLoad) firstByte() {
	l.server.FirstByte(l.unread)
	l.unread = 0
}

func (l *attemptLoad) end() { l.server.End(l.unread) }
