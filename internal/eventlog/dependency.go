package eventlog

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// Dependency logs when something that a process depends on is lost and when it is back, once each; the failures between are
// counted.
type Dependency struct {
	// Name is that of the dependency in the log.
	Name string
	Log  log.Interface

	mu sync.Mutex
	// lostAt is the time of the first failure since the last success; zero while the dependency answers.
	lostAt time.Time
	// failures counts the calls that failed since lostAt.
	failures int
}

// Record takes in the outcome of a call; nil means that the dependency answered.
func (d *Dependency) Record(err error) {
	d.mu.Lock()
	lost, failures := d.lostAt, d.failures
	switch {
	case err == nil:
		d.lostAt, d.failures = time.Time{}, 0
	case lost.IsZero():
		d.lostAt, d.failures = time.Now(), 1
	default:
		d.failures++
	}
	d.mu.Unlock()

	switch {
	case err == nil && !lost.IsZero():
		d.Log.WithFields(log.Fields{
			"dependency": d.Name, "out_for": time.Since(lost).Round(time.Millisecond).String(), "failures": failures,
		}).Info("dependency back")
	case err != nil && lost.IsZero():
		d.Log.WithField("dependency", d.Name).WithError(err).Warn("dependency lost")
	}
}
