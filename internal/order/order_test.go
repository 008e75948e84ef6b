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

// direct serves calls by a handler, without a network; before is called right before each and may replace it.
type direct struct {
	handler http.Handler
	before  func(*http.Request) *http.Request
}

func (d *direct) RoundTrip(req *http.Request) (resp *http.Response, err error) {
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

// bed is an engine and a lease on the duty that gives it orders.
type bed struct {
	*qt.C
	engine *enginefake.Engine
	wire   *direct
	target order.Target
	store  *kvfake.Service
	ctx    context.Context
}

func newBed(t *testing.T, checksFencing bool) *bed {
	engine := enginefake.New(enginefake.Options{
		ID: "s1", ChecksFencing: checksFencing, Unloaded: []api.VersionID{v2},
		Versions: []enginefake.Version{{ID: v2, LoadTime: time.Second}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	b := &bed{
		C: qt.New(t), engine: engine, wire: &direct{handler: engine}, store: kvfake.New(), ctx: ctx,
		target: order.Target{Server: fleet.Server{ID: "s1", Address: "10.0.0.1:80"}, ChecksFencing: checksFencing},
	}
	b.Cleanup(func() {
		cancel()
		engine.Close()
		synctest.Wait()
	})
	return b
}

// hold lets a node take the duty, and stop keeping it once the returned function is called.
func (b *bed) hold(node api.NodeID) (*lease.Lease, func()) {
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

// delayed lets a call out after a pause that stops its sender's timers too, to a server that takes no notice of deadlines.
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

func (b *bed) giver(l *lease.Lease) *order.Sender {
	return order.New(order.Options{Client: &http.Client{Transport: b.wire}, Lease: l})
}

func load(id string) order.Order { return order.Order{ID: id, Action: order.ActionLoad, Version: v2} }

func (b *bed) status(g *order.Sender) order.Status {
	state, err := g.State(b.ctx, b.target.Server)
	b.Assert(err, qt.IsNil)
	return state.StatusOf(v2)
}

func TestOrderIsCarriedOutAndReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, true)
		l, _ := b.hold("n1")
		giver := b.giver(l)
		b.Assert(giver.Send(b.ctx, b.target, load("o1")), qt.IsNil)
		b.Assert(b.status(giver), qt.Equals, order.StatusLoading)
		b.Assert(giver.Send(b.ctx, b.target, load("o1")), qt.IsNil)
		time.Sleep(2 * time.Second)
		b.Assert(b.status(giver), qt.Equals, order.StatusLoaded)
		b.Assert(giver.Send(b.ctx, b.target, order.Order{ID: "o2", Action: order.ActionUnload, Version: v2}), qt.IsNil)
		b.Assert(b.status(giver), qt.Equals, order.Status(""))
	})
}

func TestLostAnswerIsToldByTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, true)
		l, _ := b.hold("n1")
		giver := b.giver(l)
		b.engine.LoseOrderAnswers(true)
		err := giver.Send(b.ctx, b.target, load("o1"))
		b.Assert(order.IsErrUnknownOutcome(err), qt.IsTrue, qt.Commentf("%v", err))
		b.Assert(b.status(giver), qt.Equals, order.StatusLoading)
	})
}

func TestHolderPausedBeforeItsOrderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, true)
		paused, stop := b.hold("n1")
		giver := b.giver(paused)
		stop()
		b.store.ExpireLease(1)
		next, _ := b.hold("n2")
		b.Assert(b.giver(next).Send(b.ctx, b.target, load("o2")), qt.IsNil)
		b.Assert(isHeld(paused), qt.IsTrue)
		err := giver.Send(b.ctx, b.target, order.Order{ID: "o1", Action: order.ActionUnload, Version: v2})
		b.Assert(order.IsErrFenced(err), qt.IsTrue, qt.Commentf("%v", err))
		b.Assert(b.status(giver), qt.Equals, order.StatusLoading)
	})
}

func TestLapsedLeaseSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, true)
		l, stop := b.hold("n1")
		giver := b.giver(l)
		stop()
		time.Sleep(lease.DefaultTTL - 2*time.Second)
		err := giver.Send(b.ctx, b.target, load("o1"))
		b.Assert(order.IsErrNotHolder(err), qt.IsTrue, qt.Commentf("%v", err))
		b.Assert(b.engine.Orders(), qt.HasLen, 0)
	})
}

// TestServersWithoutFencing pauses a holder between its check and its order, on a server that takes any order: the order
// arrives before the next holder gives its first one, which therefore is the last word.
func TestServersWithoutFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, false)
		first, stop := b.hold("n1")
		b.Assert(order.IsErrTooEarly(b.giver(first).Send(b.ctx, b.target, load("o0"))), qt.IsTrue)
		time.Sleep(order.DefaultLongestPause + 3*time.Second)

		pausedWire := &direct{handler: b.engine, before: delayed(b.C, order.DefaultLongestPause)}
		paused := order.New(order.Options{Client: &http.Client{Transport: pausedWire}, Lease: first})
		stop()
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_ = paused.Send(b.ctx, b.target, order.Order{ID: "late", Action: order.ActionUnload, Version: v2})
		}()
		next, _ := b.hold("n2")
		giver := b.giver(next)
		for {
			err := giver.Send(b.ctx, b.target, load("o2"))
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
		b.Assert(b.status(giver), qt.Equals, order.StatusLoaded)
	})
}

func TestRefusedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, true)
		l, _ := b.hold("n1")
		unknown := order.Order{ID: "o1", Action: order.ActionLoad, Version: api.VersionID{Model: "tutor", Version: "v9"}}
		b.Assert(order.IsErrRejected(b.giver(l).Send(b.ctx, b.target, unknown)), qt.IsTrue)
	})
}
