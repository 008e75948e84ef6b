package order_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/lease"
	"github.com/monsoonrail/monsoonrail/internal/order"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var v2 = api.VersionID{Model: "tutor", Version: "v2"}

// handlerTransport serves requests by a handler, without a network; before is called right before each request and may replace it.
type handlerTransport struct {
	handler http.Handler
	before  func(*http.Request) *http.Request
}

func (d *handlerTransport) RoundTrip(req *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			resp, err = nil, http.ErrServerClosed
		}
	}()
	if d.before != nil {
		req = d.before(req)
	}
	if req.Context().Err() != nil {
		return nil, req.Context().Err()
	}
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, req)
	return recorder.Result(), nil
}

// testBed is an engine, and the store of the lease on the duty that sends it orders.
type testBed struct {
	*qt.C
	engine    *enginefake.Engine
	transport *handlerTransport
	target    order.Target
	store     *kvfake.Service
	ctx       context.Context
}

func newTestBed(t *testing.T, checksFencing bool) *testBed {
	engine := enginefake.New(enginefake.Options{
		ID: "s1", ChecksFencing: checksFencing, Unloaded: []api.VersionID{v2},
		Versions: []enginefake.Version{{ID: v2, LoadTime: time.Second}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	b := &testBed{
		C: qt.New(t), engine: engine, transport: &handlerTransport{handler: engine}, store: kvfake.New(), ctx: ctx,
		target: order.Target{Server: fleet.Server{ID: "s1", Address: "10.0.0.1:80"}, ChecksFencing: checksFencing},
	}
	b.Cleanup(func() {
		cancel()
		engine.Close()
		synctest.Wait()
	})
	return b
}

// takeLease lets a node take the lease and renew it until the returned function is called.
func (b *testBed) takeLease(node api.NodeID) (*lease.Lease, func()) {
	l := lease.New(lease.Options{
		Store: b.store.Store(), Service: "tutor-llm", Duty: "rollout", Node: node, Incarnation: api.Incarnation(node),
		Rand: rand.New(rand.NewPCG(1, 1)), Log: &log.Logger{Handler: discard.New()},
	})
	ctx, stop := context.WithCancel(b.ctx)
	b.Cleanup(stop)
	go func() { _ = l.Run(ctx) }()
	for !isHeld(l) {
		time.Sleep(100 * time.Millisecond)
	}
	return l, stop
}

func isHeld(l *lease.Lease) bool {
	_, _, held := l.Held(time.Now())
	return held
}

// delayed returns a hook for handlerTransport that delays a request by a pause in which its sender's timers stop too, and removes its
// deadline, as for a server that ignores deadlines.
func delayed(t *qt.C, pause time.Duration) func(*http.Request) *http.Request {
	return func(req *http.Request) *http.Request {
		time.Sleep(pause)
		var late order.Order
		t.Check(json.NewDecoder(req.Body).Decode(&late), qt.IsNil)
		late.Deadline = time.Time{}
		body, err := json.Marshal(late)
		t.Check(err, qt.IsNil)
		req = req.Clone(context.WithoutCancel(req.Context()))
		req.Body = io.NopCloser(bytes.NewReader(body))
		return req
	}
}

func (b *testBed) sender(l *lease.Lease) *order.Sender {
	return order.New(order.Options{Client: &http.Client{Transport: b.transport}, Lease: l})
}

func load(id string) order.Order { return order.Order{ID: id, Action: order.ActionLoad, Version: v2} }

func (b *testBed) status(s *order.Sender) order.Status {
	state, err := s.State(b.ctx, b.target.Server)
	b.Assert(err, qt.IsNil)
	return state.StatusOf(v2)
}

func TestOrderIsCarriedOutAndReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(t, true)
		l, _ := b.takeLease("n1")
		sender := b.sender(l)
		b.Assert(sender.Send(b.ctx, b.target, load("o1")), qt.IsNil)
		b.Assert(b.status(sender), qt.Equals, order.StatusLoading)
		b.Assert(sender.Send(b.ctx, b.target, load("o1")), qt.IsNil)
		time.Sleep(2 * time.Second)
		b.Assert(b.status(sender), qt.Equals, order.StatusLoaded)
		b.Assert(sender.Send(b.ctx, b.target, order.Order{ID: "o2", Action: order.ActionUnload, Version: v2}), qt.IsNil)
		b.Assert(b.status(sender), qt.Equals, order.Status(""))
	})
}

func TestStateShowsOrderAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(t, true)
		l, _ := b.takeLease("n1")
		sender := b.sender(l)
		b.engine.LoseOrderAnswers(true)
		err := sender.Send(b.ctx, b.target, load("o1"))
		b.Assert(order.IsErrUnknownOutcome(err), qt.IsTrue, qt.Commentf("%v", err))
		b.Assert(b.status(sender), qt.Equals, order.StatusLoading)
	})
}

func TestOrderOfPausedHolderIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(t, true)
		paused, stop := b.takeLease("n1")
		sender := b.sender(paused)
		stop()
		b.store.ExpireLease(1)
		next, _ := b.takeLease("n2")
		b.Assert(b.sender(next).Send(b.ctx, b.target, load("o2")), qt.IsNil)
		b.Assert(isHeld(paused), qt.IsTrue)
		err := sender.Send(b.ctx, b.target, order.Order{ID: "o1", Action: order.ActionUnload, Version: v2})
		b.Assert(order.IsErrFenced(err), qt.IsTrue, qt.Commentf("%v", err))
		b.Assert(b.status(sender), qt.Equals, order.StatusLoading)
	})
}

func TestExpiringLeaseSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(t, true)
		l, stop := b.takeLease("n1")
		sender := b.sender(l)
		stop()
		time.Sleep(lease.DefaultTTL - 2*time.Second)
		err := sender.Send(b.ctx, b.target, load("o1"))
		b.Assert(order.IsErrNotHolder(err), qt.IsTrue, qt.Commentf("%v", err))
		b.Assert(b.engine.Orders(), qt.HasLen, 0)
	})
}

// TestServersWithoutFencing pauses a lease holder between its check of the lease and its order, on a server that accepts any order. The
// late order must arrive before the next lease holder sends its first one, so that the next holder's order takes effect last.
func TestServersWithoutFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(t, false)
		first, stop := b.takeLease("n1")
		b.Assert(order.IsErrTooEarly(b.sender(first).Send(b.ctx, b.target, load("o0"))), qt.IsTrue)
		time.Sleep(order.DefaultLongestPause + 3*time.Second)

		pausedTransport := &handlerTransport{handler: b.engine, before: delayed(b.C, order.DefaultLongestPause)}
		paused := order.New(order.Options{Client: &http.Client{Transport: pausedTransport}, Lease: first})
		stop()
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_ = paused.Send(b.ctx, b.target, order.Order{ID: "late", Action: order.ActionUnload, Version: v2})
		}()
		next, _ := b.takeLease("n2")
		sender := b.sender(next)
		for {
			err := sender.Send(b.ctx, b.target, load("o2"))
			if err == nil {
				break
			}
			b.Assert(order.IsErrTooEarly(err), qt.IsTrue, qt.Commentf("%v", err))
			time.Sleep(time.Second)
		}
		<-sent
		orders := b.engine.Orders()
		b.Assert(orders, qt.HasLen, 2)
		b.Assert(orders[0].ID, qt.Equals, "late")
		b.Assert(orders[0].Done, qt.IsTrue)
		b.Assert(orders[1].ID, qt.Equals, "o2")
		time.Sleep(2 * time.Second)
		b.Assert(b.status(sender), qt.Equals, order.StatusLoaded)
	})
}

func TestRejectedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(t, true)
		l, _ := b.takeLease("n1")
		unknown := order.Order{ID: "o1", Action: order.ActionLoad, Version: api.VersionID{Model: "tutor", Version: "v9"}}
		b.Assert(order.IsErrRejected(b.sender(l).Send(b.ctx, b.target, unknown)), qt.IsTrue)
	})
}
