package suspect

import (
	"maps"
	"slices"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// corroborationNats is the evidence that a second source must have before all nodes stop a version.
	corroborationNats = 1.5
	// ownFaultFailures is how many failures of the control show a source's own fault.
	ownFaultFailures = 2
)

// Key names what a detector watches.
type Key struct {
	Service api.Service
	Version api.VersionID
	Class   api.Class
}

// Reporter names whose counts a report holds: one incarnation of a node, or the sum over a failure domain.
type Reporter string

// Report is the state of one source's counts; reports are idempotent and may be lost, repeated and reordered.
type Report struct {
	Source Reporter
	Key    Key
	// Version and Control hold all the counts since the source's start.
	Version Tally
	Control Tally
}

// PoolOptions bounds a pool.
type PoolOptions struct {
	// Threshold is the evidence in nats that stops a version.
	Threshold float64
	// MaxReporters bounds the sources kept for a key; further ones are ignored.
	MaxReporters int
}

// Finding is what a pool knows of one key.
type Finding struct {
	Key      Key
	Evidence Evidence
	// Sources counts sources with evidence of their own, from corroborationNats on.
	Sources int
	// Stop tells that the evidence suffices to stop the version everywhere.
	Stop bool
	// Version and Control are the counts that the finding rests on.
	Version Tally
	Control Tally
}

// Pool weighs the reports of many sources together. It is not safe for concurrent use.
type Pool struct {
	opts PoolOptions
	keys map[Key]*pooled
}

type pooled struct {
	// control is what a roll-out compares with, besides the sources' own controls.
	control  Tally
	detector Detector
	sources  map[Reporter]*source
}

type source struct {
	version  Tally
	control  Tally
	detector Detector
}

// NewPool returns an empty pool.
func NewPool(opts PoolOptions) *Pool {
	return &Pool{opts: opts, keys: map[Key]*pooled{}}
}

// SetControl sets counts of the control from before the sources' reports, such as a version's own history.
func (p *Pool) SetControl(key Key, control Tally) { p.entry(key).control = control }

// Forget drops all that is known of a key.
func (p *Pool) Forget(key Key) { delete(p.keys, key) }

// Observe takes in a report.
func (p *Pool) Observe(r Report) {
	entry := p.entry(r.Key)
	src, ok := entry.sources[r.Source]
	if !ok {
		if len(entry.sources) >= p.opts.MaxReporters {
			return
		}
		src = &source{}
		entry.sources[r.Source] = src
	}
	batch := r.Version.Since(src.version)
	own := r.Control.Since(src.control)
	src.version.Add(batch)
	src.control.Add(own)
	if batch == (Tally{}) {
		return
	}
	control := entry.controlTally()
	if src.isFaultyItself() {
		control = src.control
	}
	src.detector.Feed(control, batch)
	entry.detector.Feed(control, batch)
}

// isFaultyItself reports whether the source's control fails too, so that the fault is the source's own: its version is
// then compared with its own control alone.
func (s *source) isFaultyItself() bool {
	return s.control.Failed >= ownFaultFailures && s.control.FailedShare() >= smallErrors
}

// Find returns what is known of a key.
func (p *Pool) Find(key Key) Finding {
	entry := p.entry(key)
	found := Finding{Key: key, Evidence: entry.detector.Evidence(), Control: entry.controlTally()}
	for _, src := range entry.sources {
		found.Version.Add(src.version)
		if src.detector.Evidence().Total >= corroborationNats {
			found.Sources++
		}
	}
	enough := found.Evidence.Total >= p.opts.Threshold
	found.Stop = enough && (found.Sources >= 2 || len(entry.sources) == 1)
	return found
}

// Findings returns what is known of all keys, in a fixed order.
func (p *Pool) Findings() []Finding {
	keys := slices.SortedFunc(maps.Keys(p.keys), compareKeys)
	found := make([]Finding, 0, len(keys))
	for _, key := range keys {
		found = append(found, p.Find(key))
	}
	return found
}

func (p *Pool) entry(key Key) *pooled {
	entry, ok := p.keys[key]
	if !ok {
		entry = &pooled{sources: map[Reporter]*source{}}
		p.keys[key] = entry
	}
	return entry
}

// controlTally returns the counts of the control before the sources with a fault of their own.
func (e *pooled) controlTally() Tally {
	control := e.control
	for _, src := range e.sources {
		if !src.isFaultyItself() {
			control.Add(src.control)
		}
	}
	return control
}
