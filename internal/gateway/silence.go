package gateway

import (
	"context"
	"sync"
	"time"
)

// silenceCheckInterval is the interval at which a request whose server is silent looks for another one.
const silenceCheckInterval = 500 * time.Millisecond

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
	if until = now.Add(silenceCheckInterval); until.After(d.deadline) {
		until = d.deadline
	}
	return until, true
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

// watchHead calls abandon once the head of the current attempt's answer has taken too long and another attempt may follow. end ends the watch; until then
// nothing else may use the dispatcher.
func (d *dispatcher) watchHead(ctx context.Context, abandon func()) (end func()) {
	var mu sync.Mutex
	var timer *time.Timer
	isEnded := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(d.answerTimeout(), func() {
		mu.Lock()
		defer mu.Unlock()
		if isEnded || !time.Now().Before(d.deadline) {
			// The deadline ends the attempt by itself.
			return
		}
		if until, goesOn := d.awaitLonger(ctx); goesOn {
			timer.Reset(time.Until(until))
			return
		}
		abandon()
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		isEnded = true
		timer.Stop()
	}
}
