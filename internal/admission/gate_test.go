package admission_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/admission"
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// slots is a constant capacity.
type slots int

func (s slots) MaxInFlight(api.Service) int { return int(s) }

func newGate(t *testing.T, free slots) *admission.Gate {
	gate := admission.New(admission.Options{Capacity: free, Metrics: metric.New(), Nodes: func() int { return 1 }})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = gate.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return gate
}

func request(team api.Team, n int, wait time.Duration) router.AdmissionRequest {
	return router.AdmissionRequest{
		ID: api.RequestID(fmt.Sprint(team, n)), Team: team, Service: "s", Weight: 1, Deadline: time.Now().Add(wait),
	}
}

// checkRejection checks that err is a rejection with the given reason, the outcome NotRun and a retry delay of at least a second.
func checkRejection(t *testing.T, err error, reason api.Reason) {
	t.Helper()
	problem := router.AsProblem(err, "")
	qt.Check(t, problem.Reason, qt.Equals, reason)
	qt.Check(t, problem.Outcome, qt.Equals, api.OutcomeNotRun)
	qt.Check(t, problem.RetryAfter >= time.Second, qt.IsTrue, qt.Commentf("RetryAfter is %s", problem.RetryAfter))
}

// TestLateRequestsAreRejectedImmediately guards against callers that wait for a request that can't meet its deadline. It also checks that
// a canceled wait ends with its context and that a second Release of the same slot has no effect.
func TestLateRequestsAreRejectedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(t, 1)
		admitted, err := gate.Admit(t.Context(), request("a", 0, time.Minute))
		qt.Assert(t, err, qt.IsNil)
		began := time.Now()
		_, err = gate.Admit(t.Context(), request("a", 1, 500*time.Millisecond))
		checkRejection(t, err, api.ReasonDeadline)
		qt.Check(t, time.Since(began) < 100*time.Millisecond, qt.IsTrue)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = gate.Admit(ctx, request("a", 2, time.Minute))
		checkRejection(t, err, api.ReasonDeadline)
		admitted.Release()
		admitted.Release()
		admitted, err = gate.Admit(t.Context(), request("a", 3, time.Minute))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, time.Since(began) <= time.Second+100*time.Millisecond, qt.IsTrue, qt.Commentf("the slot was released"))
		admitted.Release()
	})
}

// TestFloodLeavesOthersTheirShare guards against a team that gets less than its share while another one floods the queue. Both have the
// same weight and one slot is available; the other team sends one request at a time.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hold = 100 * time.Millisecond
		gate := newGate(t, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var callers sync.WaitGroup
		var mu sync.Mutex
		served := map[api.Team]int{}
		refused, boosted := map[api.Team]int{}, map[api.Team]int{}
		run := func(team api.Team, n int) {
			admitted, err := gate.Admit(ctx, request(team, n, 2*time.Minute))
			if err == nil {
				time.Sleep(hold)
				admitted.Release()
			} else if ctx.Err() == nil {
				checkRejection(t, err, api.ReasonOverloaded)
				time.Sleep(router.AsProblem(err, "").RetryAfter)
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				served[team]++
				if admitted.Boosted {
					boosted[team]++
				}
			} else if ctx.Err() == nil {
				refused[team]++
			}
		}
		begin := func(team api.Team, count int) {
			for i := range count {
				callers.Go(func() {
					for n := i; ctx.Err() == nil; n += count {
						run(team, n)
					}
				})
			}
		}
		begin("flood", 5000)
		begin("steady", 1)
		callers.Wait()
		qt.Check(t, refused["flood"] > 0, qt.IsTrue, qt.Commentf("a full queue rejects requests"))
		qt.Check(t, refused["steady"], qt.Equals, 0)
		qt.Check(t, boosted["steady"], qt.Equals, served["steady"])
		qt.Check(t, boosted["flood"], qt.Equals, 0)
		total := served["flood"] + served["steady"]
		t.Logf("served %v of %d", served, total)
		qt.Check(t, served["steady"]*10 >= total*4, qt.IsTrue, qt.Commentf("served %v", served))
		qt.Check(t, served["flood"]*10 >= total*4, qt.IsTrue, qt.Commentf("served %v", served))
	})
}

// TestBurstAfterIdleIsQueued guards against rejections in a burst after an idle period, when no drain rate is known: the requests take
// three rounds on the servers and finish long before their deadlines, so none may be rejected.
func TestBurstAfterIdleIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(t, 20)
		var callers sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		for n := range 60 {
			callers.Go(func() {
				admitted, err := gate.Admit(t.Context(), request("lessons", n, 8*time.Second))
				if err != nil {
					mu.Lock()
					defer mu.Unlock()
					refused++
					return
				}
				time.Sleep(time.Second)
				admitted.Release()
			})
		}
		callers.Wait()
		qt.Check(t, refused, qt.Equals, 0)
	})
}

// TestAdmitsAfterServersRecover guards against rejections that never end: after the servers were slower than the callers' deadlines and
// became fast again, requests with short deadlines must be admitted, although the observed hold times are long.
func TestAdmitsAfterServersRecover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(t, 4)
		for n := range 20 {
			admitted, err := gate.Admit(t.Context(), request("a", n, time.Minute))
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(20 * time.Second)
			admitted.Release()
		}
		for n := range 20 {
			admitted, err := gate.Admit(t.Context(), request("a", 100+n, 8*time.Second))
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(100 * time.Millisecond)
			admitted.Release()
		}
	})
}

// TestServiceTimesArePerClass checks that a request is rejected by the service time of its own class: one of a slow class can't meet its
// deadline, one of a fast class with the same deadline can.
func TestServiceTimesArePerClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(t, 4)
		admit := func(class api.Class, n int, wait time.Duration) (router.Admitted, error) {
			req := request("a", n, wait)
			req.Class = class
			return gate.Admit(t.Context(), req)
		}
		for n := range 20 {
			for class, hold := range map[api.Class]time.Duration{"long": 10 * time.Second, "short": time.Second} {
				admitted, err := admit(class, n, time.Minute)
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(hold)
				admitted.Release()
			}
		}
		running, err := admit("short", 100, time.Minute)
		qt.Assert(t, err, qt.IsNil)
		defer running.Release()
		_, err = admit("long", 101, 8*time.Second)
		checkRejection(t, err, api.ReasonDeadline)
		admitted, err := admit("short", 102, 8*time.Second)
		qt.Assert(t, err, qt.IsNil)
		admitted.Release()
	})
}

// TestManyCallersAreAdmittedAfterServersRecover is the same check as TestAdmitsAfterServersRecover with many concurrent callers, some of
// which may be rejected in the first two seconds.
func TestManyCallersAreAdmittedAfterServersRecover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, callers = 32, 16
		gate := newGate(t, slots)
		run := func(rounds int, wait, hold, pause time.Duration) (refused int) {
			var mu sync.Mutex
			var running sync.WaitGroup
			for c := range callers {
				running.Go(func() {
					for n := range rounds {
						admitted, err := gate.Admit(t.Context(), request("a", c*1000+n, wait))
						if err != nil {
							mu.Lock()
							refused++
							mu.Unlock()
						} else {
							time.Sleep(hold)
							admitted.Release()
						}
						time.Sleep(pause)
					}
				})
			}
			running.Wait()
			return refused
		}
		qt.Assert(t, run(4, 2*time.Minute, 20*time.Second, 0), qt.Equals, 0)
		const fast = 100 * time.Millisecond
		t.Logf("rejected in the first 2 s: %d of %d", run(10, 8*time.Second, fast, fast), 10*callers)
		qt.Check(t, run(50, 8*time.Second, fast, fast), qt.Equals, 0)
	})
}
