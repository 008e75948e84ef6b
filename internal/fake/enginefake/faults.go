package enginefake

import "github.com/monsoonrail/monsoonrail/pkg/api"

// faults are the switches that are on; Engine.mu guards them.
type faults struct {
	leaving bool
	slow    float64
	crossed float64
	swapped float64
	errors  float64
	// spoilt holds the loss of quality of versions.
	spoilt     map[api.VersionID]float64
	failLoads  bool
	loseOrders bool
	cutStreams float64
}

// set changes the switches.
func (e *Engine) set(change func(f *faults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.faults)
	e.noteLoad()
}

// SetLeaving makes the engine refuse new work and finish what it runs, or takes that back.
func (e *Engine) SetLeaving(leaving bool) { e.set(func(f *faults) { f.leaving = leaving }) }

// SetSlowdown divides the engine's speed by a factor; 0 and 1 end the fault.
func (e *Engine) SetSlowdown(factor float64) { e.set(func(f *faults) { f.slow = factor }) }

// MixStreams puts chunks of other requests into a part of the places between chunks.
func (e *Engine) MixStreams(share float64) { e.set(func(f *faults) { f.crossed = share }) }

// SwapAnswers sends a part of the streams the whole answer of an earlier request in place of their own, as a connection does
// that is used again after its last request was given up; the generation asked for goes on.
func (e *Engine) SwapAnswers(share float64) { e.set(func(f *faults) { f.swapped = share }) }

// FailRequests answers a part of the requests with status 500 after they have run.
func (e *Engine) FailRequests(share float64) { e.set(func(f *faults) { f.errors = share }) }

// DegradeAnswers takes a part off the quality of every answer of a version, from 0 to 1; 0 ends the fault.
func (e *Engine) DegradeAnswers(version api.VersionID, loss float64) {
	e.set(func(f *faults) {
		if f.spoilt == nil {
			f.spoilt = make(map[api.VersionID]float64)
		}
		f.spoilt[version] = loss
	})
}

// FailLoads makes every order to load a version end in the status Failed.
func (e *Engine) FailLoads(on bool) { e.set(func(f *faults) { f.failLoads = on }) }

// LoseOrderAnswers cuts the connection after an order has taken effect.
func (e *Engine) LoseOrderAnswers(on bool) { e.set(func(f *faults) { f.loseOrders = on }) }

// CutStreams breaks the connection of a stream before a part of the chunks; the generation goes on.
func (e *Engine) CutStreams(share float64) { e.set(func(f *faults) { f.cutStreams = share }) }

// StallStreams stops every open stream without closing it; the generations go on and streams opened later work.
func (e *Engine) StallStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.generations {
		g.stalls++
		g.wake()
	}
}

// roll reports true with a probability.
func (e *Engine) roll(share float64) bool {
	return share > 0 && e.rng.Float64() < share
}
