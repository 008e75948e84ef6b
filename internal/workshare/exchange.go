package workshare

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/membudget"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/workload"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// intervalPerNode times the number of nodes is the interval of turns, within minInterval and maxInterval, so that an aggregator's work doesn't
	// grow with the square of the fleet. idleInterval is the interval at which a node that takes no part checks whether it should.
	intervalPerNode = 500 * time.Microsecond
	minInterval     = 50 * time.Millisecond
	maxInterval     = 400 * time.Millisecond
	idleInterval    = 500 * time.Millisecond
	// nudgedIntervals is the number of intervals between two turns of a node to which sums come, if they don't come earlier.
	nudgedIntervals = 2
	// fleetBytes are the bytes per second of entries that an aggregator sends to the nodes of its failure domain together, domainBytes those that it sends to
	// other failure domains. Each receiver gets its part, within minFleetBytes and maxFleetBytes or minDomainBytes and maxDomainBytes.
	fleetBytes     = 270_000
	minFleetBytes  = 4500
	maxFleetBytes  = 12_000
	domainBytes    = 12_000
	minDomainBytes = 1500
	maxDomainBytes = 4000
	// reportBytes are the bytes per second of entries in a node's reports.
	reportBytes = 4500
	// domainThreshold is the change below which another failure domain isn't told, in the units of a change, unless it waits for domainPatience frames.
	domainThreshold = requestWeight
	domainPatience  = 8
	// heartbeat is the longest time between two frames of a connection over which sums are sent, idleHeartbeat that of other connections and of reports.
	heartbeat     = 200 * time.Millisecond
	idleHeartbeat = 350 * time.Millisecond
	// maxSilence is how long a connection over which sums are sent may be silent, maxIdleSilence the same for others and for sources of reports.
	maxSilence     = 600 * time.Millisecond
	maxIdleSilence = 1200 * time.Millisecond
	// refreshInterval is the interval at which a node confirms what it knows of all servers.
	refreshInterval = 400 * time.Millisecond
)

// ownWork is this node's own work at a server as of a turn.
type ownWork struct {
	row  row
	turn uint64
}

// bytesPerSecond returns the bytes of entries that each receiver of sums gets.
func bytesPerSecond(of scope, receivers int) float64 {
	part := func(all, least, most float64) float64 { return min(max(all/float64(max(receivers, 1)), least), most) }
	if of == scopeDomain {
		return part(domainBytes, minDomainBytes, maxDomainBytes)
	}
	return part(fleetBytes, minFleetBytes, maxFleetBytes)
}

// Servers are the servers at which a node has work under way; *backend.Set implements it.
type Servers interface {
	// AppendOwnWork appends what this node knows and has under way at servers.
	AppendOwnWork(all []workload.Own, now time.Time) []workload.Own
	// HearPeers records what the other nodes know and have under way at a server.
	HearPeers(server workload.Server, peers workload.Peers)
}

// Options configures New; all fields but MaxBytes, CountFrame and Log are required.
type Options struct {
	Self    api.NodeID
	Domain  api.FailureDomain
	Network tcp.Network
	Servers Servers
	// Nodes returns the list of nodes. The list is not modified; a change replaces it.
	Nodes func() *[]nodelist.Node
	// IsOn reports whether this node takes part now.
	IsOn func() bool
	// MaxBytes bounds the memory of what other nodes report; 0 means that it isn't bounded.
	MaxBytes int64
	// CountFrame counts a frame that is sent or received. isRemote is set for those between failure domains.
	CountFrame func(isSent, isRemote bool, bytes int)
	Log        log.Interface
}

// Exchange tells other nodes of this node's work and this node of theirs. Run must be called.
type Exchange struct {
	opts Options
	// start is the start of this node's sessions.
	start int64
	// work is the memory for this node's own work in a turn; only Run uses it.
	work []workload.Own
	// nudged receives a value when a turn is due.
	nudged chan struct{}
	// running are the goroutines of connections.
	running sync.WaitGroup
	// frames is the memory of large frames that arrive, and largeFrame is held while one is decoded and heeded.
	frames     *membudget.Budget
	largeFrame sync.Mutex

	mu sync.Mutex
	// ctx ends the connections; nil while the node takes no part.
	ctx    context.Context
	cancel context.CancelFunc
	ledger *ledger
	// digests holds what the receivers of the sums of each scope know; nil if there are none.
	digests [scopes]*digest
	// accepted holds the connections of other nodes, links those to aggregators.
	accepted map[*acceptedConn]bool
	links    map[api.NodeID]*link
	sessions uint64
	// own is this node's own work as of the last turn at ownAt, loaded holds the servers at which it has requests, and changed those whose sums changed
	// since then.
	own     map[name]ownWork
	loaded  map[name]bool
	ownAt   time.Time
	turns   uint64
	changed map[name]bool
	// servers are the servers of this node's copy of the list, by name.
	servers     map[name]workload.Server
	refreshedAt time.Time
	planned     plan
	plannedFor  *[]nodelist.Node
	// choices holds which aggregator of each other failure domain is used.
	choices map[api.FailureDomain]choice
	// servesSince is when this node began to take other failure domains' sums; zero while it doesn't.
	servesSince time.Time
	// hearsFrom is the aggregator whose sums are used; empty if there is none. heardAt is when they came.
	hearsFrom api.NodeID
	heardAt   time.Time
}

// choice is the index of an aggregator, and when its sums came last or were first asked for.
type choice struct {
	index int
	at    time.Time
}

// New returns an exchange that takes no part yet.
func New(opts Options) *Exchange {
	opts.Log = eventlog.OrDiscard(opts.Log)
	if opts.CountFrame == nil {
		opts.CountFrame = func(bool, bool, int) {}
	}
	return &Exchange{opts: opts, start: time.Now().UnixNano(), nudged: make(chan struct{}, 1), frames: membudget.New(maxHeldFrames), servers: make(map[name]workload.Server)}
}

// SetServers replaces the list of servers of which this node wants to know.
func (e *Exchange) SetServers(servers []workload.Server) {
	byName := make(map[name]workload.Server, len(servers))
	for _, server := range servers {
		byName[nameOf(server)] = server
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servers = byName
	e.refreshedAt = time.Time{}
}

// Status is the state of an exchange.
type Status struct {
	// Sources is the number of nodes and failure domains of whose reports this node keeps the sum.
	Sources int
	// HeardAt is when this node heard of the others' work; zero if it hasn't. Requests is the number of requests that they had under way.
	HeardAt  time.Time
	Requests int
}

// Status returns the state.
func (e *Exchange) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := Status{HeardAt: e.heardAt}
	if e.ctx == nil {
		return status
	}
	status.Sources = len(e.ledger.parts)
	for n := range e.servers {
		status.Requests += e.othersAt(n).peers(e.heardAt).Load.Requests
	}
	return status
}

// othersAt returns what this node knows of the other nodes' work at a server; the caller holds e.mu.
func (e *Exchange) othersAt(n name) row {
	if e.hearsFrom == e.opts.Self {
		return e.ledger.others(n, e.self())
	}
	if l, ok := e.links[e.hearsFrom]; ok {
		return l.others[n]
	}
	return row{}
}

// Run takes part until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.leave()
	for {
		wait := idleInterval
		if e.opts.IsOn() {
			e.join(ctx)
			wait = e.turn(time.Now())
		} else {
			e.leave()
		}
		if err := e.wait(ctx, wait); err != nil {
			return err
		}
	}
}

// wait waits for the next turn, which comes early if sums have come: to wake up once for both spares processor time.
func (e *Exchange) wait(ctx context.Context, d time.Duration) error {
	timer := sleep.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.nudged:
	case <-timer.C:
	}
	return ctx.Err()
}

// nudge begins the next turn.
func (e *Exchange) nudge() {
	select {
	case e.nudged <- struct{}{}:
	default:
	}
}

// interval returns the interval of frames.
func (e *Exchange) interval() time.Duration {
	return min(max(intervalPerNode*time.Duration(len(*e.opts.Nodes())), minInterval), maxInterval)
}

// join begins to take part.
func (e *Exchange) join(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx != nil {
		return
	}
	e.ctx, e.cancel = context.WithCancel(ctx)
	e.changed = make(map[name]bool)
	e.ledger = newLedger(func(n name) {
		e.changed[n] = true
		for _, d := range e.digests {
			if d != nil {
				d.mark(n)
			}
		}
	})
	e.ledger.moved = func(n name) {
		if d := e.digests[scopeFleet]; d != nil {
			d.move(n)
		}
	}
	e.digests = [scopes]*digest{}
	e.choices = make(map[api.FailureDomain]choice)
	e.accepted, e.links = make(map[*acceptedConn]bool), make(map[api.NodeID]*link)
	e.own, e.loaded, e.ownAt, e.turns = make(map[name]ownWork), nil, time.Time{}, 0
	e.plannedFor = nil
	e.ledger.begin(e.self(), e.nextSession(), time.Now())
}

// leave ends taking part and waits for the ends of the connections.
func (e *Exchange) leave() {
	e.mu.Lock()
	if e.ctx == nil {
		e.mu.Unlock()
		return
	}
	e.cancel()
	e.ctx = nil
	e.accepted, e.links = nil, nil
	e.mu.Unlock()
	e.running.Wait()
}

func (e *Exchange) self() source { return source{node: e.opts.Self} }

// nextSession returns a new session of this node; the caller holds e.mu.
func (e *Exchange) nextSession() session {
	e.sessions++
	return session{start: e.start, number: e.sessions}
}

// turn reports what changed, tells the nodes that report to this one what they should know, and records what others have under way. It returns the time
// to the next turn if no sums come before.
func (e *Exchange) turn(now time.Time) time.Duration {
	e.work = e.opts.Servers.AppendOwnWork(e.work[:0], now)
	interval := e.interval()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setOwn(e.work, now)
	e.planLinks(now)
	for _, l := range e.links {
		l.report(now, interval)
	}
	e.ledger.expire(now.Add(-max(maxIdleSilence, 4*interval)))
	e.distribute(now, interval)
	e.hear(now)
	clear(e.changed)
	e.ledger.forget(now)
	if e.hearsFrom != "" && e.hearsFrom != e.opts.Self && !e.hasReceivers() {
		return nudgedIntervals * interval
	}
	return interval
}

// hasReceivers reports whether other nodes take sums from this one; the caller holds e.mu.
func (e *Exchange) hasReceivers() bool {
	for c := range e.accepted {
		if c.wants != scopeNone {
			return true
		}
	}
	return false
}

// setOwn records this node's own work; the caller holds e.mu. In most turns it only looks at servers with requests or new reports: there are many others,
// and the pace of answers changes slowly.
func (e *Exchange) setOwn(work []workload.Own, now time.Time) {
	e.turns++
	hasPaces := e.turns%paceWait == 1
	since := e.ownAt
	e.ownAt = now
	var changed []entry
	set := func(n name, next row) {
		if e.own[n].row != next {
			changed = append(changed, entry{name: n, row: next, hasPace: true})
		}
		e.own[n] = ownWork{row: next, turn: e.turns}
	}
	loaded := make(map[name]bool, len(e.loaded))
	for _, w := range work {
		isLoaded := w.Load != workload.Load{}
		if !isLoaded && !hasPaces && !w.SlowdownAt.After(since) {
			continue
		}
		n, next := nameOf(w.Server), ownRow(w)
		if !hasPaces {
			next.amounts = next.amounts.withPaceOf(e.own[n].row.amounts)
		}
		if isLoaded {
			loaded[n] = true
		}
		set(n, next)
	}
	for n := range e.loaded {
		if own := e.own[n]; own.turn != e.turns {
			set(n, row{amounts{}.withPaceOf(own.row.amounts), own.row.slowdown})
		}
	}
	e.loaded = loaded
	if hasPaces {
		for n, own := range e.own {
			if own.turn != e.turns {
				changed = append(changed, entry{name: n, hasPace: true})
				delete(e.own, n)
			}
		}
	}
	for _, l := range e.links {
		for _, c := range changed {
			l.mark(c.name)
		}
	}
	self := e.self()
	e.ledger.apply(self, e.ledger.parts[self].session, frame{entries: changed}, now)
}

// distribute sends sums to the nodes that want them; the caller holds e.mu.
func (e *Exchange) distribute(now time.Time, interval time.Duration) {
	for _, of := range []scope{scopeDomain, scopeFleet} {
		var receivers []*acceptedConn
		for c := range e.accepted {
			if c.wants == of {
				receivers = append(receivers, c)
			}
		}
		if len(receivers) == 0 || of == scopeFleet && !e.hasFleet(now) {
			e.digests[of] = nil
			continue
		}
		d := e.digests[of]
		if d == nil {
			d = e.newDigest(of, now)
			e.digests[of] = d
		}
		d.maxWaits = waitsFor(interval)
		entries := d.next(func(n name) row { return e.ledger.get(n, of) }, int(bytesPerSecond(of, len(receivers))*interval.Seconds()), now)
		f := frame{wants: of, lag: time.Duration(d.lag) * interval}
		if of == scopeFleet {
			f.lag += e.ledger.lag()
		}
		var news, full []byte
		for _, c := range receivers {
			switch {
			case !c.isInStep:
				if full == nil {
					full = appendEntries(nil, d.full(now), now)
				}
				all := f
				all.isFull = true
				c.isInStep = c.send(all, full, now)
			case len(entries) > 0:
				if news == nil {
					news = appendEntries(nil, entries, now)
				}
				c.isInStep = c.send(f, news, now)
			case now.Sub(c.sentAt) >= heartbeat-interval/2:
				c.send(f, appendEntries(nil, nil, now), now)
			}
		}
	}
	for c := range e.accepted {
		if c.wants == scopeNone && now.Sub(c.sentAt) >= idleHeartbeat-interval/2 {
			c.send(frame{}, appendEntries(nil, nil, now), now)
		}
	}
}

// hasFleet reports whether the sums over all nodes hold all failure domains, or have waited for them; the caller holds e.mu.
func (e *Exchange) hasFleet(now time.Time) bool {
	if now.Sub(e.servesSince) >= maxSilence {
		return true
	}
	for domain := range e.planned.others {
		if _, ok := e.ledger.parts[source{domain: domain}]; !ok {
			return false
		}
	}
	return true
}

// newDigest returns a digest that counts all sums as told, since its first receiver gets them at once; the caller holds e.mu.
func (e *Exchange) newDigest(of scope, now time.Time) *digest {
	d := newDigest(0, 0)
	if of == scopeDomain {
		d = newDigest(domainThreshold, domainPatience)
	}
	for n := range e.ledger.sums {
		d.tell(n, e.ledger.get(n, of), now)
	}
	return d
}

// hear records what others have under way from this node's own sums, or confirms what an aggregator said; the caller holds e.mu.
func (e *Exchange) hear(now time.Time) {
	isRefresh := now.Sub(e.refreshedAt) >= refreshInterval
	if isRefresh {
		e.refreshedAt = now
	}
	if e.hearsFrom == e.opts.Self {
		if !e.hasFleet(now) {
			return
		}
		if asOf := now.Add(-e.ledger.lag()); asOf.After(e.heardAt) {
			e.heardAt = asOf
		}
		for n, server := range e.servers {
			if isRefresh || e.changed[n] {
				e.opts.Servers.HearPeers(server, e.othersAt(n).peers(e.heardAt))
			}
		}
		return
	}
	l, ok := e.links[e.hearsFrom]
	if !ok || !l.isLive(now) {
		return
	}
	e.heardAt = l.asOf
	if isRefresh {
		maps.DeleteFunc(l.others, func(_ name, r row) bool { return r.amounts == (amounts{}) && !r.slowdown.isCurrent(now) })
		for n, server := range e.servers {
			e.opts.Servers.HearPeers(server, l.others[n].peers(l.asOf))
		}
	}
}

// planLinks opens and closes the connections to aggregators, and chooses from which one to hear; the caller holds e.mu.
func (e *Exchange) planLinks(now time.Time) {
	if nodes := e.opts.Nodes(); nodes != e.plannedFor {
		e.plannedFor, e.planned = nodes, planFor(e.opts.Domain, *nodes)
		clear(e.choices)
	}
	wanted := make(map[api.NodeID]bool)
	hearsFrom := api.NodeID("")
	for _, node := range e.planned.own {
		if node.ID == e.opts.Self {
			if hearsFrom == "" {
				hearsFrom = node.ID
			}
			continue
		}
		wanted[node.ID] = true
		l := e.linkTo(node, now)
		l.wants = scopeNone
		if hearsFrom == "" {
			l.wants = scopeFleet
			if l.isLive(now) {
				hearsFrom = node.ID
			}
		}
	}
	servesFleet := hearsFrom == e.opts.Self
	for c := range e.accepted {
		servesFleet = servesFleet || c.wants == scopeFleet
	}
	switch {
	case !servesFleet:
		e.servesSince = time.Time{}
	case e.servesSince.IsZero():
		e.servesSince = now
	}
	if servesFleet {
		for domain, aggregators := range e.planned.others {
			node := e.choose(domain, aggregators, now)
			wanted[node.ID] = true
			e.linkTo(node, now).wants = scopeDomain
		}
	}
	for id, l := range e.links {
		if !wanted[id] {
			l.close()
			delete(e.links, id)
		}
	}
	if hearsFrom != e.hearsFrom {
		e.opts.Log.WithFields(log.Fields{"from": string(hearsFrom), "before": string(e.hearsFrom), "aggregators": len(e.planned.own)}).Info("aggregator of work changed")
		e.hearsFrom, e.refreshedAt = hearsFrom, time.Time{}
	}
}

// choose returns the aggregator of another failure domain from which this node takes that domain's sums: the next one if the last one's don't come.
// The caller holds e.mu.
func (e *Exchange) choose(domain api.FailureDomain, aggregators []nodelist.Node, now time.Time) nodelist.Node {
	c, ok := e.choices[domain]
	node := aggregators[c.index%len(aggregators)]
	l, isLinked := e.links[node.ID]
	switch {
	case !ok || isLinked && l.isLive(now):
		c.at = now
	case now.Sub(c.at) >= max(maxSilence, 3*e.interval()):
		c = choice{index: c.index + 1, at: now}
		node = aggregators[c.index%len(aggregators)]
	}
	e.choices[domain] = c
	return node
}
