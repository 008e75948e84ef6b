package enginefake

import (
	"context"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/prefix"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// generation is one run of a request; Engine.mu guards what changes.
type generation struct {
	id      api.RequestID
	request api.ChatRequest
	version Version
	answer  answer
	attempt int
	began   time.Time
	prompt  api.Tokens
	// cached is the part of the prompt that the prefix cache held.
	cached api.Tokens
	cancel context.CancelFunc
	// ready counts the chunks that exist: a chunk a token and the one that ends the answer.
	ready int
	// ended is true once no more chunks will come; the answer is whole if ready is answer.chunks().
	ended bool
	// stalls counts StallStreams; a stream that began before the last one sends nothing more.
	stalls int
	// changed is closed at the next change; nil while nobody waits.
	changed chan struct{}
}

// wake lets every reader look again.
func (g *generation) wake() {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// next returns a channel that is closed at the next change.
func (g *generation) next() <-chan struct{} {
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

// start begins a generation; Engine.mu is held.
func (e *Engine) start(id api.RequestID, request api.ChatRequest, version Version, priority api.Priority) *generation {
	ctx, cancel := context.WithCancel(e.life)
	g := &generation{
		id:      id,
		request: request,
		version: version,
		answer:  e.answerFor(request, version),
		attempt: 1,
		began:   time.Now(),
		prompt:  promptTokens(request.Messages),
		cancel:  cancel,
	}
	if old, ok := e.generations[id]; ok {
		old.cancel()
		g.attempt = old.attempt + 1
	}
	e.generations[id] = g
	place := e.slots.enter(priority)
	e.noteLoad()
	e.work.Go(func() {
		e.generate(ctx, g, place)
		cancel()
	})
	return g
}

// generate produces a generation's chunks.
func (e *Engine) generate(ctx context.Context, g *generation, place *waiter) {
	if place.wait(ctx) && e.prefill(ctx, g) {
		e.decode(ctx, g)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slots.leave(place)
	e.noteLoad()
	g.ended = true
	g.wake()
	e.keep(g)
}

// prefill reads the prompt but for the part that the prefix cache holds.
func (e *Engine) prefill(ctx context.Context, g *generation) bool {
	hashes := prefix.Hashes(g.request.Messages, maxPrefixBlocks)
	e.mu.Lock()
	hit := e.cache.match(hashes)
	e.cache.store(hashes, time.Now())
	g.cached = min(api.Tokens(hit*prefix.BlockBytes/bytesPerToken), g.prompt)
	speed := e.opts.PrefillTokensPerSecond / e.slowness()
	e.mu.Unlock()
	if speed <= 0 {
		return ctx.Err() == nil
	}
	return sleep.For(ctx, secondsOf(float64(g.prompt-g.cached)/speed))
}

// decode produces a chunk a token at the speed of the batch, then the chunk that ends the answer.
func (e *Engine) decode(ctx context.Context, g *generation) {
	due := time.Now()
	for whole := false; !whole; {
		e.mu.Lock()
		interval := e.interval(g.version)
		e.mu.Unlock()
		due = due.Add(interval)
		if !sleep.For(ctx, time.Until(due)) {
			return
		}
		whole = e.produce(ctx, g, interval == 0)
	}
}

// produce adds a chunk, or all of them, and reports whether the answer is whole.
func (e *Engine) produce(ctx context.Context, g *generation, all bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return true
	}
	g.ready++
	if all {
		g.ready = g.answer.chunks()
	}
	g.wake()
	return g.ready >= g.answer.chunks()
}

// interval returns the time between tokens of one generation in the present batch.
func (e *Engine) interval(version Version) time.Duration {
	speed := e.speed()
	if speed <= 0 {
		return 0
	}
	if version.Speed > 0 {
		speed *= version.Speed
	}
	return secondsOf(1 / speed)
}

// speed returns the tokens per second of one generation in the present batch, 0 for no delay.
func (e *Engine) speed() float64 {
	batch := 0.0
	if e.slots.max > 1 {
		batch = float64(max(e.slots.running-1, 0)) / float64(e.slots.max-1)
	}
	return e.opts.TokensPerSecond * (1 - e.opts.BatchSlowdown*batch) / e.slowness()
}

func (e *Engine) slowness() float64 {
	if e.faults.slow <= 0 {
		return 1
	}
	return e.faults.slow
}

func secondsOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// keep keeps a finished generation for a while.
func (e *Engine) keep(g *generation) {
	e.finished = append(e.finished, g.id)
	if len(e.finished) > maxKept {
		delete(e.generations, e.finished[0])
		e.finished = e.finished[1:]
	}
	time.AfterFunc(e.opts.KeepFinished, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.generations[g.id] == g {
			delete(e.generations, g.id)
		}
	})
}

const (
	// bytesPerToken is the length of a token of a prompt.
	bytesPerToken = 4
	// maxPrefixBlocks bounds the blocks of one prompt that are looked up.
	maxPrefixBlocks = 1024
)

func promptTokens(messages []api.ChatMessage) api.Tokens {
	bytes := 0
	for _, m := range messages {
		bytes += len(m.Role) + len(m.Content)
	}
	return api.Tokens((bytes + bytesPerToken - 1) / bytesPerToken)
}

func promptText(messages []api.ChatMessage) string {
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return text.String()
}
