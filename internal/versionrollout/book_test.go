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

// fleet is the books of several nodes, of which the first collects the reports.
type fleet struct {
	books []*versionrollout.Tracker
	now   time.Time
}

func newFleet(nodes int) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0)}
	for i := range nodes {
		f.books = append(f.books, versionrollout.NewTracker(versionrollout.TrackerOptions{
			Node: api.NodeID(fmt.Sprint(i)), Exposure: exposure, SessionTimeout: 5 * time.Second,
		}))
	}
	return f
}

func (f *fleet) order() {
	for _, book := range f.books {
		book.SetOrder(order, f.now)
	}
}

// exchange carries reports to the collector, and the state that it writes to all.
func (f *fleet) exchange() (written versionrollout.State) {
	for i, book := range f.books {
		for _, work := range book.Due(f.now) {
			if work.Report != nil && i > 0 {
				book.PinSessions(order, f.books[0].SetReport(service, api.NodeID(fmt.Sprint(i)), *work.Report))
			}
			if i == 0 && work.State != versionrollout.StateNone {
				written = work.State
				for _, other := range f.books {
					other.SetStatus(versionrollout.Status{
						Service: service, Target: order.Target, State: work.State, Version: kv.Version(order.Revision) + 1,
					})
				}
			}
		}
	}
	return written
}

// outcome is how the drawn fleet's roll-out ended, and what the target got.
type outcome struct {
	state    versionrollout.State
	toTarget int
	all      int
}

// play sends 47 requests a second through the books until the roll-out ends; isBad tells whether the target fails a request.
func play(nodes int, seed uint64, isBad func(rng *rand.Rand, elapsed time.Duration, name route.Name, share float64) bool) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(nodes)
	f.order()
	result := outcome{}
	begin := f.now
	const step = time.Second / 47
	for f.now = begin; f.now.Sub(begin) < duration; f.now = f.now.Add(step) {
		elapsed := f.now.Sub(begin)
		result.all++
		book := f.books[rng.IntN(nodes)]
		name := route.Name(fmt.Sprint("route-", rng.IntN(3)))
		choice := book.Pick(service, "", fmt.Sprint(rng.Uint64()), f.now)
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
		book.Observe(o)
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

// TestRollOuts plays good and bad versions of every kind on fleets of several sizes: a good one is completed in time, a bad one reverted
// within the exposure that the deployment allows.
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
					got := play(nodes, seed, test.isBad)
					qt.Assert(t, got.state, qt.Equals, test.want, qt.Commentf("seed %d: %+v", seed, got))
					if test.want == versionrollout.StateReverted {
						qt.Assert(t, float64(got.toTarget) <= exposure*float64(got.all)+exposureSlack, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, got))
					}
				}
			})
		}
	}
}

// TestSessionsKeepTheirVersion lets sessions hop between nodes: in the first half of a roll-out none that ran on the old version moves
// to the new one, and none ever moves back.
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
	lasts := make(map[string]last)
	moved := 0
	for ; f.now.Before(begin.Add(duration)); f.now = f.now.Add(10 * time.Millisecond) {
		if !ordered && !f.now.Before(begin) {
			ordered = true
			f.order()
		}
		if f.now.UnixMilli()%250 == 0 {
			f.exchange()
		}
		session := fmt.Sprint("session-", rng.IntN(200))
		useTarget := f.books[rng.IntN(len(f.books))].Pick(service, session, "id", f.now).UseTarget
		before, ok := lasts[session]
		lasts[session] = last{useTarget, f.now}
		if !ok || f.now.Sub(before.at) > 5*time.Second {
			continue
		}
		isFirstHalf := f.now.Sub(begin) < duration/2
		if before.useTarget && !useTarget || !before.useTarget && useTarget && isFirstHalf {
			moved++
		}
	}
	// A session that a node sees for the first time while the lists are exchanged may slip through.
	qt.Assert(t, moved <= 3, qt.IsTrue, qt.Commentf("%d moved", moved))
}

// TestSlowVersionIsStopped gives the target answers that take eight times as long.
func TestSlowVersionIsStopped(t *testing.T) {
	book := newFleet(1).books[0]
	book.SetOrder(order, time.Unix(1_700_000_000, 0))
	for range 30 {
		book.Observe(versionrollout.Outcome{Service: service, Version: "v1", Route: "r", Pace: 0.1})
	}
	for range 15 {
		book.Observe(versionrollout.Outcome{Service: service, Version: "v2", Route: "r", Pace: 0.8})
	}
	due := book.Due(time.Unix(1_700_000_002, 0))
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].State, qt.Equals, versionrollout.StateReverted)
}

// TestSlowAnswersCountBeforeTheyEnd asks for the pace from which on an answer is slow, which a node watches while answers run.
func TestSlowAnswersCountBeforeTheyEnd(t *testing.T) {
	book := newFleet(1).books[0]
	qt.Assert(t, book.SlowPace(service, "r"), qt.Equals, 0.0)
	book.SetOrder(order, time.Unix(1_700_000_000, 0))
	for range 30 {
		book.Observe(versionrollout.Outcome{Service: service, Version: "v1", Route: "r", Pace: 0.1})
	}
	limit := book.SlowPace(service, "r")
	qt.Assert(t, limit > 0.1, qt.IsTrue)
	took := versionrollout.DurationAtPace(limit, 2000, 7)
	qt.Assert(t, versionrollout.Pace(took, 2000, 7), qt.Equals, limit)
	for range 15 {
		book.Observe(versionrollout.Outcome{Service: service, Version: "v2", Route: "r", Pace: limit})
	}
	due := book.Due(time.Unix(1_700_000_002, 0))
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].State, qt.Equals, versionrollout.StateReverted)
}

// TestFewFailuresOfAFilledServerStopItsVersion gives the target four failures among eleven answers while a server is filled, beside
// many good answers at its usual load and of the other versions.
func TestFewFailuresOfAFilledServerStopItsVersion(t *testing.T) {
	book := newFleet(1).books[0]
	book.SetOrder(order, time.Unix(1_700_000_000, 0))
	for i := range 400 {
		name := route.Name(fmt.Sprint("route-", i%3))
		book.Observe(versionrollout.Outcome{Service: service, Version: "v1", Route: name, Pace: 0.1})
		if i%4 == 0 {
			book.Observe(versionrollout.Outcome{Service: service, Version: "v2", Route: name, Pace: 0.1})
		}
	}
	for i := range 11 {
		book.Observe(versionrollout.Outcome{
			Service: service, Version: "v2", Route: route.Name(fmt.Sprint("route-", i%3)), IsFailure: i%3 == 1, IsUnderLoad: true, Pace: 0.9,
		})
	}
	due := book.Due(time.Unix(1_700_000_002, 0))
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].State, qt.Equals, versionrollout.StateReverted)
}
