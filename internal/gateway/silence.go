package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/backend"
)

// silenceCheckInterval is the interval at which a request whose server is silent looks for another one.
const silenceCheckInterval = 500 * time.Millisecond

// onlyServerFactor times the usual silence is how long a begun stream stays with its silent server if no other one takes it.
const onlyServerFactor = 2

// awaitLonger reports whether the request stays with its server, which has been silent for unusually long, and until when: it does while no further
// attempt may follow, since a silent server may still answer.
func (d *dispatcher) awaitLonger(ctx context.Context) (until time.Time, goesOn bool) {
	now := time.Now()
	if !now.Before(d.deadline) {
		return time.Time{}, false
	}
	obstacle := d.reserveAttempt(ctx)
	if obstacle == "" {
		d.hasGivenUpServer = true
		return time.Time{}, false
	}
	d.logWait("silent server kept", obstacle)
	return earliest(now.Add(silenceCheckInterval), d.deadline), true
}

// earliest returns the first of some times.
func earliest(times ...time.Time) time.Time { return slices.MinFunc(times, time.Time.Compare) }

// awaitEvents is awaitLonger for a begun stream. If only its silent server takes the request, it stays there for twice the usual time: a new connection loses the place
// at the server, which may be taken by then.
func (d *dispatcher) awaitEvents(ctx context.Context, server *backend.TrackedServer, progressAt time.Time) (until time.Time, goesOn bool) {
	now, end := time.Now(), progressAt.Add(onlyServerFactor*d.silence())
	isPathSilent := now.Sub(progressAt) < d.silence()
	if isPathSilent || !now.Before(end) || !now.Before(d.deadline) || d.hasServerBesides(server.ID) {
		return d.awaitLonger(ctx)
	}
	d.logWait("silent server kept", reasonNoOtherServer)
	return earliest(now.Add(silenceCheckInterval), end, d.deadline), true
}

// reserveAttempt reserves a further attempt, which follows on the current one, or returns the reason why there may be none.
func (d *dispatcher) reserveAttempt(ctx context.Context) (obstacle string) {
	switch {
	case d.isReserved:
		return ""
	case d.isLastAttempt():
		return reasonAttempts
	case !d.hasServer():
		return reasonNoServer
	}
	if refused := d.checkAttempt(ctx, true); refused != nil {
		return refused.reason
	}
	d.isReserved = true
	return ""
}

// logWait logs that the request waits, once for each attempt.
func (d *dispatcher) logWait(message, reason string) {
	if d.loggedWait == d.attempts {
		return
	}
	d.loggedWait = d.attempts
	d.logEvent(message, reason)
}

// returnReservation gives back the reservation of an attempt that wasn't made.
func (d *dispatcher) returnReservation() {
	if d.isReserved {
		d.isReserved = false
		d.g.opts.RetryBudget.ReturnRetry(d.service.Name, d.retryCountedAt, time.Now())
	}
}

// headWatch waits for the head of an attempt's answer.
type headWatch struct {
	mu    sync.Mutex
	timer *time.Timer
	// d, ctx and abandon are nil once the watch has ended: the runtime keeps a stopped timer for a while, which must not keep the request's body.
	d       *dispatcher
	ctx     context.Context
	abandon func()
}

// watchHead calls abandon once the head of the current attempt's answer has taken too long and another attempt may follow. Nothing else may use the dispatcher
// until the watch has ended.
func (d *dispatcher) watchHead(ctx context.Context, abandon func()) *headWatch {
	w := &headWatch{d: d, ctx: ctx, abandon: abandon}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(d.answerTimeout(), w.check)
	return w
}

// check decides on a head that has taken too long.
func (w *headWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.d == nil || !time.Now().Before(w.d.deadline) {
		// The deadline ends the attempt by itself.
		return
	}
	if until, goesOn := w.d.awaitLonger(w.ctx); goesOn {
		w.timer.Reset(time.Until(until))
		return
	}
	w.abandon()
}

// mayAbandon reports whether the attempt ends because the path to its server is silent.
func (w *headWatch) mayAbandon() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.d == nil {
		return false
	}
	_, goesOn := w.d.awaitLonger(w.ctx)
	return !goesOn
}

func (w *headWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.d, w.ctx, w.abandon = nil, nil, nil
}
