package play

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/internal/oracle"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/client"
)

const (
	// maxPoisonRuns is how many servers one request may crash in the whole fleet.
	maxPoisonRuns = 2
	// poisonPause is the time between two tries of the caller of a request that crashes servers.
	poisonPause = 500 * time.Millisecond
	// revive is how often crashed servers are looked for and started again.
	revive = 3 * time.Second
)

// poisonCaller counts the requests that crash servers.
type poisonCaller struct {
	mu    sync.Mutex
	calls int
}

// broken describes every request that crashed more servers than one may.
func (c *poisonCaller) broken(runs []oracle.Run) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes := make(map[string]int)
	for _, run := range runs {
		if run.Began {
			crashes[run.Call]++
		}
	}
	var broken []string
	for i := range c.calls {
		if n := crashes[poisonCall(i)]; n > maxPoisonRuns {
			broken = append(broken, fmt.Sprintf("Crashes: %d by one request, at most %d", n, maxPoisonRuns))
		}
	}
	return broken
}

func poisonCall(i int) string { return fmt.Sprintf("poison%d", i) }

// sendPoison sends a request that crashes servers again and again, as a caller that gets no answer does,
// and restarts what crashed.
func (p *player) sendPoison(ctx context.Context, _ trace.Fault) fault {
	p.poison.mu.Lock()
	call := poisonCall(p.poison.calls)
	p.poison.calls++
	p.poison.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	var open sync.WaitGroup
	open.Go(func() { p.keepCalling(ctx, call) })
	open.Go(func() { p.keepReviving(ctx) })
	return fault{text: "a request that crashes servers", end: func() {
		cancel()
		open.Wait()
	}}
}

func (p *player) keepCalling(ctx context.Context, name string) {
	first := p.opts.Trace.Entries[0]
	prompt := script.Prompt{Call: name, Crash: true}
	call := client.ChatCall{
		Request: api.ChatRequest{
			Model:    api.ModelAuto,
			Messages: []api.ChatMessage{{Role: "user", Content: prompt.String()}},
		},
	}
	for {
		// Every answer is as good as none here: the caller tries again.
		_, _ = p.clients[first.Team].Chat(ctx, call)
		if !sleep.For(ctx, poisonPause) {
			return
		}
	}
}

func (p *player) keepReviving(ctx context.Context) {
	for sleep.For(ctx, revive) {
		for _, engine := range p.system.Engines() {
			engine.Restart()
		}
	}
	for _, engine := range p.system.Engines() {
		engine.Restart()
	}
}
