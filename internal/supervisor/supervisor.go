// Package supervisor runs a node's duties, its long-running functions, on one goroutine each and restarts failed ones with backoff.
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
	// initialBackoff is the delay before the first restart of a failed duty.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff is the maximum delay between restarts.
	maxBackoff = 10 * time.Second
	// stablePeriod is how long a duty must run for its failure count and backoff to be reset.
	stablePeriod = 30 * time.Second
	// maxFailures is the number of consecutive failures of a duty that makes the node unhealthy.
	maxFailures = 8
)

// Error is the class of every error of the package.
var Error = errs.Class("supervisor")

// ErrDutyPanicked holds the value of a panic in a duty.
type ErrDutyPanicked struct {
	Duty  string
	Value any
}

// Error implements error.
func (e *ErrDutyPanicked) Error() string { return fmt.Sprintf("duty %s panicked: %v", e.Duty, e.Value) }

// Duty is a long-running function that the supervisor restarts when it returns or panics.
type Duty struct {
	Name string
	// Run runs until ctx ends; an earlier return counts as a failure, also with a nil error.
	Run func(ctx context.Context) error
}

// Supervisor runs duties until its context ends.
type Supervisor struct {
	log    log.Interface
	duties []Duty
	// failing is the number of duties with at least maxFailures consecutive failures; above 0 the node is unhealthy.
	failing atomic.Int32
}

// New returns a supervisor without duties.
func New(logger log.Interface) *Supervisor { return &Supervisor{log: logger} }

// Add appends a duty; it must not be called once Run has started.
func (s *Supervisor) Add(duty Duty) { s.duties = append(s.duties, duty) }

// Len returns the number of duties.
func (s *Supervisor) Len() int { return len(s.duties) }

// IsHealthy reports whether every duty has fewer than maxFailures consecutive failures.
func (s *Supervisor) IsHealthy() bool { return s.failing.Load() == 0 }

// Run runs every duty and returns once ctx has ended and all of them have returned.
func (s *Supervisor) Run(ctx context.Context) error {
	var group run.Group
	root, cancelRoot := context.WithCancel(ctx)
	group.Add(func() error {
		<-root.Done()
		return root.Err()
	}, func(error) { cancelRoot() })
	for _, duty := range s.duties {
		dutyCtx, cancel := context.WithCancel(root)
		group.Add(func() error { return s.keepRunning(dutyCtx, duty) }, func(error) { cancel() })
	}
	err := group.Run()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return Error.Wrap(err)
}

// keepRunning runs a duty, and runs it again after each failure with exponential backoff, until ctx ends.
func (s *Supervisor) keepRunning(ctx context.Context, duty Duty) error {
	backoff := initialBackoff
	failures := 0
	for {
		began := time.Now()
		err := runOnce(ctx, duty)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Since(began) >= stablePeriod {
			failures = s.resetFailures(failures)
			backoff = initialBackoff
		}
		failures++
		if failures == maxFailures {
			s.failing.Add(1)
		}
		s.log.WithFields(log.Fields{"duty": duty.Name, "failures": failures}).WithError(err).Error("duty failed")
		if !sleep.For(ctx, backoff) {
			return ctx.Err()
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (s *Supervisor) resetFailures(failures int) int {
	if failures >= maxFailures {
		s.failing.Add(-1)
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
