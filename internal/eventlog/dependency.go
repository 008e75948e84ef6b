package eventlog

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// Dependency logs the loss and the recovery of a service that the process depends on, one line each. Failures in between are counted
// instead of logged.
type Dependency struct {
	// Name is the dependency's name in the log.
	Name string
	Log  log.Interface

	mu sync.Mutex
	// lostAt is the time of the first failure since the last success; zero while the dependency is reachable.
	lostAt time.Time
	// failures counts the calls that failed since lostAt.
	failures int
}

// Record records the outcome of a call to the dependency; a nil error means success.
func (d *Dependency) Record(err error) {
	d.mu.Lock()
	lostAt, failures := d.lostAt, d.failures
	switch {
	case err == nil:
		d.lostAt, d.failures = time.Time{}, 0
	case lostAt.IsZero():
		d.lostAt, d.failures = time.Now(), 1
	default:
		d.failures++
	}
	d.mu.Unlock()

	switch {
	case err == nil && !lostAt.IsZero():
		d.Log.WithFields(log.Fields{
			"dependency": d.Name, "out_for": time.Since(lostAt).Round(time.Millisecond).String(), "failures": failures,
		}).Info("dependency back")
	case err != nil && lostAt.IsZero():
		d.Log.WithField("dependency", d.Name).WithError(err).Warn("dependency lost")
	}
}
