package versionrollout

import (
	"time"

	"github.com/apex/log"
)

const (
	// provenAnswers is the number of a target's answers since the order with which a roll-out may be completed. Of services with little traffic the part
	// provenPart of all answers suffices.
	provenAnswers = 12
	provenPart    = 0.1
	// maxReportAge is the age up to which a node's report counts for decisions that need the reports of most nodes; refreshInterval is how often nodes repeat
	// reports in which nothing has changed, so that a node that begins to collect gets all of them.
	maxReportAge    = 3 * time.Second
	refreshInterval = time.Second
	// watchedAnswers is the number of a target's answers since the order without which it gets all requests of no node; of services with little traffic the part
	// watchedPart of all answers suffices.
	watchedAnswers = 4
	watchedPart    = 0.03
	// watchPeriod is how long a node counts on a collector that it doesn't reach: while it does without, sessions go back to the other versions.
	watchPeriod = 4 * time.Second
	// collectorGrace is how long after a roll-out's deadline a node without the reports of most nodes reverts it: another one may have them.
	collectorGrace = 3 * time.Second
)

// peerReport is the newest report of a peer.
type peerReport struct {
	NodeReport
	// seenAt is when Due saw the report first; zero before that.
	seenAt time.Time
}

// stampReports records when new reports were seen.
func (r *rollout) stampReports(now time.Time) {
	for _, report := range r.reports {
		if report.seenAt.IsZero() {
			report.seenAt = now
		}
	}
}

// hasReports reports whether the node has recent reports of at least half of the nodes, itself included.
func (r *rollout) hasReports(nodes int, now time.Time) bool {
	recent := 0
	for _, report := range r.reports {
		if report.seenAt.IsZero() || now.Sub(report.seenAt) <= maxReportAge {
			recent++
		}
	}
	return 2*recent >= nodes-1
}

// Reasons for which a roll-out isn't completed yet.
const (
	gapNoServer   = "no server of the version"
	gapFewReports = "too few nodes have reported"
	gapFewAnswers = "too few answers of the version"
)

// proofGap returns what is missing to complete the roll-out; empty if it may be completed. Time alone shows nothing about a version.
func (t *Tracker) proofGap(r *rollout, now time.Time) string {
	target, others := r.totalEvidence().answers()
	switch {
	case t.opts.HasServer != nil && !t.opts.HasServer(r.order.Service, r.order.Target):
		return gapNoServer
	case !r.hasReports(t.opts.NodeCount(), now):
		return gapFewReports
	case target == 0 || float64(target) < min(provenAnswers, provenPart*float64(target+others)):
		return gapFewAnswers
	default:
		return ""
	}
}

// mayEndUnproven reports whether a roll-out without proof is to be reverted.
func (t *Tracker) mayEndUnproven(r *rollout, now time.Time) bool {
	late := now.Sub(r.begin) - r.order.Duration
	return late >= collectorGrace || late >= 0 && r.hasReports(t.opts.NodeCount(), now)
}

// logGap logs why the roll-out isn't completed when the reason changes.
func (t *Tracker) logGap(r *rollout, gap string) {
	if gap == r.loggedGap {
		return
	}
	if r.loggedGap = gap; gap == "" {
		return
	}
	target, others := r.totalEvidence().answers()
	t.opts.Log.WithFields(log.Fields{
		"service": string(r.order.Service), "target": string(r.order.Target), "reason": gap, "answers_of_target": target, "answers_of_others": others,
		"reports": len(r.reports), "nodes": t.opts.NodeCount(),
	}).Info("roll-out is not completed yet")
}

// watches reports whether the node could tell that the target is unhealthy: it has the reports of most nodes, and answers of the target once that gets all
// requests. Nodes send the target no more than its first share of the requests unless some node watches.
func (t *Tracker) watches(r *rollout, now time.Time) bool {
	if !r.hasReports(t.opts.NodeCount(), now) {
		return false
	}
	if elapsed := now.Sub(r.begin); elapsed < newFillSpan(r.order.Duration).until {
		return true
	}
	target, others := r.totalEvidence().answers()
	return target > 0 && float64(target) >= min(watchedAnswers, watchedPart*float64(target+others))
}

// setCollected takes in a collector's response. One that doesn't watch is no reason to do without another that does.
func (r *rollout) setCollected(collected Collected, now time.Time) {
	switch {
	case collected.IsStopped:
		r.watchedUntil = time.Time{}
	case !collected.IsUnwatched:
		r.watchedUntil = now.Add(watchPeriod)
	}
}
