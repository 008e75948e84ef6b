package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/backend"
	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/retrybudget"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/upstream"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// defaultMaxBody bounds a request's body before a configuration does.
	defaultMaxBody = 4 << 20
	// defaultDeadline is that of a request that names none on a route without one.
	defaultDeadline = 30 * time.Second
	// startPatience is how long a request waits for the first configuration of a node that has just started.
	startPatience = 250 * time.Millisecond
	// writeMargin is how long after its deadline an answer may still be written to a caller that is slow to read.
	writeMargin = time.Second
)

// Configs tells which configuration is in force.
type Configs interface {
	// Current returns the newest configuration, nil if none is known yet.
	Current() *route.Table
	// Known is closed once a configuration is known.
	Known() <-chan struct{}
	// MayUseKeys reports whether the configuration is known to be new enough to trust its keys.
	MayUseKeys() bool
	// IsFresh reports whether what the configuration doesn't hold may be refused for good.
	IsFresh() bool
}

// Versions tells which version of a service's servers a request goes to, and takes in how the versions do.
type Versions interface {
	Pick(service route.Service, session, id string, now time.Time) versionrollout.Choice
	// Begin counts a request that is sent to a server until end is called.
	Begin(service route.Service, version route.ServiceVersion) (end func())
	Observe(outcome versionrollout.Outcome)
	// SlowPace returns the pace from which on an answer counts as slow, 0 if none is known or no roll-out is under way.
	SlowPace(service route.Service, kind route.Name) float64
}

// Options configures New; every field must be set but Log.
type Options struct {
	Node          api.NodeID
	HeaderCodec   HeaderCodec
	Pool          *upstream.Pool
	Backends      *backend.Set
	Configs       Configs
	Versions      Versions
	RetryBudget   *retrybudget.Budget
	ModelPolicy   ModelPolicy
	FailureDomain api.FailureDomain
	// NodeCount returns how many nodes are in service, at least 1.
	NodeCount func() int
	Log       log.Interface
	Metrics   *metric.Set
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	opts Options
	// stopping is set once the node is being stopped; streamsUntil and callsUntil are when it lets in no more of them.
	stopping atomic.Pointer[stopTimes]

	// running counts the requests that are being answered.
	running atomic.Int64
}

// New returns a gateway.
func New(opts Options) *Gateway {
	opts.Log = eventlog.OrDiscard(opts.Log)
	return &Gateway{opts: opts}
}

// stopTimes are the times until which a stopping node lets requests in.
type stopTimes struct {
	streams, calls time.Time
}

// Stop begins a graceful stop: answers tell callers to open no more requests on their connections, streams are let in until one
// time and calls until another.
func (g *Gateway) Stop(streams, calls time.Time) {
	g.stopping.Store(&stopTimes{streams: streams, calls: calls})
}

// InFlight counts the requests that are being answered.
func (g *Gateway) InFlight() int64 { return g.running.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	arrived := time.Now()
	if g.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	info := g.opts.HeaderCodec.ReadRequest(req.Header)
	// A connection keeps the deadline of its last request. Writers of tests have none, which is all that the error says.
	_ = http.NewResponseController(w).SetWriteDeadline(arrived.Add(max(info.Timeout, defaultDeadline) + writeMargin))
	table := g.firstTable(req.Context())
	body, err := readBody(w, req, table)
	if err != nil {
		g.refuseUnread(w, info, err)
		return
	}
	wk, refusal := g.admit(info, req, table, arrived)
	if refusal != nil {
		g.refuse(w, info, nil, refusal)
		return
	}
	wk.body = body
	ctx := req.Context()
	if !wk.route.MayRepeat() {
		// What may run once is left to end: half of it helps nobody, and the caller can't ask again.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, wk.deadline)
	defer cancel()
	newRun(g, wk, w).serve(ctx)
}

// firstTable returns the configuration in force. A node that has just started waits for it for a moment, which is shorter than a
// caller's way to another node.
func (g *Gateway) firstTable(ctx context.Context) *route.Table {
	if table := g.opts.Configs.Current(); table != nil {
		return table
	}
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-g.opts.Configs.Known():
	}
	return g.opts.Configs.Current()
}

func readBody(w http.ResponseWriter, req *http.Request, table *route.Table) ([]byte, error) {
	if req.ContentLength == 0 {
		return nil, nil
	}
	bound := int64(defaultMaxBody)
	if table != nil && table.Config.Limits.MaxBodyBytes > 0 {
		bound = table.Config.Limits.MaxBodyBytes
	}
	return io.ReadAll(http.MaxBytesReader(w, req.Body, bound))
}

// refuseUnread answers a request whose body was too large, and ends the connection of one that broke off.
func (g *Gateway) refuseUnread(w http.ResponseWriter, info RequestInfo, err error) {
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &tooLarge) {
		g.opts.Log.WithFields(log.Fields{"request": string(info.ID)}).WithError(err).Info("caller left before its request was read")
		panic(http.ErrAbortHandler)
	}
	g.refuse(w, info, nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge})
}

// admit checks a request against the configuration in force.
func (g *Gateway) admit(info RequestInfo, req *http.Request, table *route.Table, arrived time.Time) (*work, *refusal) {
	if table == nil {
		return nil, notYet(reasonNoConfiguration)
	}
	if info.ID == "" {
		return nil, &refusal{status: http.StatusBadRequest, reason: reasonNoID}
	}
	r := table.FindRoute(req.Host, req.URL.Path)
	if r == nil {
		if !g.opts.Configs.IsFresh() {
			return nil, notYet(reasonStaleConfiguration)
		}
		return nil, &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	var team *route.TeamInfo
	if table.NeedsKey(r) {
		if !g.opts.Configs.MayUseKeys() {
			return nil, notYet(reasonStaleKeys)
		}
		if team = table.FindTeam(info.Key); team == nil {
			if !g.opts.Configs.IsFresh() {
				return nil, notYet(reasonStaleConfiguration)
			}
			return nil, &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
		}
	}
	if stop := g.stopping.Load(); stop != nil {
		until := stop.calls
		if r.Kind == route.KindStream {
			until = stop.streams
		}
		if arrived.After(until) {
			return nil, notYet(reasonStopping)
		}
	}
	wk := &work{
		RequestInfo: info, route: r, team: team,
		method: req.Method, target: req.RequestURI, host: req.Host,
		header: endToEnd(req.Header), hasBody: req.ContentLength != 0,
		arrived: arrived, deadline: arrived.Add(timeAllowed(info, r)), revision: table.Config.Revision,
	}
	wk.service = table.FindService(chooseTarget(r, info))
	if wk.service == nil {
		return nil, notYet(reasonNoServer)
	}
	return wk, nil
}

// timeAllowed is how long a request may take: the caller's deadline or the route's timeout, whichever is shorter.
func timeAllowed(info RequestInfo, r *route.Route) time.Duration {
	allowed := time.Duration(defaultDeadline)
	if info.HasTimeout {
		allowed = info.Timeout
	}
	if r.Timeout > 0 {
		allowed = min(allowed, r.Timeout)
	}
	return allowed
}
