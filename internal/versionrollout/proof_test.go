package versionrollout_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// proofPlan is a roll-out of a sound version on four nodes, of which the first collects the reports.
type proofPlan struct {
	name string
	// answersPerSecond is how many answers of the target each node observes, others how many of the other versions.
	answersPerSecond, others int
	// hasServer tells at a time since the order whether the target has a server; nil means always.
	hasServer func(elapsed time.Duration) bool
	// isHeard tells at a time since the order whether the collector receives reports; nil means always.
	isHeard func(elapsed time.Duration) bool
	// restartAt is when all nodes are replaced, so that what they have learnt is lost; 0 means never.
	restartAt time.Duration
	want      versionrollout.State
	// endsBy is the latest time at which the roll-out ends.
	endsBy time.Duration
}

func always(time.Duration) bool { return true }

// run plays the plan and returns how and when the roll-out ended.
func (p proofPlan) run(c *qt.C) (state versionrollout.State, at time.Duration) {
	const nodes = 4
	begin := time.Unix(1_700_000_000, 0)
	hasServer, isHeard := p.hasServer, p.isHeard
	if hasServer == nil {
		hasServer = always
	}
	if isHeard == nil {
		isHeard = always
	}
	f := &fleet{}
	start := func(start versionrollout.StartRecord) {
		f.trackers = nil
		for i := range nodes {
			tracker := versionrollout.NewTracker(versionrollout.TrackerOptions{
				Node: api.NodeID(fmt.Sprint(i)), Exposure: exposure, SessionTimeout: 5 * time.Second, NodeCount: func() int { return nodes },
				HasServer: func(of route.Service, version route.ServiceVersion) bool {
					c.Check(of, qt.Equals, service)
					c.Check(version, qt.Equals, order.Target)
					return hasServer(f.now.Sub(begin))
				},
			})
			tracker.SetOrder(order, start, f.now)
			f.trackers = append(f.trackers, tracker)
		}
	}
	f.now = begin
	start(versionrollout.StartRecord{})
	const step = 250 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < 2*duration; elapsed += step {
		f.now = begin.Add(elapsed)
		if p.restartAt == elapsed && elapsed > 0 {
			start(versionrollout.NewStartRecord(order, begin))
		}
		for i, tracker := range f.trackers {
			if elapsed%time.Second == 0 {
				for range p.others {
					tracker.Observe(versionrollout.Outcome{Service: service, Version: "v1", Route: "r", Pace: 0.1})
				}
				for range p.answersPerSecond {
					tracker.Observe(versionrollout.Outcome{Service: service, Version: order.Target, Route: "r", Pace: 0.1})
				}
			}
			for _, work := range tracker.Due(f.now) {
				if work.Report != nil && i > 0 && isHeard(elapsed) {
					f.trackers[0].SetReport(service, api.NodeID(fmt.Sprint(i)), *work.Report)
				}
				if i > 0 || work.State == versionrollout.StateNone {
					continue
				}
				if work.State != versionrollout.StateInProgress {
					return work.State, elapsed
				}
				for _, other := range f.trackers {
					other.SetStatus(versionrollout.Status{Service: service, Target: order.Target, State: work.State, Version: kv.Version(order.Revision) + 1})
				}
			}
		}
	}
	return versionrollout.StateNone, 2 * duration
}

// TestOnlyProvenVersionsAreCompleted guards against roll-outs that are completed by time: without servers of the target, without its answers since the order,
// or without the reports of most nodes.
func TestOnlyProvenVersionsAreCompleted(t *testing.T) {
	const completeFrom, grace = duration * 3 / 4, 4 * time.Second
	for _, p := range []proofPlan{
		{name: "sound", answersPerSecond: 1, others: 3, want: versionrollout.StateCompleted, endsBy: completeFrom},
		{name: "sound, little traffic", answersPerSecond: 1, others: 1, want: versionrollout.StateCompleted, endsBy: completeFrom},
		{name: "never a server", answersPerSecond: 0, others: 4, hasServer: func(time.Duration) bool { return false }, want: versionrollout.StateReverted, endsBy: duration},
		{name: "servers gone later", answersPerSecond: 1, others: 4, hasServer: func(elapsed time.Duration) bool { return elapsed < duration/2 },
			want: versionrollout.StateReverted, endsBy: duration},
		{name: "servers back before the deadline", answersPerSecond: 1, others: 4,
			hasServer: func(elapsed time.Duration) bool { return elapsed < duration/2 || elapsed > duration*5/6 },
			want:      versionrollout.StateCompleted, endsBy: duration*5/6 + time.Second},
		{name: "no answers", others: 4, want: versionrollout.StateReverted, endsBy: duration},
		{name: "no requests at all", want: versionrollout.StateReverted, endsBy: duration},
		{name: "never a report", answersPerSecond: 1, others: 4, isHeard: func(time.Duration) bool { return false }, want: versionrollout.StateReverted, endsBy: duration + grace},
		{name: "reports end in the middle", answersPerSecond: 1, others: 4, isHeard: func(elapsed time.Duration) bool { return elapsed < duration/2 },
			want: versionrollout.StateReverted, endsBy: duration + grace},
		{name: "all nodes replaced", answersPerSecond: 1, others: 4, restartAt: duration / 2, want: versionrollout.StateCompleted, endsBy: completeFrom},
		{name: "all nodes replaced, no answers since", others: 4, restartAt: duration * 3 / 4, want: versionrollout.StateReverted, endsBy: duration},
	} {
		t.Run(p.name, func(t *testing.T) {
			c := qt.New(t)
			state, at := p.run(c)
			c.Check(state, qt.Equals, p.want)
			c.Check(at <= p.endsBy, qt.IsTrue, qt.Commentf("ended after %s, by %s allowed", at, p.endsBy))
			c.Check(at >= completeFrom, qt.IsTrue)
		})
	}
}

// TestUnwatchedTargetKeepsItsFirstShare guards against versions that get all requests by time, while no node could tell that they are bad: after a loss of all
// nodes, or of the node that collects the reports. Sessions must not go back to the other versions because a report or two is lost.
func TestUnwatchedTargetKeepsItsFirstShare(t *testing.T) {
	const (
		picks     = 2000
		maxUnseen = 0.1
		// late is a time at which a watched target gets all requests, rollback the time within which requests to a bad version must end.
		late, rollback = duration * 7 / 10, 5 * time.Second
	)
	for _, test := range []struct {
		name string
		// answers is the number of the target's answers that the second node has observed; lostFor is how long ago the collector has responded last.
		answers   int
		isStarted bool
		lostFor   time.Duration
		// response is that of another collector, if it isn't nil.
		response *versionrollout.Collected
		want     bool
	}{
		{"watched", 10, false, 0, nil, true},
		{"a few reports lost", 10, false, rollback / 2, nil, true},
		{"another collector doesn't watch", 10, false, 0, &versionrollout.Collected{IsUnwatched: true}, true},
		{"another collector has stopped it", 10, false, 0, &versionrollout.Collected{IsStopped: true}, false},
		{"collector gone", 10, false, rollback, nil, false},
		{"nodes replaced, without an answer", 0, true, 0, nil, false},
		{"nodes replaced, with answers since", 10, true, 0, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(2)
			begin := f.now
			f.now = begin.Add(late)
			start := versionrollout.NewStartRecord(order, begin)
			for i, tracker := range f.trackers {
				at := begin
				if test.isStarted {
					at = f.now
				}
				tracker.SetOrder(order, start, at)
				for range test.answers * i {
					tracker.Observe(versionrollout.Outcome{Service: service, Version: order.Target, Route: "r", Pace: 0.1})
				}
				for range 100 {
					tracker.Observe(versionrollout.Outcome{Service: service, Version: "v1", Route: "r", Pace: 0.1})
				}
			}
			for range 3 {
				f.now = f.now.Add(250 * time.Millisecond)
				f.exchange()
			}
			f.now = f.now.Add(test.lostFor)
			if test.response != nil {
				f.trackers[1].SetCollected(order, *test.response, f.now)
			}
			toTarget := 0
			for i := range picks {
				if f.trackers[1].Pick(service, "", fmt.Sprint(i), true, f.now).UseTarget {
					toTarget++
				}
			}
			share := float64(toTarget) / picks
			qt.Check(t, share > maxUnseen, qt.Equals, test.want, qt.Commentf("share %g", share))
		})
	}
}
