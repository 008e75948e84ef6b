package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// fakeNode serves the routes of the caller API that a test registers and logs each request as "METHOD path key".
type fakeNode struct {
	t      *testing.T
	server *httptest.Server
	id     api.NodeID

	mu       sync.Mutex
	log      []string
	handlers map[string]http.HandlerFunc
}

func newFakeNode(t *testing.T, id api.NodeID) *fakeNode {
	n := &fakeNode{t: t, id: id, handlers: make(map[string]http.HandlerFunc)}
	n.server = httptest.NewServer(n)
	t.Cleanup(n.server.Close)
	n.on("POST /v1/keys", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"Keys": ["%s-key"]}`, id)
	})
	return n
}

func (n *fakeNode) on(call string, handler http.HandlerFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[call] = handler
}

// ServeHTTP implements http.Handler.
func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := r.Method + " " + r.URL.Path
	n.mu.Lock()
	n.log = append(n.log, strings.TrimSpace(call+" "+r.Header.Get(api.HeaderIdempotencyKey)))
	handler := n.handlers[call]
	n.mu.Unlock()
	if handler == nil {
		writeProblem(w, api.NewProblem(api.ReasonUnknownAnswer, http.StatusNotFound, api.OutcomeMayHaveRun, call))
		return
	}
	handler(w, r)
}

// calls returns the logged requests except those for addresses and keys.
func (n *fakeNode) calls() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var calls []string
	for _, call := range n.log {
		if !strings.Contains(call, "/v1/addresses") && !strings.Contains(call, "/v1/keys") {
			calls = append(calls, call)
		}
	}
	return calls
}

func writeProblem(w http.ResponseWriter, problem *api.Problem) {
	w.Header().Set("Content-Type", api.ProblemContentType)
	if problem.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(problem.RetryAfter/time.Second)))
	}
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}

// newFleet returns a client and two nodes; the first is nearer and has far more weight, so that it is almost always picked.
func newFleet(t *testing.T, opts Options) (*Client, *fakeNode, *fakeNode) {
	t.Helper()
	a, b := newFakeNode(t, "a"), newFakeNode(t, "b")
	addresses := api.Addresses{KeepSeconds: 60, Addresses: []api.Address{
		{Node: "a", URL: a.server.URL, FailureDomain: "near", Weight: 1e9},
		{Node: "b", URL: b.server.URL, FailureDomain: "far", Weight: 1e-9},
	}}
	for _, node := range []*fakeNode{a, b} {
		node.on("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(addresses) })
	}
	opts.Nodes = []string{a.server.URL, b.server.URL}
	client, err := New(opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(client.Close)
	return client, a, b
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answerPlain(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(api.HeaderRequestID, "r1")
	_, _ = io.Copy(w, r.Body)
}

var onceOnlyCall = PlainCall{Service: "forge", Method: "POST", Path: "/push", Body: []byte("x")}

const onceOnlyRoute = "POST /v1/services/forge/push"

func TestLostAnswerIsRetriedWithSameKey(t *testing.T) {
	client, a, b := newFleet(t, Options{})
	a.on(onceOnlyRoute, abort)
	b.on(onceOnlyRoute, answerPlain)
	answer, err := client.Call(t.Context(), onceOnlyCall)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(answer.Body), qt.Equals, "x")
	qt.Assert(t, answer.Info.Node, qt.Equals, api.NodeID("b"))
	for _, call := range append(a.calls(), b.calls()...) {
		qt.Assert(t, call, qt.Equals, onceOnlyRoute+" a-key")
	}
}

func TestCallWithoutKeyIsNotSentTwice(t *testing.T) {
	client, a, b := newFleet(t, Options{WithoutKeys: true})
	a.on(onceOnlyRoute, abort)
	_, err := client.Call(t.Context(), onceOnlyCall)
	qt.Assert(t, OutcomeOf(err), qt.Equals, api.OutcomeMayHaveRun)
	qt.Assert(t, a.calls(), qt.HasLen, 1)
	qt.Assert(t, b.calls(), qt.HasLen, 0)

	repeatable := onceOnlyCall
	repeatable.Repeatable = true
	b.on(onceOnlyRoute, answerPlain)
	_, err = client.Call(t.Context(), repeatable)
	qt.Assert(t, err, qt.IsNil)
}

func TestUnreachableNodeIsSkipped(t *testing.T) {
	client, a, b := newFleet(t, Options{})
	_, err := client.Addresses(t.Context())
	qt.Assert(t, err, qt.IsNil)
	a.server.Close()
	b.on(onceOnlyRoute, answerPlain)
	_, err = client.Call(t.Context(), onceOnlyCall)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.calls(), qt.DeepEquals, []string{onceOnlyRoute + " b-key"})

	b.server.Close()
	_, err = client.Call(t.Context(), onceOnlyCall)
	qt.Assert(t, OutcomeOf(err), qt.Equals, api.OutcomeNotRun)
}

func TestProblemRetries(t *testing.T) {
	for _, test := range []struct {
		name    string
		problem *api.Problem
		retry   time.Duration
		calls   int
	}{
		{"not run, come back", api.NewProblem(api.ReasonOverloaded, 503, api.OutcomeNotRun, ""), time.Second, 1},
		{"not run, for good", api.NewProblem(api.ReasonNotAllowed, 403, api.OutcomeNotRun, ""), 0, 0},
		{"draining", api.NewProblem(api.ReasonDraining, 503, api.OutcomeNotRun, ""), 0, 1},
		{"not answered by the node of its key", api.NewProblem(api.ReasonIncarnationGone, 502, api.OutcomeMayHaveRun, ""), 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, a, b := newFleet(t, Options{MaxTries: 2})
			test.problem.RetryAfter = test.retry
			a.on(onceOnlyRoute, func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, test.problem) })
			b.on(onceOnlyRoute, answerPlain)
			_, err := client.Call(t.Context(), onceOnlyCall)
			qt.Assert(t, b.calls(), qt.HasLen, test.calls)
			if test.calls == 0 {
				var problem *api.Problem
				qt.Assert(t, errors.As(err, &problem), qt.IsTrue)
				qt.Assert(t, problem, qt.DeepEquals, test.problem)
				qt.Assert(t, OutcomeOf(err), qt.Equals, test.problem.Outcome)
			}
		})
	}
}

func TestTimedOutCallIsRetried(t *testing.T) {
	client, a, _ := newFleet(t, Options{FirstByte: 50 * time.Millisecond})
	var asked atomic.Bool
	a.on(onceOnlyRoute, func(w http.ResponseWriter, r *http.Request) {
		if !asked.Swap(true) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		answerPlain(w, r)
	})
	_, err := client.Call(t.Context(), onceOnlyCall)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.calls(), qt.DeepEquals, []string{onceOnlyRoute + " a-key", onceOnlyRoute + " a-key"})
}

func TestExpiredAddressesAreUsedIfLookupFails(t *testing.T) {
	client, a, _ := newFleet(t, Options{})
	a.on("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.Addresses{KeepSeconds: 1, Addresses: []api.Address{{Node: "a", URL: a.server.URL, Weight: 1}}})
	})
	found, err := client.Addresses(t.Context())
	qt.Assert(t, err, qt.IsNil)
	client.addresses.expiresAt = time.Now()
	client.opts.Nodes = nil
	client.addresses.opts.Nodes = nil
	a.server.Close()
	again, err := client.Addresses(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.DeepEquals, found)
}

func TestPickWeightedPrefersNearAndSpareNodes(t *testing.T) {
	addresses := []api.Address{
		{Node: "a", FailureDomain: "x", Weight: 3}, {Node: "b", FailureDomain: "x", Weight: 1},
		{Node: "c", FailureDomain: "y", Weight: 4}, {Node: "d", FailureDomain: "z", Weight: 4},
	}
	counts := make(map[api.NodeID]int)
	const draws = 10_000
	for i := range draws {
		counts[pickWeighted(addresses, float64(i)/draws).Node]++
	}
	qt.Assert(t, counts["a"] > 2*counts["b"], qt.IsTrue)
	qt.Assert(t, counts["b"] > 2*counts["c"], qt.IsTrue)
	qt.Assert(t, counts["c"] > 10*counts["d"], qt.IsTrue)
	qt.Assert(t, counts["d"] > 0, qt.IsTrue)
}

// TestUnsentKeyOfEndedIncarnationIsReplaced checks that a call with an issued key is repeated with a new key if the key was never sent
// before, since nothing can have run under it, but not if the first answer was lost.
func TestUnsentKeyOfEndedIncarnationIsReplaced(t *testing.T) {
	gone := api.NewProblem(api.ReasonIncarnationGone, http.StatusConflict, api.OutcomeMayHaveRun, "")
	for _, test := range []struct {
		name  string
		first http.HandlerFunc
		runs  int
	}{
		{"unused", func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, gone) }, 1},
		{"sent before", abort, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, a, b := newFleet(t, Options{})
			runs := 0
			serve := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(api.HeaderIdempotencyKey) == "new-key" {
					runs++
					answerPlain(w, r)
					return
				}
				writeProblem(w, gone)
			}
			a.on(onceOnlyRoute, func(w http.ResponseWriter, r *http.Request) {
				newKey := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"Keys": ["new-key"]}`) }
				a.on(onceOnlyRoute, serve)
				a.on("POST /v1/keys", newKey)
				b.on("POST /v1/keys", newKey)
				test.first(w, r)
			})
			b.on(onceOnlyRoute, serve)
			_, err := client.Call(t.Context(), onceOnlyCall)
			qt.Assert(t, runs, qt.Equals, test.runs)
			if test.runs == 0 {
				qt.Assert(t, OutcomeOf(err), qt.Equals, api.OutcomeMayHaveRun)
			}
		})
	}
}

func TestDeadlineHeaderIsSent(t *testing.T) {
	client, a, _ := newFleet(t, Options{})
	var header string
	a.on(onceOnlyRoute, func(w http.ResponseWriter, r *http.Request) {
		header = r.Header.Get(api.HeaderDeadline)
		answerPlain(w, r)
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := client.Call(ctx, onceOnlyCall)
	qt.Assert(t, err, qt.IsNil)
	deadline, err := time.ParseDuration(header)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, deadline > 30*time.Second && deadline <= time.Minute, qt.IsTrue)
}
