package acceptance_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var quiet = &log.Logger{Handler: discard.New()}

// bench is a key-value service whose configuration log holds a first configuration.
type bench struct {
	service *kvfake.Service
	changes *configlog.Log
}

func newBench(t *testing.T) *bench {
	service := kvfake.New()
	service.SetLatency(2 * time.Millisecond)
	b := &bench{service: service, changes: configlog.New(service.Store(), configlog.DefaultPrefix)}
	config, err := fleet.Load("../../examples/sample.yaml")
	qt.Assert(t, err, qt.IsNil)
	first := fleet.Change{ID: "first", Author: "test", Reason: "first", Ops: fleet.NewState().Ops(config)}
	revision, err := b.acceptor().Accept(t.Context(), first)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, revision, qt.Equals, api.Revision(1))
	return b
}

func (b *bench) acceptor() *acceptance.Acceptor { return acceptance.New(b.changes, nil, quiet) }

// history reads every delta in the service.
func (b *bench) history(t testing.TB) []fleet.Delta {
	var found []fleet.Delta
	for {
		page, err := b.changes.Read(context.Background(), api.Revision(len(found)))
		qt.Assert(t, err, qt.IsNil)
		found = append(found, page.Deltas...)
		if !page.More {
			return found
		}
	}
}

// change returns a change that sets one exception, so that changes of different exceptions do not conflict.
func change(id fleet.ChangeID, base api.Revision, exception string) fleet.Change {
	value, err := json.Marshal(fleet.Exception{
		ID: exception, Scope: fleet.Scope{Team: "reports"}, Set: fleet.PolicyPatch{Hedge: new(bool)},
		Reason: string(id), Author: "test",
	})
	if err != nil {
		panic(err)
	}
	op := fleet.Op{EntityID: fleet.EntityID{Kind: fleet.KindException, Name: exception}, Value: value}
	return fleet.Change{ID: id, Base: base, Author: "test", Reason: string(id), Ops: []fleet.Op{op}}
}

func TestLostAnswerIsReadBack(t *testing.T) {
	for _, fault := range []kvfake.Fault{kvfake.FaultLoseResponse, kvfake.FaultLoseRequest} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				acceptor := b.acceptor()
				b.service.FailNext(kvfake.CallWrite, fault, 3)
				revision, err := acceptor.Accept(t.Context(), change("a", 1, "x"))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, revision, qt.Equals, api.Revision(2))
				qt.Assert(t, b.history(t), qt.HasLen, 2)
			})
		})
	}
}

func TestLostAnswerInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		acceptor := b.acceptor()
		b.service.FailNext(kvfake.CallWrite, kvfake.FaultLoseResponse, 1)
		_, err := acceptor.State(t.Context())
		qt.Assert(t, err, qt.IsNil)
		b.service.SetFault(func(kvfake.CallKind) kvfake.Fault { return kvfake.FaultNoLeader })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = acceptor.Accept(ctx, change("a", 1, "x"))
		qt.Assert(t, acceptance.IsErrOutcomeUnknown(err), qt.IsTrue, qt.Commentf("%v", err))

		b.service.EndOutage()
		revision, err := b.acceptor().Accept(t.Context(), change("a", 1, "x"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, revision, qt.Equals, api.Revision(2))
		qt.Assert(t, b.history(t), qt.HasLen, 2)
	})
}

func TestRejectedInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.service.StartOutage(kvfake.FaultNoLeader)
		_, err := b.acceptor().Accept(t.Context(), change("a", 1, "x"))
		qt.Assert(t, acceptance.IsErrUnavailable(err), qt.IsTrue)
	})
}

func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		_, err := b.acceptor().Accept(t.Context(), change("a", 1, "x"))
		qt.Assert(t, err, qt.IsNil)

		_, err = b.acceptor().Accept(t.Context(), change("b", 1, "y"))
		var conflict *acceptance.ErrConflict
		qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
		qt.Assert(t, conflict.Others, qt.HasLen, 1)
		qt.Assert(t, conflict.Others[0].ID, qt.Equals, fleet.ChangeID("a"))
		qt.Assert(t, err, qt.ErrorMatches, ".*revision 2 by test: a .*")

		same := change("c", 1, "x")
		same.Rebase = true
		_, err = b.acceptor().Accept(t.Context(), same)
		qt.Assert(t, err, qt.ErrorMatches, ".*touches Exception/x too.*")

		disjoint := change("d", 1, "y")
		disjoint.Rebase = true
		revision, err := b.acceptor().Accept(t.Context(), disjoint)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, revision, qt.Equals, api.Revision(3))
	})
}

func TestInvalidChangeIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		bad := change("a", 1, "x")
		bad.Ops = append(bad.Ops, fleet.Op{EntityID: fleet.EntityID{Kind: fleet.KindTeam, Name: "reports"}})
		_, err := b.acceptor().Accept(t.Context(), bad)
		qt.Assert(t, fleet.IsErrInvalid(err), qt.IsTrue)
		bad.Reason = " "
		_, err = b.acceptor().Accept(t.Context(), bad)
		qt.Assert(t, acceptance.IsErrIncomplete(err), qt.IsTrue)
		qt.Assert(t, b.history(t), qt.HasLen, 1)
	})
}

// TestCompaction accepts more changes than the snapshot interval, and checks that a new acceptor starts from the snapshot.
func TestCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		acceptor := b.acceptor()
		const changes = 1200
		for i := range changes {
			_, err := acceptor.Accept(t.Context(), change(fleet.NewChangeID(), api.Revision(i+1), fmt.Sprint("x", i%40)))
			qt.Assert(t, err, qt.IsNil)
		}
		head, err := b.changes.Head(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, head.Revision, qt.Equals, api.Revision(changes+1))
		qt.Assert(t, head.Revision-head.Snapshot < 500, qt.IsTrue)
		fromSnapshot, err := b.changes.Snapshot(t.Context(), head)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, fromSnapshot.Revision(), qt.Equals, head.Snapshot)

		head, err = b.changes.WriteSnapshot(t.Context(), head, must(acceptor.State(t.Context())), 10)
		qt.Assert(t, err, qt.IsNil)
		page, err := b.changes.Read(t.Context(), 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, page.Deltas, qt.HasLen, 10)
		anew, err := b.acceptor().State(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, anew.Config, qt.DeepEquals, must(acceptor.State(t.Context())).Config)
		_, err = b.acceptor().Accept(t.Context(), change("z", head.Revision, "z"))
		qt.Assert(t, err, qt.IsNil)
	})
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// TestRandomFaults lets several operators submit changes concurrently while calls fail in different ways, and checks the
// history against the results that were reported to the operators.
func TestRandomFaults(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "1"), qt.IsNil)
	rapid.Check(t, func(rt *rapid.T) {
		r := drawRace(rt)
		var problem string
		synctest.Test(t, func(t *testing.T) { problem = r.run(t) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// race is one random scenario.
type race struct {
	faults    []kvfake.Fault
	operators int
	rounds    int
	rebase    bool
	// pauses holds the pause before each round of each operator, in milliseconds.
	pauses []int
}

func drawRace(rt *rapid.T) race {
	r := race{
		faults: rapid.SliceOfN(rapid.SampledFrom([]kvfake.Fault{
			kvfake.FaultNone, kvfake.FaultNone, kvfake.FaultNone, kvfake.FaultLoseResponse, kvfake.FaultLoseRequest, kvfake.FaultNoLeader,
		}), 50, 50).Draw(rt, "faults"),
		operators: rapid.IntRange(2, 4).Draw(rt, "operators"),
		rounds:    rapid.IntRange(1, 6).Draw(rt, "rounds"),
		rebase:    rapid.Bool().Draw(rt, "rebase"),
	}
	n := r.operators * r.rounds
	r.pauses = rapid.SliceOfN(rapid.IntRange(0, 5), n, n).Draw(rt, "pauses")
	return r
}

// outcome is the result of a change that was reported to an operator.
type outcome struct {
	id       fleet.ChangeID
	revision api.Revision
	err      error
}

// run returns a description of a fault in the history, or an empty string.
func (r race) run(t *testing.T) string {
	b := newBench(t)
	for _, fault := range r.faults {
		b.service.FailNext(kvfake.CallWrite, fault, 1)
	}
	var mu sync.Mutex
	var all []outcome
	var group sync.WaitGroup
	for operator := range r.operators {
		group.Go(func() {
			acceptor := b.acceptor()
			for round := range r.rounds {
				time.Sleep(time.Duration(r.pauses[operator*r.rounds+round]) * time.Millisecond)
				id := fleet.ChangeID(fmt.Sprintf("%d-%d", operator, round))
				result := submit(t.Context(), acceptor, change(id, 0, fmt.Sprint("x", operator)), r.rebase)
				mu.Lock()
				all = append(all, result)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return checkHistory(b.history(t), all)
}

// submit bases a change on the newest state in the service and submits it.
func submit(ctx context.Context, acceptor *acceptance.Acceptor, c fleet.Change, rebase bool) outcome {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	state, err := acceptor.State(ctx)
	if err != nil {
		return outcome{id: c.ID, err: err}
	}
	c.Base = state.Revision()
	c.Rebase = rebase
	time.Sleep(time.Millisecond)
	revision, err := acceptor.Accept(ctx, c)
	return outcome{id: c.ID, revision: revision, err: err}
}

// checkHistory checks that revisions have no gaps, and that each change is there at most once, at the revision reported for it.
func checkHistory(history []fleet.Delta, all []outcome) string {
	revisionOf := make(map[fleet.ChangeID]api.Revision)
	parent := fleet.ChangeID("")
	for i, delta := range history {
		if delta.Revision != api.Revision(i+1) || delta.Parent != parent || revisionOf[delta.ID] != 0 {
			return fmt.Sprintf("revision %d: change %s at %d follows %s", i+1, delta.ID, delta.Revision, delta.Parent)
		}
		revisionOf[delta.ID] = delta.Revision
		parent = delta.ID
	}
	for _, result := range all {
		rejected := acceptance.IsErrConflict(result.err) || acceptance.IsErrUnavailable(result.err)
		switch {
		case result.err == nil && revisionOf[result.id] == result.revision:
		case rejected && revisionOf[result.id] == 0:
		case acceptance.IsErrOutcomeUnknown(result.err):
		default:
			return fmt.Sprintf("change %s is at revision %d, its operator got %d, %v", result.id, revisionOf[result.id], result.revision, result.err)
		}
	}
	return ""
}

// TestNodeAheadOfService checks that a change is rejected while the service lacks revisions that are in force.
func TestNodeAheadOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		old := b.service.Snapshot()
		acceptor := b.acceptor()
		_, err := acceptor.Accept(t.Context(), change("a", 1, "x"))
		qt.Assert(t, err, qt.IsNil)
		node := &localCopy{state: must(acceptor.State(t.Context()))}
		b.service.Restore(old)
		_, err = acceptance.New(b.changes, node, quiet).Accept(t.Context(), change("b", 2, "y"))
		qt.Assert(t, acceptance.IsErrServiceOlder(err), qt.IsTrue)
		qt.Assert(t, kv.IsErrUnknownOutcome(err), qt.IsFalse)
		qt.Assert(t, b.history(t), qt.HasLen, 1)
	})
}

// localCopy is a node's copy of the configuration.
type localCopy struct{ state *fleet.State }

func (c *localCopy) State() *fleet.State       { return c.state }
func (c *localCopy) ApplyAccepted(fleet.Delta) {}

func (c *localCopy) Adopt(state *fleet.State) {
	if state.Revision() > c.state.Revision() {
		c.state = state
	}
}

// TestAcceptedChangeIsOnNodeAtOnce checks that a change reported as accepted is on the node at once, even if the node
// lagged behind or the answer was lost.
func TestAcceptedChangeIsOnNodeAtOnce(t *testing.T) {
	for _, fault := range []kvfake.Fault{kvfake.FaultNone, kvfake.FaultLoseResponse} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			node := &localCopy{state: fleet.NewState()}
			acceptor := acceptance.New(b.changes, node, quiet)
			_, err := b.acceptor().Accept(t.Context(), change("a", 1, "x"))
			qt.Assert(t, err, qt.IsNil)
			b.service.FailNext(kvfake.CallWrite, fault, 1)
			revision, err := acceptor.Accept(t.Context(), change("b", 2, "y"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, node.state.Revision(), qt.Equals, revision)
			qt.Assert(t, node.state.ChangeID, qt.Equals, fleet.ChangeID("b"))
		})
	}
}
