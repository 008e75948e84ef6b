package suspect

import (
	"maps"
	"slices"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// corroborationNats is the evidence in nats that a second reporter must have before all nodes stop a version.
	corroborationNats = 1.5
	// minOwnFaultFailures is the least number of failures of a reporter's control from which it may have a fault of its own.
	minOwnFaultFailures = 2
)

// Key identifies what a detector watches: a version of a service in one class.
type Key struct {
	Service api.Service
	Version api.VersionID
	Class   api.Class
}

// Reporter identifies whose counts a report holds: one incarnation of a node, or the sum over a failure domain.
type Reporter string

// Report is the state of one reporter's counts. Reports are idempotent; they may be lost, repeated and reordered.
type Report struct {
	Source Reporter
	Key    Key
	// Version and Control hold the counts since the reporter started.
	Version Tally
	Control Tally
}

// PoolOptions configures a Pool.
type PoolOptions struct {
	// Threshold is the evidence in nats at which a version is stopped.
	Threshold float64
	// MaxReporters is the largest number of reporters per key; further ones are ignored.
	MaxReporters int
}

// Finding is the evidence against one key and the counts from which it was computed.
type Finding struct {
	Key      Key
	Evidence Evidence
	// Sources is the number of reporters whose own evidence is at least corroborationNats.
	Sources int
	// Stop is true if the evidence suffices to stop the version on all nodes.
	Stop bool
	// Version and Control are the counts from which the evidence was computed.
	Version Tally
	Control Tally
}

// Pool combines the reports of many reporters, by key. It is not safe for concurrent use.
type Pool struct {
	opts PoolOptions
	keys map[Key]*poolEntry
}

type poolEntry struct {
	// control holds the counts set by SetControl, to which the reporters' own controls are added.
	control   Tally
	detector  Detector
	reporters map[Reporter]*reporterState
}

type reporterState struct {
	version  Tally
	control  Tally
	detector Detector
}

// NewPool returns an empty pool.
func NewPool(opts PoolOptions) *Pool {
	return &Pool{opts: opts, keys: map[Key]*poolEntry{}}
}

// SetControl sets counts of the control that precede the reports, such as those of a version's own history.
func (p *Pool) SetControl(key Key, control Tally) { p.entry(key).control = control }

// Forget removes a key and its reports.
func (p *Pool) Forget(key Key) { delete(p.keys, key) }

// Observe adds a report. Counts that an earlier report of the same reporter already contained are ignored.
func (p *Pool) Observe(r Report) {
	entry := p.entry(r.Key)
	reporter, ok := entry.reporters[r.Source]
	if !ok {
		if len(entry.reporters) >= p.opts.MaxReporters {
			return
		}
		reporter = &reporterState{}
		entry.reporters[r.Source] = reporter
	}
	batch := r.Version.Since(reporter.version)
	controlBatch := r.Control.Since(reporter.control)
	reporter.version.Add(batch)
	reporter.control.Add(controlBatch)
	if batch == (Tally{}) {
		return
	}
	control := entry.controlTally()
	if reporter.hasOwnFault() {
		control = reporter.control
	}
	reporter.detector.Feed(control, batch)
	entry.detector.Feed(control, batch)
}

// hasOwnFault reports whether the reporter's control fails too, so that the fault is probably the reporter's own. Its
// version is then compared only with its own control.
func (r *reporterState) hasOwnFault() bool {
	return r.control.Failed >= minOwnFaultFailures && r.control.FailedShare() >= smallErrorExcess
}

// Find returns the finding for a key; without reports it has no evidence.
func (p *Pool) Find(key Key) Finding {
	entry := p.entry(key)
	found := Finding{Key: key, Evidence: entry.detector.Evidence(), Control: entry.controlTally()}
	for _, reporter := range entry.reporters {
		found.Version.Add(reporter.version)
		if reporter.detector.Evidence().Total >= corroborationNats {
			found.Sources++
		}
	}
	isEnough := found.Evidence.Total >= p.opts.Threshold
	found.Stop = isEnough && (found.Sources >= 2 || len(entry.reporters) == 1)
	return found
}

// Findings returns the findings for all keys, ordered by service, version and class.
func (p *Pool) Findings() []Finding {
	keys := slices.SortedFunc(maps.Keys(p.keys), compareKeys)
	found := make([]Finding, 0, len(keys))
	for _, key := range keys {
		found = append(found, p.Find(key))
	}
	return found
}

func (p *Pool) entry(key Key) *poolEntry {
	entry, ok := p.keys[key]
	if !ok {
		entry = &poolEntry{reporters: map[Reporter]*reporterState{}}
		p.keys[key] = entry
	}
	return entry
}

// controlTally returns the counts of the control, excluding those of reporters with a fault of their own.
func (e *poolEntry) controlTally() Tally {
	control := e.control
	for _, reporter := range e.reporters {
		if !reporter.hasOwnFault() {
			control.Add(reporter.control)
		}
	}
	return control
}
