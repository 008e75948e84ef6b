package versionrollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	service  = route.Service("models")
	duration = 24 * time.Second
	exposure = 0.15
)

var order = versionrollout.Order{Service: service, Target: "v2", Duration: duration, Revision: 10}

// fleet holds the trackers of several nodes; the first node collects the reports.
type fleet struct {
	trackers []*versionrollout.Tracker
	now      time.Time
}

func newFleet(nodes int) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0)}
	for i := range nodes {
		f.trackers = append(f.trackers, versionrollout.NewTracker(versionrollout.TrackerOptions{
			Node: api.NodeID(fmt.Sprint(i)), Exposure: exposure, SessionTimeout: 5 * time.Second,
		}))
	}
	return f
}

func (f *fleet) order() {
	for _, tracker := range f.trackers {
		tracker.SetOrder(order, versionrollout.StartRecord{}, f.now)
	}
}

// exchange delivers the nodes' reports to the collector, and the state that the collector writes to all nodes.
func (f *fleet) exchange() (written versionrollout.State) {
	for i, tracker := range f.trackers {
		for _, work := range tracker.Due(f.now) {
			if work.Report != nil && i > 0 {
				tracker.SetCollected(order, f.trackers[0].SetReport(service, api.NodeID(fmt.Sprint(i)), *work.Report), f.now)
			}
			if i == 0 && work.State != versionrollout.StateNone {
				written = work.State
				for _, other := range f.trackers {
					other.SetStatus(versionrollout.Status{
						Service: service, Target: order.Target, State: work.State, Version: kv.Version(order.Revision) + 1,
					})
				}
			}
		}
	}
	return written
}

// outcome is how a simulated roll-out ended, with the number of requests to the target and of all requests.
type outcome struct {
	state    versionrollout.State
	toTarget int
	all      int
}

// simulate sends 47 requests a second through the trackers until the roll-out ends; isBad decides whether the target fails a request.
func simulate(nodes int, seed uint64, isBad func(rng *rand.Rand, elapsed time.Duration, name route.Name, share float64) bool) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(nodes)
	f.order()
	result := outcome{}
	begin := f.now
	const step = time.Second / 47
	for f.now = begin; f.now.Sub(begin) < duration; f.now = f.now.Add(step) {
		elapsed := f.now.Sub(begin)
		result.all++
		tracker := f.trackers[rng.IntN(nodes)]
		name := route.Name(fmt.Sprint("route-", rng.IntN(3)))
		choice := tracker.Pick(service, "", fmt.Sprint(rng.Uint64()), true, f.now)
		o := versionrollout.Outcome{Service: service, Version: "v1", Route: name, Pace: 0.1 + 0.1*rng.Float64()}
		if choice.UseTarget {
			result.toTarget++
			o.Version = order.Target
			if isBad(rng, elapsed, name, versionrollout.Share(elapsed, duration, exposure)) {
				o.IsFailure, o.Pace = true, 0
			}
		} else if rng.Float64() < 0.02 {
			o.IsFailure, o.Pace = true, 0
		}
		tracker.Observe(o)
		if result.all%12 == 0 {
			if state := f.exchange(); state == versionrollout.StateCompleted || state == versionrollout.StateReverted {
				result.state = state
				if state == versionrollout.StateCompleted {
					return result
				}
			}
		}
	}
	return result
}

// TestRollOuts simulates healthy and faulty versions on fleets of several sizes: a healthy version is completed in time, a faulty one
// is reverted within the exposure that the deployment allows.
func TestRollOuts(t *testing.T) {
	const exposureSlack = 30
	for _, test := range []struct {
		name  string
		isBad func(rng *rand.Rand, elapsed time.Duration, name route.Name, share float64) bool
		want  versionrollout.State
	}{
		{"good", func(rng *rand.Rand, _ time.Duration, _ route.Name, _ float64) bool { return rng.Float64() < 0.02 }, versionrollout.StateCompleted},
		{"errors", func(rng *rand.Rand, _ time.Duration, _ route.Name, _ float64) bool { return rng.Float64() < 0.4 }, versionrollout.StateReverted},
		{"late", func(rng *rand.Rand, elapsed time.Duration, _ route.Name, _ float64) bool {
			return elapsed > 4*time.Second && rng.Float64() < 0.4
		}, versionrollout.StateReverted},
		{"one class", func(rng *rand.Rand, _ time.Duration, name route.Name, _ float64) bool {
			return name == "route-1" && rng.Float64() < 0.5
		}, versionrollout.StateReverted},
		{"under load", func(rng *rand.Rand, _ time.Duration, _ route.Name, share float64) bool {
			return share > 0.25 && rng.Float64() < 0.5
		}, versionrollout.StateReverted},
	} {
		for _, nodes := range []int{1, 8, 84} {
			t.Run(fmt.Sprint(test.name, " on ", nodes), func(t *testing.T) {
				for seed := range uint64(40) {
					got := simulate(nodes, seed, test.isBad)
					qt.Assert(t, got.state, qt.Equals, test.want, qt.Commentf("seed %d: %+v", seed, got))
					if test.want == versionrollout.StateReverted {
						qt.Assert(t, float64(got.toTarget) <= exposure*float64(got.all)+exposureSlack, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, got))
					}
				}
			})
		}
	}
}

// TestSessionsKeepTheirVersion sends each request of a session through a random node; every other session fills servers well. In the first half of a roll-out no
// session moves from the old version to the new one, and no session ever moves back.
func TestSessionsKeepTheirVersion(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	f := newFleet(8)
	begin := f.now
	f.now = begin.Add(-6 * time.Second)
	ordered := false
	type last struct {
		useTarget bool
		at        time.Time
	}
	previous := make(map[string]last)
	moved := 0
	for ; f.now.Before(begin.Add(duration)); f.now = f.now.Add(10 * time.Millisecond) {
		if !ordered && !f.now.Before(begin) {
			ordered = true
			f.order()
		}
		if f.now.UnixMilli()%250 == 0 {
			f.exchange()
		}
		number := rng.IntN(200)
		session := fmt.Sprint("session-", number)
		tracker := f.trackers[rng.IntN(len(f.trackers))]
		useTarget := tracker.Pick(service, session, "id", number%2 == 0, f.now).UseTarget
		o := versionrollout.Outcome{Service: service, Version: "v1", Route: "r", Pace: 0.1}
		if useTarget {
			o.Version = order.Target
		}
		tracker.Observe(o)
		before, ok := previous[session]
		previous[session] = last{useTarget, f.now}
		if !ok || f.now.Sub(before.at) > 5*time.Second {
			continue
		}
		isFirstHalf := f.now.Sub(begin) < duration/2
		if before.useTarget && !useTarget || !before.useTarget && useTarget && isFirstHalf {
			moved++
		}
	}
	// A session that a node sees for the first time while the lists are exchanged may move all the same.
	qt.Assert(t, moved <= 3, qt.IsTrue, qt.Commentf("%d moved", moved))
}

// TestSlowVersionIsStopped guards against a version that answers correctly but eight times as slowly.
func TestSlowVersionIsStopped(t *testing.T) {
	tracker := newFleet(1).trackers[0]
	tracker.SetOrder(order, versionrollout.StartRecord{}, time.Unix(1_700_000_000, 0))
	for range 30 {
		tracker.Observe(versionrollout.Outcome{Service: service, Version: "v1", Route: "r", Pace: 0.1})
	}
	for range 15 {
		tracker.Observe(versionrollout.Outcome{Service: service, Version: "v2", Route: "r", Pace: 0.8})
	}
	due := tracker.Due(time.Unix(1_700_000_002, 0))
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].State, qt.Equals, versionrollout.StateReverted)
}

// TestSlowAnswersCountBeforeTheyEnd checks the pace from which on an answer counts as slow, with which nodes compare answers that are
// still running.
func TestSlowAnswersCountBeforeTheyEnd(t *testing.T) {
	tracker := newFleet(1).trackers[0]
	qt.Assert(t, tracker.SlowPace(service, "r"), qt.Equals, 0.0)
	tracker.SetOrder(order, versionrollout.StartRecord{}, time.Unix(1_700_000_000, 0))
	for range 30 {
		tracker.Observe(versionrollout.Outcome{Service: service, Version: "v1", Route: "r", Pace: 0.1})
	}
	limit := tracker.SlowPace(service, "r")
	qt.Assert(t, limit > 0.1, qt.IsTrue)
	took := versionrollout.DurationAtPace(limit, 2000, 7)
	qt.Assert(t, versionrollout.Pace(took, 2000, 7), qt.Equals, limit)
	for range 15 {
		tracker.Observe(versionrollout.Outcome{Service: service, Version: "v2", Route: "r", Pace: limit})
	}
	due := tracker.Due(time.Unix(1_700_000_002, 0))
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].State, qt.Equals, versionrollout.StateReverted)
}

// TestFewFailuresOfAFilledServerStopItsVersion guards against a version that fails only under load: four failures among eleven answers
// of a filled server stop it, in spite of many good answers at usual load and of the other versions.
func TestFewFailuresOfAFilledServerStopItsVersion(t *testing.T) {
	tracker := newFleet(1).trackers[0]
	tracker.SetOrder(order, versionrollout.StartRecord{}, time.Unix(1_700_000_000, 0))
	for i := range 400 {
		name := route.Name(fmt.Sprint("route-", i%3))
		tracker.Observe(versionrollout.Outcome{Service: service, Version: "v1", Route: name, Pace: 0.1})
		if i%4 == 0 {
			tracker.Observe(versionrollout.Outcome{Service: service, Version: "v2", Route: name, Pace: 0.1})
		}
	}
	for i := range 11 {
		tracker.Observe(versionrollout.Outcome{
			Service: service, Version: "v2", Route: route.Name(fmt.Sprint("route-", i%3)), IsFailure: i%3 == 1, IsFill: true, Load: 0.6, Pace: 0.9,
		})
	}
	due := tracker.Due(time.Unix(1_700_000_002, 0))
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].State, qt.Equals, versionrollout.StateReverted)
}

// TestRolloutSurvivesRestoredStore restores the store from a copy that is older than a roll-out's end: the order that operators write again
// doesn't begin a second roll-out, and the lost state is written again.
func TestRolloutSurvivesRestoredStore(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	b := versionrollout.NewTracker(versionrollout.TrackerOptions{Node: "a"})
	b.SetOrder(order, versionrollout.StartRecord{}, start)
	b.SetStatus(versionrollout.Status{Service: service, Target: "v2", State: versionrollout.StateReverted, Version: 12})
	qt.Assert(t, b.Due(start.Add(time.Second)), qt.HasLen, 0)

	again := order
	again.Revision = route.Revision(kv.NewVersion(1, 11))
	b.SetOrder(again, versionrollout.StartRecord{}, start.Add(2*time.Second))
	b.ClearStatus(service)
	due := b.Due(start.Add(3 * time.Second))
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].State, qt.Equals, versionrollout.StateReverted)
	qt.Assert(t, due[0].Status.Version, qt.Equals, kv.Version(0))
	qt.Assert(t, due[0].Begin, qt.Equals, start)
	b.SetStatus(versionrollout.Status{Service: service, Target: "v2", State: versionrollout.StateReverted, Version: kv.NewVersion(1, 13)})
	qt.Assert(t, b.Due(start.Add(4*time.Second)), qt.HasLen, 0)
}

// TestRestoredStoreDoesNotMoveARolloutBack restores the store from copies of different age while operators write again what is lost: nodes that
// have seen the roll-out go on from its stage, and write that stage again where the copy holds another one.
func TestRestoredStoreDoesNotMoveARolloutBack(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	first := versionrollout.Order{Service: service, Target: "v1", Duration: duration, Revision: 5}
	inEra := func(o versionrollout.Order, revision int64) versionrollout.Order {
		o.Revision = route.Revision(kv.NewVersion(1, revision))
		return o
	}
	type status = versionrollout.Status
	firstStart := versionrollout.NewStartRecord(first, start.Add(-time.Hour))
	ownStart := versionrollout.NewStartRecord(order, start)
	for _, test := range []struct {
		name string
		// reached is the state that was stored before the restore.
		reached versionrollout.State
		// copied, copiedStart and copiedStatus are the order, the last start and the status in the copy.
		copied       versionrollout.Order
		copiedStart  versionrollout.StartRecord
		copiedStatus status
		// isRewritten means that operators write the order again.
		isRewritten bool
		want        versionrollout.State
	}{
		{"copy of the order and its state", versionrollout.StateInProgress, inEra(order, 10), ownStart,
			status{Target: "v2", State: versionrollout.StateInProgress, Version: kv.NewVersion(1, 11)}, false, versionrollout.StateNone},
		{"copy of an earlier state", versionrollout.StateCompleted, inEra(order, 10), ownStart,
			status{Target: "v2", State: versionrollout.StateInProgress, Version: kv.NewVersion(1, 11)}, false, versionrollout.StateCompleted},
		{"copy of the order alone", versionrollout.StateReverted, inEra(order, 10), firstStart,
			status{Target: "v1", State: versionrollout.StateCompleted, Version: kv.NewVersion(1, 7)}, false, versionrollout.StateReverted},
		{"copy of the order before, not yet written again", versionrollout.StateInProgress, inEra(first, 5), firstStart,
			status{Target: "v1", State: versionrollout.StateCompleted, Version: kv.NewVersion(1, 7)}, false, versionrollout.StateNone},
		{"copy of the order before", versionrollout.StateInProgress, inEra(first, 5), firstStart,
			status{Target: "v1", State: versionrollout.StateCompleted, Version: kv.NewVersion(1, 7)}, true, versionrollout.StateInProgress},
		{"copy of the order before a completed one", versionrollout.StateCompleted, inEra(first, 5), firstStart,
			status{Target: "v1", State: versionrollout.StateCompleted, Version: kv.NewVersion(1, 7)}, true, versionrollout.StateCompleted},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := versionrollout.NewTracker(versionrollout.TrackerOptions{Node: "a"})
			b.SetOrder(first, versionrollout.StartRecord{}, start.Add(-time.Hour))
			b.SetOrder(order, versionrollout.StartRecord{}, start)
			b.SetStatus(status{Service: service, Target: "v2", State: test.reached, Version: 12})
			now := start.Add(duration * 2 / 3)
			choice := b.Pick(service, "", "request", true, now)

			b.SetOrder(test.copied, test.copiedStart, now)
			test.copiedStatus.Service = service
			b.SetStatus(test.copiedStatus)
			if test.isRewritten {
				b.SetOrder(inEra(order, 9), versionrollout.StartRecord{}, now)
			}
			qt.Check(t, b.Pick(service, "", "request", true, now), qt.Equals, choice)
			for _, work := range b.Due(now) {
				qt.Check(t, work.State, qt.Equals, test.want)
				qt.Check(t, work.Order.Revision, qt.Equals, order.Revision)
				qt.Check(t, work.Begin, qt.Equals, start)
				qt.Check(t, work.Status.Version, qt.Equals, test.copiedStatus.Version)
			}
			qt.Check(t, len(b.Due(now)) > 0, qt.Equals, test.want != versionrollout.StateNone)
		})
	}
}

// TestNodeStartedAfterARestoreJoinsTheRollout starts a node after the store was restored: by the stored start it goes on with the order of before, as
// the other nodes do, although the order has a revision of the new era.
func TestNodeStartedAfterARestoreJoinsTheRollout(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	now := begin.Add(duration / 3)
	stored := versionrollout.NewStartRecord(order, begin)
	again := order
	again.Revision = route.Revision(kv.NewVersion(1, 30))
	b := versionrollout.NewTracker(versionrollout.TrackerOptions{Node: "a"})
	b.SetOrder(again, versionrollout.StartRecord{}, now)
	b.SetStart(service, stored, now)
	b.SetStatus(versionrollout.Status{Service: service, Target: "v2", State: versionrollout.StateInProgress, Version: kv.NewVersion(1, 20)})
	for _, work := range b.Due(now) {
		qt.Check(t, work.State, qt.Equals, versionrollout.StateNone)
		qt.Check(t, work.Order.Revision, qt.Equals, order.Revision)
		qt.Check(t, work.Begin, qt.Equals, begin)
	}
	other := stored
	other.Target = "v1"
	c := versionrollout.NewTracker(versionrollout.TrackerOptions{Node: "c"})
	c.SetOrder(again, versionrollout.StartRecord{}, now)
	c.SetStart(service, other, now)
	due := c.Due(now)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Check(t, due[0].Begin, qt.Equals, now)
}

// TestWritersTakeTurns checks that a state is written by one node at first, by one more after each timeout, and never by nodes that are no writers.
func TestWritersTakeTurns(t *testing.T) {
	for _, test := range []struct {
		pendingFor time.Duration
		writers    int
	}{{0, 1}, {time.Second, 1}, {1500 * time.Millisecond, 2}, {time.Minute, versionrollout.MaxWriters}} {
		writers := 0
		for rank := -1; rank < versionrollout.MaxWriters; rank++ {
			if versionrollout.MayWrite(rank, test.pendingFor) {
				writers++
			}
		}
		qt.Check(t, writers, qt.Equals, test.writers, qt.Commentf("after %s", test.pendingFor))
	}
}
