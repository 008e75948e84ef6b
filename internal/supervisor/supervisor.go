// Package supervisor runs a node's duties: one goroutine each, restarted with backoff when they fail.
package supervisor

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// firstBackoff is the wait before the first restart of a failed duty.
	firstBackoff = 100 * time.Millisecond
	// maxBackoff bounds the wait between restarts.
	maxBackoff = 10 * time.Second
	// calmPeriod is how long a duty must run before its failures are forgotten.
	calmPeriod = 30 * time.Second
	// maxFailures is how many failures in a row take the node out of service.
	maxFailures = 8
)

// Error is the class of every error of the package.
var Error = errs.Class("supervisor")

// ErrDutyPanicked wraps the value of a panic in a duty.
type ErrDutyPanicked struct {
	Duty  string
	Value any
}

// Error implements error.
func (e *ErrDutyPanicked) Error() string { return fmt.Sprintf("duty %s panicked: %v", e.Duty, e.Value) }

// Duty is a long-running function with one job.
type Duty struct {
	Name string
	// Run returns when ctx ends; any earlier return counts as a failure.
	Run func(ctx context.Context) error
}

// Supervisor runs duties until its context ends.
type Supervisor struct {
	log    log.Interface
	duties []Duty
	// failing counts duties over maxFailures; above 0 the node is out of service.
	failing atomic.Int32
}

// New returns a tree without duties.
func New(logger log.Interface) *Supervisor { return &Supervisor{log: logger} }

// Add appends a duty; it must not be called once Run has begun.
func (t *Supervisor) Add(duty Duty) { t.duties = append(t.duties, duty) }

// Len counts the duties.
func (t *Supervisor) Len() int { return len(t.duties) }

// IsHealthy reports whether no duty keeps failing.
func (t *Supervisor) IsHealthy() bool { return t.failing.Load() == 0 }

// Run runs every duty and returns once ctx has ended and all of them have returned.
func (t *Supervisor) Run(ctx context.Context) error {
	var group run.Group
	root, cancelRoot := context.WithCancel(ctx)
	group.Add(func() error {
		<-root.Done()
		return root.Err()
	}, func(error) { cancelRoot() })
	for _, duty := range t.duties {
		dutyCtx, cancel := context.WithCancel(root)
		group.Add(func() error { return t.keepRunning(dutyCtx, duty) }, func(error) { cancel() })
	}
	err := group.Run()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return Error.Wrap(err)
}

// keepRunning restarts a duty until ctx ends.
func (t *Supervisor) keepRunning(ctx context.Context, duty Duty) error {
	backoff := firstBackoff
	failures := 0
	for {
		began := time.Now()
		err := runOnce(ctx, duty)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Since(began) >= calmPeriod {
			failures = t.forgive(failures)
			backoff = firstBackoff
		}
		failures++
		if failures == maxFailures {
			t.failing.Add(1)
		}
		t.log.WithFields(log.Fields{"duty": duty.Name, "failures": failures}).WithError(err).Error("duty failed")
		if !sleep.For(ctx, backoff) {
			return ctx.Err()
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (t *Supervisor) forgive(failures int) int {
	if failures >= maxFailures {
		t.failing.Add(-1)
	}
	return 0
}

func runOnce(ctx context.Context, duty Duty) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &ErrDutyPanicked{Duty: duty.Name, Value: value}
		}
	}()
	return duty.Run(ctx)
}
