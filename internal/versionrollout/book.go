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

// Choice restricts a request to the servers of the target version, or to those of all other versions.
type Choice struct {
	// Target is the candidate version; empty if any version may run the request.
	Target route.ServiceVersion
	// UseTarget restricts the request to Target; if false, Target is excluded.
	UseTarget bool
	// IsStrict forbids falling back to the excluded versions if no other server fits.
	IsStrict bool
	// FillShare is the part of one server's slots that requests for Target fill before they go to other servers; 0 spreads requests as
	// usual.
	FillShare float64
}

// TrackerOptions configures NewTracker.
type TrackerOptions struct {
	Node api.NodeID
	// Exposure is the share of requests that an unhealthy version may get; 0 means the default. ExposureSlack is the number that it may get besides; 0
	// means that its requests aren't counted against a limit.
	Exposure, ExposureSlack float64
	// SessionTimeout is how long after its last request a session ends.
	SessionTimeout time.Duration
	// HasServer reports whether a server of a version is in service; nil means that one always is.
	HasServer func(service route.Service, version route.ServiceVersion) bool
	// NodeCount returns the number of nodes that report to the same collector; nil means 1.
	NodeCount func() int
	Log       log.Interface
}

// Tracker holds one node's view of the roll-outs of all services. It is safe for concurrent use.
type Tracker struct {
	opts TrackerOptions

	mu sync.Mutex
	// rollouts holds the newest roll-out of each service.
	rollouts map[route.Service]*rollout
	// lastSeen holds the time of each session's last request, by service and hash of the session.
	lastSeen map[route.Service]map[uint64]time.Time
}

// rollout is a node's view of one roll-out.
type rollout struct {
	order Order
	// begin is when the order was given: the earliest time that this node has learned.
	begin time.Time
	// status is the stored status; its state is StateNone until a node has written one for this order.
	status Status
	// reached is the furthest state that was stored. A store that is restored from an older copy may hold an earlier one or none.
	reached State
	// isLost is set while the store holds an earlier order, as after a restore from an older copy. Operators write this order again; until
	// then no state is written for it.
	isLost bool
	// own is this node's evidence; reports holds the newest report of each peer.
	own     Evidence
	traffic Traffic
	// trafficHistory holds the recent traffic of all nodes.
	trafficHistory trafficHistory
	// peakLoad is the largest part of its slots that a server being filled has reported to run.
	peakLoad float64
	reports  map[api.NodeID]*peerReport
	paces    paces
	// pinned holds hashes of the sessions that ran on other versions before the target got requests.
	pinned map[uint64]bool
	// oldInFlight counts this node's in-flight requests on servers of other versions.
	oldInFlight int
	// isStopped is set once this node finds the target unhealthy, or the stored status is StateReverted.
	isStopped bool
	// isCleared is set once this node finds the target healthy, so that its requests are no longer limited.
	isCleared bool
	// needsReport is set if a report to the peers is due; the last one was built at reportedAt.
	needsReport bool
	reportedAt  time.Time
	// pendingState is the state that has been waiting to be written since pendingSince.
	pendingState State
	pendingSince time.Time
	// isWatching is set while this node could tell that the target is unhealthy; watchedUntil is the time until which a node is known to.
	isWatching   bool
	watchedUntil time.Time
	// loggedGap is the reason that was logged last for which the roll-out isn't completed.
	loggedGap string
	// sessionsListed is set once this node's sessions have been added to pinned.
	sessionsListed bool
}

// isFinal reports whether the roll-out has ended.
func (r *rollout) isFinal() bool { return r.reached.isFinal() }

// NodeReport is a node's report to its peers about a roll-out.
type NodeReport struct {
	// Order is the revision of the roll-out's order.
	Order    route.Revision
	Evidence Evidence
	// Traffic counts the node's attempts.
	Traffic Traffic
	// PeakLoad is the largest part of its slots that a server being filled has reported to the node.
	PeakLoad float64
	// AtOld counts the node's in-flight requests on servers of other versions.
	AtOld int
	// Sessions are hashes of the sessions that stay on other versions, see SessionsStayPinned.
	Sessions []uint64
}

// Collected is a collector's response to a NodeReport.
type Collected struct {
	// Sessions are hashes of the sessions of all nodes that stay on their version, see SessionsStayPinned.
	Sessions []uint64
	// IsUnwatched is set if the collector couldn't tell that the target is unhealthy, see Tracker.watches.
	IsUnwatched bool
	// IsStopped is set if the collector has found that it is unhealthy.
	IsStopped bool
}

// NewTracker returns a tracker without roll-outs.
func NewTracker(opts TrackerOptions) *Tracker {
	opts.Log = eventlog.OrDiscard(opts.Log)
	if opts.NodeCount == nil {
		opts.NodeCount = func() int { return 1 }
	}
	return &Tracker{
		opts: opts, rollouts: make(map[route.Service]*rollout), lastSeen: make(map[route.Service]map[uint64]time.Time),
	}
}

// SetOrder starts tracking an order that is seen at a time. start is the stored start of the service's last order, the zero value if there is
// none. An order that is not newer than the service's current one is ignored. After a restore of the store from an older copy so are the
// current order that is written again, and an order from the copy that began before the current one.
func (t *Tracker) SetOrder(order Order, start StartRecord, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current, ok := t.rollouts[order.Service]; ok {
		switch {
		case current.order.Revision >= order.Revision:
			return
		case order.isRewrittenFrom(current.order):
			current.isLost = false
			return
		case order.isOfLaterEra(current.order) && start.isOf(order) && start.UnixMilli < current.begin.UnixMilli():
			current.isLost = true
			t.opts.Log.WithFields(log.Fields{
				"service": string(order.Service), "target": string(order.Target), "kept_target": string(current.order.Target),
				"revision": int64(order.Revision),
			}).Warn("store was restored with an earlier roll-out order, which is ignored")
			return
		}
	}
	r := &rollout{
		order: order, begin: now, own: NewEvidence(), reports: make(map[api.NodeID]*peerReport),
		paces: paces{routes: make(map[route.Name]*paceRing)}, pinned: make(map[uint64]bool),
	}
	r.setStart(start, now)
	t.rollouts[order.Service] = r
	t.opts.Log.WithFields(log.Fields{
		"service": string(order.Service), "target": string(order.Target), "duration": order.Duration.String(),
		"revision": int64(order.Revision),
	}).Info("roll-out ordered")
}

// SetStart takes in a stored start that was written after the order was read. The stored status must be applied again afterwards.
func (t *Tracker) SetStart(service route.Service, start StartRecord, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rollouts[service]; ok {
		r.setStart(start, now)
	}
}

// setStart takes in the stored start of an order, which is by the clock of the node that saw the order first. Since clocks differ and may
// jump, it can only move this node's start of the roll-out back, as needed on a node that was started after the order. An order that a
// restored store holds with a new revision gets back the one of its start, by which the other nodes know it.
func (r *rollout) setStart(start StartRecord, now time.Time) {
	if !start.isOf(r.order) {
		return
	}
	r.order.Revision = start.Order
	age := min(time.Duration(now.UnixMilli()-start.UnixMilli)*time.Millisecond, r.order.Duration)
	if begin := now.Add(-age); begin.Before(r.begin) {
		r.begin = begin
	}
}

// SetStatus applies the stored status of a roll-out. Of the status of an earlier order only the store's version is kept. An end of the
// roll-out that was stored before holds, although a restored store may have lost it.
func (t *Tracker) SetStatus(status Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rollouts[status.Service]
	if !ok {
		return
	}
	isOfOrder := status.Target == r.order.Target && route.Revision(status.Version) > r.order.Revision
	if !isOfOrder {
		// The next write replaces this status, on condition of its version.
		r.status = Status{Service: status.Service, Version: status.Version}
		return
	}
	r.status = status
	if r.isFinal() && !status.State.isFinal() {
		return
	}
	if status.State != r.reached {
		t.opts.Log.WithFields(log.Fields{
			"service": string(status.Service), "target": string(status.Target), "state": status.State.String(),
		}).Info("roll-out's state changed")
	}
	r.reached = status.State
	if status.State == StateReverted {
		r.isStopped = true
	}
}

// ClearStatus records that the store has no status for a service, as after a restore from an older copy; it will be written again.
func (t *Tracker) ClearStatus(service route.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rollouts[service]; ok {
		r.status = Status{Service: service}
	}
}

// SetReport takes in a node's report and returns the response to it. A report for another order has no effect.
func (t *Tracker) SetReport(service route.Service, node api.NodeID, report NodeReport) Collected {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rollouts[service]
	if !ok || report.Order != r.order.Revision {
		return Collected{IsUnwatched: true}
	}
	r.pinSessions(report.Sessions)
	if node != t.opts.Node {
		report.Sessions = nil
		r.reports[node] = &peerReport{NodeReport: report}
		t.stopIfUnhealthy(r)
	}
	collected := r.collected()
	collected.Sessions = r.pinnedSessions()
	return collected
}

// collected returns the node's response to reports, without sessions.
func (r *rollout) collected() Collected {
	return Collected{IsUnwatched: !r.isWatching, IsStopped: r.isStopped}
}

// stopIfUnhealthy stops the roll-out if the evidence of all nodes shows that the target is unhealthy. The caller holds t.mu.
func (t *Tracker) stopIfUnhealthy(r *rollout) {
	if r.isStopped || r.reached == StateCompleted {
		return
	}
	all := r.totalEvidence()
	if !all.IsTargetUnhealthy() {
		return
	}
	r.isStopped = true
	t.opts.Log.WithFields(log.Fields{
		"service": string(r.order.Service), "target": string(r.order.Target),
		"target_answers": fmt.Sprint(all.Target), "others_answers": fmt.Sprint(all.Others),
	}).Warn("version found bad, no more requests go there")
}

// stopLag is the time between an attempt and the effect of a stop that it causes, besides the interval of reports: the node that collects them looks at them
// twice in it.
const stopLag = 500 * time.Millisecond

// stopIfExposed stops the roll-out if the target has got as many requests as an unhealthy one may, and isn't known to be healthy. Only a node that
// has the reports of most nodes can decide so. The caller holds t.mu.
func (t *Tracker) stopIfExposed(r *rollout, now time.Time) {
	nodes := t.opts.NodeCount()
	if r.isStopped || r.isCleared || r.isFinal() || !r.hasReports(nodes, now) {
		return
	}
	elapsed := now.Sub(r.begin)
	traffic, peak := r.traffic, r.peakLoad
	for _, report := range r.reports {
		traffic, peak = traffic.add(report.Traffic), max(peak, report.PeakLoad)
	}
	fill, lag := newFillSpan(r.order.Duration), stopLag+reportInterval(nodes)
	rate := rateReserve * r.trafficHistory.targetRate(traffic, elapsed)
	if elapsed+lag >= fill.until {
		rate = max(rate, traffic.rate(elapsed))
	}
	limit := ExposureLimit{Share: t.opts.Exposure, Slack: t.opts.ExposureSlack}
	if !limit.isReached(traffic, elapsed, r.order.Duration, rate*lag.Seconds()) {
		return
	}
	all := r.totalEvidence()
	logger := t.opts.Log.WithFields(log.Fields{
		"service": string(r.order.Service), "target": string(r.order.Target), "attempts": traffic.Attempts, "attempts_at_target": traffic.Target,
		"answered": traffic.Answered, "running": traffic.Running, "peak_load": peak, "target_answers": fmt.Sprint(all.Target), "others_answers": fmt.Sprint(all.Others),
	})
	if traffic.hasAnswered() && all.IsTargetHealthy(elapsed-fill.from, peak) {
		r.isCleared = true
		logger.Info("version found good, all requests may go there")
		return
	}
	r.isStopped = true
	logger.Warn("version not known to be good at its limit of requests, no more go there")
}

// totalEvidence returns the sum of the evidence of all nodes.
func (r *rollout) totalEvidence() Evidence {
	all := NewEvidence()
	all.Add(r.own)
	for _, report := range r.reports {
		all.Add(report.Evidence)
	}
	return all
}

// Pick returns which versions may run a request at time now. The choice depends on the session, or on the request's id if session is
// empty, so that every node chooses alike.
// isFilling tells whether the request is of a kind that fills a server well; it is the same for all requests of a session.
func (t *Tracker) Pick(service route.Service, session, id string, isFilling bool, now time.Time) Choice {
	hash := sessionHash(service, session)
	t.mu.Lock()
	defer t.mu.Unlock()
	if session != "" {
		t.recordSession(service, hash, now)
	}
	r, ok := t.rollouts[service]
	if !ok {
		return Choice{}
	}
	choice := Choice{Target: r.order.Target}
	switch {
	case r.reached == StateCompleted:
		choice.UseTarget = true
		return choice
	case r.isStopped:
		choice.IsStrict = true
		return choice
	}
	elapsed := now.Sub(r.begin)
	fill := newFillSpan(r.order.Duration)
	share := fill.share(elapsed, t.opts.Exposure, t.opts.NodeCount(), isFilling)
	isWatched := now.Before(r.watchedUntil)
	if !isWatched {
		share = min(share, firstShare(t.opts.Exposure))
	}
	if session == "" {
		hash = sessionHash(service, id)
	}
	choice.UseTarget = rendezvous.Fraction(hash) < share
	if isWatched {
		choice.FillShare = fill.filledSlots(elapsed, r.order.Duration)
	}
	if session == "" || !SessionsStayPinned(elapsed, r.order.Duration) {
		return choice
	}
	if share == 0 {
		t.pinIfInFirstShare(r, hash)
	} else if r.pinned[hash] {
		choice.UseTarget = false
	}
	return choice
}

// Outcome is the outcome of one attempt at a server.
type Outcome struct {
	Service route.Service
	Version route.ServiceVersion
	Route   route.Name
	// IsFailure is set if the answer was a failure or none came.
	IsFailure bool
	// Pace is the answer's pace, see the function Pace; 0 if the answer isn't complete.
	Pace float64
	// IsFill is set if the server was being filled with requests, see Choice. Load is the part of its slots that it then reported to run.
	IsFill bool
	Load   float64
}

// BeginAttempt counts an attempt at a server of a version as in flight; the caller calls the returned function once when the attempt ends, and tells whether it
// was answered to its end.
func (t *Tracker) BeginAttempt(service route.Service, version route.ServiceVersion) (end func(isAnswered bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rollouts[service]
	if !ok {
		return func(bool) {}
	}
	r.traffic.Attempts++
	if version == r.order.Target {
		r.traffic.Target++
		r.traffic.Running++
		r.needsReport = true
		return func(isAnswered bool) {
			t.mu.Lock()
			defer t.mu.Unlock()
			r.traffic.Running--
			if isAnswered {
				r.traffic.Answered++
			}
		}
	}
	// Whether requests are in flight on other versions matters only once sessions are no longer pinned to them.
	isMoving := func() bool { return !SessionsStayPinned(time.Since(r.begin), r.order.Duration) }
	r.oldInFlight++
	r.needsReport = r.needsReport || r.oldInFlight == 1 && isMoving()
	return func(bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.oldInFlight--
		r.needsReport = r.needsReport || r.oldInFlight == 0 && isMoving()
	}
}

// Observe adds an outcome to this node's evidence.
func (t *Tracker) Observe(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rollouts[o.Service]
	if !ok || r.isFinal() {
		return
	}
	isTarget := o.Version == r.order.Target
	// Answers of a full server are slow without a fault, and too few on each route to be counted by route.
	if o.IsFill {
		o.Route, o.Pace = fillRoute, 0
		if o.Load >= loadedPart {
			o.Route = underLoadRoute
		}
		r.peakLoad = max(r.peakLoad, o.Load)
	}
	isSlow := o.Pace > 0 && r.paces.isSlow(o.Route, o.Pace)
	if !isTarget && o.Pace > 0 {
		r.paces.add(o.Route, o.Pace)
	}
	r.own.Record(isTarget, o.Route, o.IsFailure, isSlow)
	if isTarget {
		r.needsReport = true
		t.stopIfUnhealthy(r)
	}
}

// SlowPace returns the pace from which on an answer on a route counts as slow; 0 if there are too few samples or no roll-out is in
// progress.
func (t *Tracker) SlowPace(service route.Service, kind route.Name) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rollouts[service]
	if !ok || r.isFinal() {
		return 0
	}
	return r.paces.slowPace(kind)
}

// Work holds the report that a node has to send and the status that it has to store for a roll-out now.
type Work struct {
	Order Order
	Begin time.Time
	// Report is this node's report to its peers; nil if none is due.
	Report *NodeReport
	// State is the state to write, on condition that the stored status still has Status.Version; StateNone means that there is
	// nothing to write. The write has been pending for PendingFor.
	State      State
	PendingFor time.Duration
	// Status is the stored status, which the write replaces.
	Status Status
}

// Due returns the work that is due at now, one entry for each service that has any.
func (t *Tracker) Due(now time.Time) []Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Work
	for service, r := range t.rollouts {
		if r.isFinal() && r.status.State.isFinal() {
			continue
		}
		w := Work{Order: r.order, Begin: r.begin, Status: r.status}
		r.stampReports(now)
		r.isWatching = t.watches(r, now)
		r.setCollected(r.collected(), now)
		t.pinRecentSessions(service, r, now)
		t.stopIfExposed(r, now)
		r.needsReport = r.needsReport || now.Sub(r.reportedAt) >= refreshInterval
		if r.needsReport && now.Sub(r.reportedAt) >= reportInterval(t.opts.NodeCount()) {
			r.needsReport, r.reportedAt = false, now
			w.Report = r.buildReport()
		}
		if w.State = t.nextState(r, now); w.State != r.pendingState {
			r.pendingState, r.pendingSince = w.State, now
		}
		w.PendingFor = now.Sub(r.pendingSince)
		if w.Report != nil || w.State != StateNone {
			due = append(due, w)
		}
	}
	return due
}

// nextState returns the state that has to be written, StateNone if there is nothing to write. The caller holds t.mu.
func (t *Tracker) nextState(r *rollout, now time.Time) State {
	switch {
	case r.isLost:
		return StateNone
	case r.isFinal():
		return r.reached
	case r.isStopped:
		return StateReverted
	case MayComplete(now.Sub(r.begin), r.order.Duration, r.totalOldInFlight()):
		gap := t.proofGap(r, now)
		t.logGap(r, gap)
		switch {
		case gap == "":
			return StateCompleted
		case t.mayEndUnproven(r, now):
			return StateReverted
		}
	}
	if r.status.State == StateNone {
		return StateInProgress
	}
	return StateNone
}

// buildReport returns this node's report, with copies of its evidence and of the pinned sessions.
func (r *rollout) buildReport() *NodeReport {
	report := &NodeReport{Order: r.order.Revision, Evidence: NewEvidence(), Traffic: r.traffic, PeakLoad: r.peakLoad, AtOld: r.oldInFlight}
	report.Evidence.Add(r.own)
	report.Sessions = r.pinnedSessions()
	return report
}

// totalOldInFlight returns the number of in-flight requests of all nodes on servers of other versions.
func (r *rollout) totalOldInFlight() int {
	sum := r.oldInFlight
	for _, report := range r.reports {
		sum += report.AtOld
	}
	return sum
}

// MarkUnreported makes the next Due return a service's report again, after it could not be sent.
func (t *Tracker) MarkUnreported(service route.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rollouts[service]; ok {
		r.needsReport = true
	}
}
