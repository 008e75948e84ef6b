package enginefake

import (
	"context"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/prefix"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// generation is one run of a request; Engine.mu guards the mutable fields.
type generation struct {
	id      api.RequestID
	request api.ChatRequest
	version Version
	answer  answer
	attempt int
	began   time.Time
	prompt  api.Tokens
	// cached is the number of tokens of the prompt that the prefix cache held.
	cached api.Tokens
	cancel context.CancelFunc
	// ready is the number of chunks produced so far: one for each token, then the final one.
	ready int
	// ended is true once no more chunks are produced; the answer is complete if ready is answer.chunks().
	ended bool
	// stalls counts the calls of StallStreams; a stream that began before the last call sends nothing more.
	stalls int
	// changed is closed at the next change; nil while no reader waits.
	changed chan struct{}
}

// notifyChange wakes every waiting reader.
func (g *generation) notifyChange() {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// changeNotification returns a channel that the next notifyChange closes.
func (g *generation) changeNotification() <-chan struct{} {
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

// start starts a generation and cancels an earlier one with the same id; Engine.mu is held.
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
	slot := e.slots.acquire(priority)
	e.recordLoad()
	e.work.Go(func() {
		e.generate(ctx, g, slot)
		cancel()
	})
	return g
}

// generate waits for a slot and produces the chunks of a generation.
func (e *Engine) generate(ctx context.Context, g *generation, slot *waiter) {
	if slot.wait(ctx) && e.prefill(ctx, g) {
		e.decode(ctx, g)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slots.release(slot)
	e.recordLoad()
	g.ended = true
	g.notifyChange()
	e.retain(g)
}

// prefill takes the time to process the part of the prompt that the prefix cache doesn't hold. It returns false if ctx ended.
func (e *Engine) prefill(ctx context.Context, g *generation) bool {
	hashes := prefix.Hashes(g.request.Messages, maxPrefixBlocks)
	e.mu.Lock()
	hit := e.cache.match(hashes)
	e.cache.store(hashes, time.Now())
	g.cached = min(api.Tokens(hit*prefix.BlockBytes/bytesPerToken), g.prompt)
	speed := e.opts.PrefillTokensPerSecond / e.slowdown()
	e.mu.Unlock()
	if speed <= 0 {
		return ctx.Err() == nil
	}
	return sleep.For(ctx, secondsOf(float64(g.prompt-g.cached)/speed))
}

// decode produces a chunk for each token at the speed of the current batch, then the final chunk.
func (e *Engine) decode(ctx context.Context, g *generation) {
	due := time.Now()
	for complete := false; !complete; {
		e.mu.Lock()
		interval := e.interval(g.version)
		e.mu.Unlock()
		due = due.Add(interval)
		if !sleep.For(ctx, time.Until(due)) {
			return
		}
		complete = e.produce(ctx, g, interval == 0)
	}
}

// produce adds a chunk, or all of them, and reports whether the answer is complete or ctx ended.
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
	g.notifyChange()
	return g.ready >= g.answer.chunks()
}

// interval returns the time between tokens of one generation in the current batch.
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

// speed returns the tokens per second of one generation in the current batch, 0 for no delay.
func (e *Engine) speed() float64 {
	batch := 0.0
	if e.slots.max > 1 {
		batch = float64(max(e.slots.running-1, 0)) / float64(e.slots.max-1)
	}
	return e.opts.TokensPerSecond * (1 - e.opts.BatchSlowdown*batch) / e.slowdown()
}

func (e *Engine) slowdown() float64 {
	if e.faults.slowdown <= 0 {
		return 1
	}
	return e.faults.slowdown
}

func secondsOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// retain keeps a finished generation for KeepFinished, so that its stream can be resumed.
func (e *Engine) retain(g *generation) {
	e.finished = append(e.finished, g.id)
	if len(e.finished) > maxFinished {
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
	// bytesPerToken is the number of bytes of a prompt that count as one token.
	bytesPerToken = 4
	// maxPrefixBlocks bounds the blocks of one prompt that are looked up in the prefix cache.
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
