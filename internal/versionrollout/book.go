package versionrollout

import (
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/rendezvous"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Choice restricts a request to servers of one version, or to those of all others.
type Choice struct {
	// Target is empty where every version may run the request.
	Target route.ServiceVersion
	// UseTarget restricts the request to Target; otherwise Target is barred.
	UseTarget bool
	// IsStrict forbids to fall back where no server fits.
	IsStrict bool
	// FillShare, where it isn't 0, is the part of one server's slots that the target's requests are to fill, before they go to others.
	FillShare float64
}

// TrackerOptions configures NewBook.
type TrackerOptions struct {
	Node api.NodeID
	// Exposure is the share of requests that a bad version may get.
	Exposure float64
	// SessionTimeout is the pause after which a session has ended.
	SessionTimeout time.Duration
	Log            log.Interface
}

// Tracker holds the roll-outs of all services on one node; it is safe for concurrent use.
type Tracker struct {
	opts TrackerOptions

	mu sync.Mutex
	// rollouts holds the newest order of each service.
	rollouts map[route.Service]*rollout
	// recent holds when each session was seen last, by service.
	recent map[route.Service]map[uint64]time.Time
}

// rollout is what a node knows of an order.
type rollout struct {
	order Order
	// begin is when the order was given, as far as this node knows.
	begin time.Time
	// status is what was written; its state is StateNone until the order was begun.
	status Status
	// own is this node's evidence, others that of the other nodes.
	own    Evidence
	others map[api.NodeID]NodeReport
	paces  paces
	// keepOld holds the sessions that ran before the target got any.
	keepOld map[uint64]bool
	// atOld counts this node's requests at servers of other versions.
	atOld int
	// isStopped is set once the target was found bad, here or by what others wrote.
	isStopped bool
	// dirty tells that own changed since the last report.
	dirty bool
	// dueState is the state that is to be written, since dueSince.
	dueState State
	dueSince time.Time
	// hasListed tells that this node's sessions were listed.
	hasListed bool
}

// isOver reports whether nothing more is to be decided.
func (r *rollout) isOver() bool {
	return r.status.State == StateCompleted || r.status.State == StateReverted
}

// NodeReport is what a node tells the others of a roll-out.
type NodeReport struct {
	// Order is the revision of the order.
	Order    route.Revision
	Evidence Evidence
	// AtOld counts the node's requests at servers of other versions.
	AtOld int
	// Sessions are hashes of those that ran before the target got any.
	Sessions []uint64
}

// NewTracker returns a book without orders.
func NewTracker(opts TrackerOptions) *Tracker {
	opts.Log = eventlog.OrDiscard(opts.Log)
	return &Tracker{
		opts: opts, rollouts: make(map[route.Service]*rollout), recent: make(map[route.Service]map[uint64]time.Time),
	}
}

// SetOrder takes in an order, begun at a time; an older one than the held is passed over.
func (b *Tracker) SetOrder(order Order, begin time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held, ok := b.rollouts[order.Service]; ok && held.order.Revision >= order.Revision {
		return
	}
	b.rollouts[order.Service] = &rollout{
		order: order, begin: begin, own: NewEvidence(), others: make(map[api.NodeID]NodeReport),
		paces: paces{routes: make(map[route.Name]*paceRing)}, keepOld: make(map[uint64]bool),
	}
	b.opts.Log.WithFields(log.Fields{
		"service": string(order.Service), "target": string(order.Target), "duration": order.Duration.String(),
		"revision": int64(order.Revision),
	}).Info("roll-out ordered")
}

// SetStart takes in when an order was given, by the clock of the node that saw it first. Clocks differ and may jump, so that it only
// makes a node that started later take an order for older than it did.
func (b *Tracker) SetStart(service route.Service, start StartRecord, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rollouts[service]
	if !ok || start.Order != r.order.Revision {
		return
	}
	age := min(time.Duration(now.UnixMilli()-start.UnixMilli)*time.Millisecond, r.order.Duration)
	if begin := now.Add(-age); begin.Before(r.begin) {
		r.begin = begin
	}
}

// SetStatus takes in what was written of a roll-out; one of an earlier order is passed over.
func (b *Tracker) SetStatus(status Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rollouts[status.Service]
	if !ok {
		return
	}
	isOfOrder := status.Target == r.order.Target && route.Revision(status.Version) > r.order.Revision
	if !isOfOrder {
		// The next write replaces it.
		r.status.Version = status.Version
		return
	}
	if status.State != r.status.State {
		b.opts.Log.WithFields(log.Fields{
			"service": string(status.Service), "target": string(status.Target), "state": status.State.String(),
		}).Info("roll-out's state changed")
	}
	r.status = status
	if status.State == StateReverted {
		r.isStopped = true
	}
}

// SetReport takes in another node's report, and returns hashes of the sessions that keep their version.
func (b *Tracker) SetReport(service route.Service, node api.NodeID, report NodeReport) (sessions []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rollouts[service]
	if !ok || report.Order != r.order.Revision {
		return nil
	}
	r.keepSessions(report.Sessions)
	if node != b.opts.Node {
		report.Sessions = nil
		r.others[node] = report
		b.judge(r)
	}
	return r.sessions()
}

// judge stops the target where the evidence is against it; b.mu is held.
func (b *Tracker) judge(r *rollout) {
	if r.isStopped || r.status.State == StateCompleted {
		return
	}
	all := r.evidence()
	if !all.IsTargetUnhealthy() {
		return
	}
	r.isStopped = true
	b.opts.Log.WithFields(log.Fields{
		"service": string(r.order.Service), "target": string(r.order.Target), "target_answers": fmt.Sprint(all.Target), "others_answers": fmt.Sprint(all.Others),
	}).Warn("version found bad, no more requests go there")
}

// evidence sums what is known of all nodes.
func (r *rollout) evidence() Evidence {
	all := NewEvidence()
	all.Add(r.own)
	for _, report := range r.others {
		all.Add(report.Evidence)
	}
	return all
}

// Pick returns the versions that may run a request of a session, or of one id where it has no session.
func (b *Tracker) Pick(service route.Service, session, id string, now time.Time) Choice {
	hash := sessionHash(service, session)
	b.mu.Lock()
	defer b.mu.Unlock()
	if session != "" {
		b.remember(service, hash, now)
	}
	r, ok := b.rollouts[service]
	if !ok {
		return Choice{}
	}
	choice := Choice{Target: r.order.Target}
	switch {
	case r.status.State == StateCompleted:
		choice.UseTarget = true
		return choice
	case r.isStopped:
		choice.IsStrict = true
		return choice
	}
	elapsed := now.Sub(r.begin)
	share := Share(elapsed, r.order.Duration, b.opts.Exposure)
	if session == "" {
		hash = sessionHash(service, id)
	}
	choice.UseTarget = rendezvous.Fraction(hash) < share
	choice.FillShare = FillShare(elapsed, r.order.Duration)
	if session == "" || !SessionsStayPinned(elapsed, r.order.Duration) {
		return choice
	}
	if share == 0 {
		b.keep(r, hash)
	} else if r.keepOld[hash] {
		choice.UseTarget = false
	}
	return choice
}

// Outcome is how a server answered a request.
type Outcome struct {
	Service route.Service
	Version route.ServiceVersion
	Route   route.Name
	// IsFailure tells that the answer was a failure, or that none came.
	IsFailure bool
	// Pace is the answer's, 0 if it isn't whole.
	Pace float64
	// IsUnderLoad tells that the server was being filled with requests.
	IsUnderLoad bool
}

// Begin counts a request that is sent to a server, and returns what counts its end.
func (b *Tracker) Begin(service route.Service, version route.ServiceVersion) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rollouts[service]
	if !ok || version == r.order.Target {
		return func() {}
	}
	// Whether any request is left at the old servers matters once no session is kept there.
	isMoving := func() bool { return !SessionsStayPinned(time.Since(r.begin), r.order.Duration) }
	r.atOld++
	r.dirty = r.dirty || r.atOld == 1 && isMoving()
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		r.atOld--
		r.dirty = r.dirty || r.atOld == 0 && isMoving()
	}
}

// Observe takes in an outcome.
func (b *Tracker) Observe(o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rollouts[o.Service]
	if !ok || r.isOver() {
		return
	}
	isTarget := o.Version == r.order.Target
	if o.IsUnderLoad {
		// Answers of a full server are slow without fault, and few on each route.
		o.Route, o.Pace = loadedRoute, 0
	}
	isSlow := o.Pace > 0 && r.paces.isSlow(o.Route, o.Pace)
	if !isTarget && o.Pace > 0 {
		r.paces.note(o.Route, o.Pace)
	}
	r.own.Record(isTarget, o.Route, o.IsFailure, isSlow)
	if isTarget {
		r.dirty = true
		b.judge(r)
	}
}

// SlowPace returns the pace from which on an answer of a kind counts as slow, 0 if too little is known or no roll-out is under way.
func (b *Tracker) SlowPace(service route.Service, kind route.Name) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rollouts[service]
	if !ok || r.isOver() {
		return 0
	}
	return r.paces.slowPace(kind)
}

// Work is what a node is to do for a roll-out now.
type Work struct {
	Order Order
	Begin time.Time
	// Report is this node's report; nil if there is nothing new.
	Report *NodeReport
	// State is the state to write under the condition that the status still has Version; StateNone writes nothing. It has been due
	// for Overdue.
	State      State
	PendingFor time.Duration
	// Status is the one that is replaced.
	Status Status
}

// Due returns what is to be done now, for each service.
func (b *Tracker) Due(now time.Time) []Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []Work
	for service, r := range b.rollouts {
		if r.isOver() {
			continue
		}
		w := Work{Order: r.order, Begin: r.begin, Status: r.status}
		b.listSessions(service, r, now)
		if r.dirty {
			r.dirty = false
			w.Report = r.report()
		}
		if w.State = r.nextState(now); w.State != r.dueState {
			r.dueState, r.dueSince = w.State, now
		}
		w.PendingFor = now.Sub(r.dueSince)
		if w.Report != nil || w.State != StateNone {
			due = append(due, w)
		}
	}
	return due
}

// nextState returns the state that is to be written, StateNone if there is nothing to write.
func (r *rollout) nextState(now time.Time) State {
	switch {
	case r.isStopped:
		return StateReverted
	case MayComplete(now.Sub(r.begin), r.order.Duration, r.atOldOfAll()):
		return StateCompleted
	case r.status.State == StateNone:
		return StateInProgress
	default:
		return StateNone
	}
}

// report returns a copy of this node's evidence and of the sessions that keep their version.
func (r *rollout) report() *NodeReport {
	report := &NodeReport{Order: r.order.Revision, Evidence: NewEvidence(), AtOld: r.atOld}
	report.Evidence.Add(r.own)
	report.Sessions = r.sessions()
	return report
}

// atOldOfAll counts the requests of all nodes at servers of other versions.
func (r *rollout) atOldOfAll() int {
	sum := r.atOld
	for _, report := range r.others {
		sum += report.AtOld
	}
	return sum
}

// MarkUnreported makes the next Due report again, after a write that failed.
func (b *Tracker) MarkUnreported(service route.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.rollouts[service]; ok {
		r.dirty = true
	}
}
