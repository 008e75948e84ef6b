package enginefake

import "github.com/monsoonrail/monsoonrail/pkg/api"

// faults holds the injected faults; Engine.mu guards it. Shares and losses are from 0 to 1.
type faults struct {
	leaving      bool
	slowdown     float64
	mixStreams   float64
	swapAnswers  float64
	failRequests float64
	// qualityLoss is the loss of quality for each version.
	qualityLoss map[api.VersionID]float64
	failLoads   bool
	loseOrders  bool
	cutStreams  float64
}

// set changes the injected faults.
func (e *Engine) set(change func(f *faults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.faults)
	e.recordLoad()
}

// SetLeaving makes the engine reject new requests and finish the running ones, or ends that.
func (e *Engine) SetLeaving(leaving bool) { e.set(func(f *faults) { f.leaving = leaving }) }

// SetSlowdown divides the engine's speeds by a factor; 0 and 1 end the fault.
func (e *Engine) SetSlowdown(factor float64) { e.set(func(f *faults) { f.slowdown = factor }) }

// MixStreams sends, with the probability share before each write of a stream, a chunk of another request.
func (e *Engine) MixStreams(share float64) { e.set(func(f *faults) { f.mixStreams = share }) }

// SwapAnswers sends to a random share of the streams the complete answer of an earlier request instead of their own, as a
// connection can that is reused after its last request was abandoned; the requested generation continues.
func (e *Engine) SwapAnswers(share float64) { e.set(func(f *faults) { f.swapAnswers = share }) }

// FailRequests answers a random share of the requests with status 500 after they have run.
func (e *Engine) FailRequests(share float64) { e.set(func(f *faults) { f.failRequests = share }) }

// DegradeAnswers lowers the quality of every answer of a version by loss, from 0 to 1; 0 ends the fault.
func (e *Engine) DegradeAnswers(version api.VersionID, loss float64) {
	e.set(func(f *faults) {
		if f.qualityLoss == nil {
			f.qualityLoss = make(map[api.VersionID]float64)
		}
		f.qualityLoss[version] = loss
	})
}

// FailLoads makes every load of a version end with the status Failed.
func (e *Engine) FailLoads(on bool) { e.set(func(f *faults) { f.failLoads = on }) }

// LoseOrderAnswers breaks the connection of each order after it has taken effect, in place of a response.
func (e *Engine) LoseOrderAnswers(on bool) { e.set(func(f *faults) { f.loseOrders = on }) }

// CutStreams breaks the connection of a stream with the probability share before each write; the generation continues.
func (e *Engine) CutStreams(share float64) { e.set(func(f *faults) { f.cutStreams = share }) }

// StallStreams stalls every open stream without closing it; the generations continue, and streams opened later work.
func (e *Engine) StallStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.generations {
		g.stalls++
		g.notifyChange()
	}
}

// chance returns true with the given probability.
func (e *Engine) chance(share float64) bool {
	return share > 0 && e.rng.Float64() < share
}
