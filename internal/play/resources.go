package play

import (
	"runtime"
	"sync"

	"github.com/monsoonrail/monsoonrail/internal/report"
)

// resourceSamples is how often a run's use of resources is looked at.
const resourceSamples = 10

// resources gathers what the process uses as calls end.
type resources struct {
	mu      sync.Mutex
	calls   int
	samples []report.Resources
}

// noteDone counts a call that ended, and looks at the process at even steps.
func (p *player) noteDone() {
	if p.opts.OnDone != nil {
		p.opts.OnDone()
	}
	p.used.mu.Lock()
	defer p.used.mu.Unlock()
	p.used.calls++
	step := max(len(p.opts.Trace.Entries)/resourceSamples, 1)
	if p.used.calls%step == 0 {
		p.used.samples = append(p.used.samples, useOfProcess(p.used.calls))
	}
}

func useOfProcess(calls int) report.Resources {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return report.Resources{Calls: calls, HeapBytes: stats.HeapAlloc, Goroutines: runtime.NumGoroutine()}
}
