package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/crashes"
	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/membudget"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/internal/retrybudget"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/internal/serverpace"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// defaultMaxBody bounds the request body, in bytes, when no configuration is loaded or it sets no bound.
	defaultMaxBody = 4 << 20
	// defaultDeadline is the timeout of a request when neither the caller nor the route sets one.
	defaultDeadline = 30 * time.Second
	// initialConfigTimeout is how long a request waits for the first confirmed configuration after the node has started.
	initialConfigTimeout = 500 * time.Millisecond
	// maxEndMargin is how long before a stop breaks off the requests in flight those whose answers have not begun are ended with an error, at most
	// endMarginShare of the time that the stop takes.
	maxEndMargin   = 400 * time.Millisecond
	endMarginShare = 0.1
	// writeMargin is how long after the request's deadline an answer may still be written to a caller that reads slowly.
	writeMargin = time.Second
)

// Configs provides the configuration in force.
type Configs interface {
	// Current returns the configuration in force, or nil before the first one is loaded.
	Current() *route.Table
	// Confirmed returns a channel that is closed once a configuration has been loaded and confirmed as current for the first time.
	Confirmed() <-chan struct{}
	// MayUseKeys reports whether the configuration was confirmed recently enough that a revoked key can't be accepted for too long.
	MayUseKeys() bool
	// IsFresh reports whether the configuration was confirmed recently enough to reject an unknown route or key permanently (with a 4xx
	// status instead of 503).
	IsFresh() bool
}

// Versions chooses the version of a service's servers for each request and collects the outcomes by version.
type Versions interface {
	Pick(service route.Service, session, id string, isFilling bool, now time.Time) versionrollout.Choice
	// BeginAttempt counts an attempt at a server as in flight until end is called, which tells whether it was answered to its end.
	BeginAttempt(service route.Service, version route.ServiceVersion) (end func(isAnswered bool))
	Observe(outcome versionrollout.Outcome)
	// SlowPace returns the pace above which an answer counts as slow; 0 if it isn't known yet or no roll-out is under way.
	SlowPace(service route.Service, kind route.Name) float64
}

// Crashes finds the requests that crash servers; see package crashes.
type Crashes interface {
	// Cleared records that an answer shows that the suspects crash no servers.
	Cleared(suspects []crashes.Suspect, now time.Time)
	// Crashed records that a request has failed that crashed servers, CrashedSoFar that one which may still be answered has.
	Crashed(request api.RequestID, suspects []crashes.Suspect, servers int, now time.Time)
	CrashedSoFar(request api.RequestID, suspect crashes.Suspect, servers int, now time.Time)
	// HasUncleared reports whether the request may be the cause of a crash.
	HasUncleared(suspects []crashes.Suspect, now time.Time) bool
	// Check returns whether a request may be sent to a server, and the suspect that decides.
	Check(suspects []crashes.Suspect, now time.Time) (crashes.Verdict, crashes.Suspect)
	// IsEmpty reports whether nothing is suspected.
	IsEmpty() bool
}

// Options configures New; all fields but RequestMemory, AnswerMemory and Log are required.
type Options struct {
	Node        api.NodeID
	HeaderCodec HeaderCodec
	Pool        *upstream.Pool
	Backends    *backend.Set
	Configs     Configs
	Versions    Versions
	RetryBudget *retrybudget.Budget
	Crashes     Crashes
	ModelPolicy ModelPolicy
	// RequestMemory bounds the bodies of requests that are held together; nil means no bound.
	RequestMemory *membudget.Budget
	// AnswerMemory bounds the parts of servers' answers that are held together until they are forwarded; nil means no bound.
	AnswerMemory  *membudget.Budget
	FailureDomain api.FailureDomain
	// NodeCount returns the number of nodes in service, at least 1.
	NodeCount func() int
	// RecentNodeCount returns the largest number of nodes in the last seconds. Limits that all nodes share are divided by it, since nodes that
	// are missing from the list for a moment still send requests.
	RecentNodeCount func() int
	// Reports takes the servers' reports that other nodes should know.
	Reports *selfreport.Outbox
	// RelayReport tells the node through which an answer came, by the "IP:port" of its listener for other nodes, what the server reported in it.
	RelayReport func(peers string, report selfreport.Shared)
	Log         log.Interface
	Metrics     *metric.Set
}

// Gateway is the HTTP handler of callers' requests.
type Gateway struct {
	opts Options
	// stopping is nil until Stop is called.
	stopping atomic.Pointer[stopDeadlines]
	// ending is canceled by endWaiting, shortly before a stop's end.
	ending     context.Context
	endWaiting context.CancelFunc

	prompts promptSizes
	// reading is how long servers take to read prompts, writing how long for the events of answers.
	reading serverpace.Reading
	writing serverpace.Writing

	// running counts the requests in flight.
	running atomic.Int64
}

// New returns a gateway.
func New(opts Options) *Gateway {
	opts.Log = eventlog.OrDiscard(opts.Log)
	g := &Gateway{opts: opts}
	g.ending, g.endWaiting = context.WithCancel(context.Background())
	return g
}

// stopDeadlines are the time until which a stopping node admits every request, and the time at which it breaks off those in flight.
type stopDeadlines struct {
	allUntil, end time.Time
}

// Stop begins a graceful stop that breaks off the requests in flight at end: answers carry "Connection: close", and new requests are admitted until
// allUntil, and afterwards if their deadlines are before the end. Requests that are due later, and whose answers have not begun shortly before the end, get an
// error.
func (g *Gateway) Stop(allUntil, end time.Time) {
	g.stopping.Store(&stopDeadlines{allUntil: allUntil, end: end})
	left := time.Until(end)
	time.AfterFunc(left-min(maxEndMargin, time.Duration(endMarginShare*float64(left))), g.endWaiting)
}

// closeIfStopping tells the caller of an answer whose head is about to be sent that its connection ends if the node stops.
func (g *Gateway) closeIfStopping(header http.Header) {
	if g.stopping.Load() != nil {
		header.Set("Connection", "close")
	}
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.running.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	arrived := time.Now()
	info := g.opts.HeaderCodec.ReadRequest(req.Header)
	// Reset the write deadline, which a connection keeps from its previous request. The error only means that the writer has no
	// deadline, as in tests.
	_ = http.NewResponseController(w).SetWriteDeadline(arrived.Add(max(info.Timeout, defaultDeadline) + writeMargin))
	table := g.waitForTable(req.Context())
	memory := g.opts.RequestMemory.Reserve(req.RemoteAddr)
	defer memory.Release()
	if req.ContentLength != 0 {
		// Nobody waits for the answer any more when a body comes later than that. The server of net/http lifts the deadline at the body's end.
		_ = http.NewResponseController(w).SetReadDeadline(arrived.Add(bodyTimeout(info, req, table)))
	}
	body, err := readBody(w, req, table, memory)
	if err != nil {
		g.rejectUnread(w, info, err)
		return
	}
	admitted, rejection := g.admit(info, req, table, arrived)
	if rejection != nil {
		g.reject(w, info, nil, rejection)
		return
	}
	admitted.body = body
	ctx := req.Context()
	if !admitted.route.MayRepeat() {
		// A request that must not be repeated runs to its end even if the caller disconnects: a partial run is useless and the caller
		// can't retry it.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, end := context.WithCancelCause(region.NewContext(ctx, admitted.regions()))
	defer end(nil)
	ctx, cancel := context.WithDeadline(ctx, admitted.deadline)
	defer cancel()
	answer := newCallerAnswer(w, req, g.closeIfStopping)
	defer context.AfterFunc(g.ending, func() {
		if !answer.isHeadSent.Load() && !admitted.deadline.Before(g.stopping.Load().end) {
			end(errStopEnds)
		}
	})()
	newDispatcher(g, admitted, answer).serve(ctx)
}

// errStopEnds is the cause by which the context of a request ends whose answer has not begun at the end of a stop.
var errStopEnds = errors.New("node stops")

// isEndedByStop reports whether the context of a request has ended with a stop.
func isEndedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopEnds) }

// hasLeft reports whether the caller of a request with a context has left.
func hasLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !isEndedByStop(ctx)
}

// waitForTable returns the configuration in force. A node that has just started waits for it, and for the read that confirms its keys, up to
// initialConfigTimeout, which takes less time than a caller's retry at another node; the result may still be nil.
func (g *Gateway) waitForTable(ctx context.Context) *route.Table {
	if table := g.opts.Configs.Current(); table != nil && g.opts.Configs.MayUseKeys() {
		return table
	}
	ctx, cancel := context.WithTimeout(ctx, initialConfigTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-g.opts.Configs.Confirmed():
	}
	return g.opts.Configs.Current()
}

// readBody reads a request's body, which is held until the request ends, as it may be sent to several servers.
func readBody(w http.ResponseWriter, req *http.Request, table *route.Table, memory *membudget.Reservation) ([]byte, error) {
	if req.ContentLength == 0 {
		return nil, nil
	}
	bound := int64(defaultMaxBody)
	if table != nil && table.Config.Limits.MaxBodyBytes > 0 {
		bound = table.Config.Limits.MaxBodyBytes
	}
	return memory.ReadSized(http.MaxBytesReader(w, req.Body, bound), min(req.ContentLength, bound))
}

// rejectUnread rejects a request whose body is too large, by itself or beside the others, and aborts the connection if reading the body failed otherwise.
func (g *Gateway) rejectUnread(w http.ResponseWriter, info RequestInfo, err error) {
	if membudget.IsErrExceeded(err) {
		w.Header().Set("Connection", "close")
		g.reject(w, info, nil, retryLater(reasonNoMemory))
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.Header().Set("Connection", "close")
		g.reject(w, info, nil, &rejection{status: http.StatusRequestTimeout, reason: reasonBodyTooSlow})
		return
	}
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &tooLarge) {
		g.opts.Log.WithFields(log.Fields{"request": string(info.ID)}).WithError(err).Info("caller left before its request was read")
		panic(http.ErrAbortHandler)
	}
	g.reject(w, info, nil, &rejection{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge})
}

// admit checks a request against the configuration in force. It returns the admitted request or a rejection.
func (g *Gateway) admit(info RequestInfo, req *http.Request, table *route.Table, arrived time.Time) (*admittedRequest, *rejection) {
	if table == nil {
		return nil, &rejection{status: http.StatusServiceUnavailable, reason: reasonNoConfiguration, retryAfter: startRetryAfter}
	}
	if info.ID == "" {
		return nil, &rejection{status: http.StatusBadRequest, reason: reasonNoID}
	}
	r := table.FindRoute(req.Host, req.URL.Path)
	if r == nil {
		if !g.opts.Configs.IsFresh() {
			return nil, retryLater(reasonStaleConfiguration)
		}
		return nil, &rejection{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	var team *route.TeamInfo
	if table.NeedsKey(r) {
		if !g.opts.Configs.MayUseKeys() {
			return nil, retryLater(reasonStaleKeys)
		}
		if team = table.FindTeam(info.Key); team == nil {
			if !g.opts.Configs.IsFresh() {
				return nil, retryLater(reasonStaleConfiguration)
			}
			return nil, &rejection{status: http.StatusUnauthorized, reason: reasonUnknownKey}
		}
	}
	if len(r.Models) > 0 && info.Model != "" && !info.AutoModel && !slices.Contains(r.Models, info.Model) {
		return nil, &rejection{status: http.StatusMisdirectedRequest, reason: reasonUnknownModel}
	}
	deadline := arrived.Add(requestTimeout(info, r))
	// The body may have come long after the head.
	if stop := g.stopping.Load(); stop != nil && time.Now().After(stop.allUntil) && !deadline.Before(stop.end) {
		return nil, retryLater(reasonStopping)
	}
	admitted := &admittedRequest{
		RequestInfo: info, route: r, team: team,
		method: req.Method, target: req.RequestURI, host: req.Host,
		header: endToEndHeader(req.Header), hasBody: req.ContentLength != 0,
		arrived: arrived, deadline: deadline, revision: table.Config.Revision,
	}
	admitted.service = table.FindService(chooseService(r, info))
	if admitted.service == nil {
		return nil, retryLater(reasonNoServer)
	}
	return admitted, nil
}

// bodyTimeout returns the time that a request may take from what is known of it before its body is read.
func bodyTimeout(info RequestInfo, req *http.Request, table *route.Table) time.Duration {
	if table != nil {
		if r := table.FindRoute(req.Host, req.URL.Path); r != nil {
			return requestTimeout(info, r)
		}
	}
	return min(requestTimeout(info, new(route.Route)), defaultDeadline)
}

// requestTimeout returns the time that a request may take: the caller's or the route's timeout, whichever is shorter.
func requestTimeout(info RequestInfo, r *route.Route) time.Duration {
	allowed := time.Duration(defaultDeadline)
	if info.HasTimeout {
		allowed = info.Timeout
	}
	if r.Timeout > 0 {
		allowed = min(allowed, r.Timeout)
	}
	return allowed
}
